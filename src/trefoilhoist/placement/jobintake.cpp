#include "trefoilhoist/placement/jobintake.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

namespace Trefoilhoist {

namespace {

/// Below the store's limit of 1 MB per value, with headroom for marks that are added later, such as cancellations.
constexpr std::size_t maxSegmentBytes = 900'000;
constexpr std::string_view jobsPath = "/-/jobs";
constexpr Duration pollInterval = milliseconds(20);

TimePoint steadyNow()
{
    static const Clock clock;
    return clock.now();
}

} // namespace

IntakeQueue::IntakeQueue(const std::string &cell, std::string writer, Duration retryAfter) : m_writer(std::move(writer))
{
    for (int i = 0; i < jobSegmentCount; ++i) {
        m_segments.push_back({CasEditor(jobSegmentKey(cell, i), retryAfter), {}});
    }
}

IntakeTicket IntakeQueue::submit(const Job &job, TimePoint deadline)
{
    Change change;
    change.deadline = deadline;
    change.job = job.id;
    change.submitted = StoredJob{job, m_writer + "-" + std::to_string(m_lastTicket + 1), false};
    return add(std::move(change));
}

IntakeTicket IntakeQueue::cancel(const JobId &job, TimePoint deadline)
{
    Change change;
    change.deadline = deadline;
    change.job = job;
    return add(std::move(change));
}

IntakeTicket IntakeQueue::add(Change change)
{
    change.ticket = ++m_lastTicket;
    auto &segment = m_segments[static_cast<std::size_t>(jobSegmentOf(change.job))];
    segment.changes.push_back(std::move(change));
    segment.editor.request();
    return m_lastTicket;
}

std::vector<StoreCommand> IntakeQueue::poll(TimePoint now)
{
    std::vector<StoreCommand> commands;
    for (auto &segment : m_segments) {
        expire(now, segment);
        if (segment.changes.empty()) {
            continue;
        }
        if (auto command = segment.editor.poll(now)) {
            commands.push_back(std::move(*command));
        }
    }
    return commands;
}

std::vector<StoreCommand> IntakeQueue::reply(TimePoint now, const StoreReply &reply)
{
    std::vector<StoreCommand> commands;
    const auto &key = std::visit([](const auto &it) -> const std::string & { return it.key; }, reply);
    const auto at = segmentOfKey(key);
    if (!at) {
        return commands;
    }
    auto &segment = m_segments[static_cast<std::size_t>(*at)];
    bool resolved = false;
    if (const auto *value = std::get_if<ValueRead>(&reply)) {
        auto command = segment.editor.applyRead(
            now, *value, [&](const ValueRead &it) { return edit(segment, it); }, resolved);
        if (command) {
            commands.push_back(std::move(*command));
        }
    } else {
        resolved = segment.editor.applyWritten(now, std::get<ValueWritten>(reply).outcome);
    }
    if (resolved) {
        finishEdit(segment);
    }
    return commands;
}

std::optional<std::string> IntakeQueue::edit(Segment &segment, const ValueRead &value)
{
    auto jobs = jobSegmentFromJson(value.value);
    if (!jobs) {
        LOG(ERROR) << "event=store_value_unreadable key=" << value.key << " reason=\"" << jobs.error() << '"';
        return std::nullopt;
    }
    bool changed = false;
    std::size_t freeBytes = value.value.size() < maxSegmentBytes ? maxSegmentBytes - value.value.size() : 0;
    for (auto &it : segment.changes) {
        it.decided = true;
        if (!it.submitted) {
            changed = applyCancellation(it, *jobs) || changed;
            continue;
        }
        const bool isNew = !jobs->contains(it.job);
        const auto size = isNew ? jobToJson(*it.submitted).size() : 0;
        if (size > freeBytes) {
            it.outcome = {IntakeStatus::Full, Verdict::NotRun, "the store's value for this job has no room"};
            continue;
        }
        freeBytes -= size;
        changed = applySubmission(it, *jobs) || changed;
    }
    if (!changed) {
        return std::nullopt;
    }
    for (auto &it : segment.changes) {
        it.sent = true;
    }
    return jobSegmentToJson(*jobs, m_writer + "-w" + std::to_string(++m_writeCount));
}

bool IntakeQueue::applySubmission(Change &change, JobSegment &jobs)
{
    const auto [it, added] = jobs.emplace(change.job, *change.submitted);
    if (added || it->second.nonce == change.submitted->nonce) {
        change.outcome = {IntakeStatus::Stored, Verdict::Ran, {}};
        return added;
    }
    if (isSameJob(it->second.job, change.submitted->job)) {
        change.outcome = {IntakeStatus::AlreadyStored, Verdict::Ran, {}};
    } else {
        change.outcome = {IntakeStatus::Conflict, Verdict::NotRun, "another job has this id"};
    }
    return false;
}

bool IntakeQueue::applyCancellation(Change &change, JobSegment &jobs)
{
    const auto it = jobs.find(change.job);
    if (it == jobs.end()) {
        change.outcome = {IntakeStatus::NotFound, Verdict::NotRun, "no such job"};
        return false;
    }
    change.outcome = {IntakeStatus::Cancelled, Verdict::Ran, {}};
    return !std::exchange(it->second.cancelled, true);
}

void IntakeQueue::finishEdit(Segment &segment)
{
    std::vector<Change> open;
    for (auto &it : segment.changes) {
        if (it.decided) {
            m_results.push_back({it.ticket, it.outcome});
        } else {
            open.push_back(std::move(it));
        }
    }
    segment.changes = std::move(open);
    if (!segment.changes.empty()) {
        segment.editor.request();
    }
}

void IntakeQueue::expire(TimePoint now, Segment &segment)
{
    std::erase_if(segment.changes, [&](const Change &it) {
        if (now < it.deadline) {
            return false;
        }
        const auto verdict = it.sent ? Verdict::MayHaveRun : Verdict::NotRun;
        m_results.push_back({it.ticket, {IntakeStatus::Unresolved, verdict, "the store did not answer in time"}});
        return true;
    });
}

std::vector<IntakeQueue::Result> IntakeQueue::takeResults()
{
    return std::exchange(m_results, {});
}

bool IntakeQueue::idle() const
{
    return std::all_of(m_segments.begin(), m_segments.end(), [](const auto &it) { return it.changes.empty(); });
}

struct JobIntake::State : std::enable_shared_from_this<State> {
    struct Waiter {
        explicit Waiter(const Asio::any_io_executor &executor) : timer(executor)
        {
            timer.expires_at(Asio::steady_timer::time_point::max());
        }
        Asio::steady_timer timer;
        std::optional<IntakeResult> result;
    };

    State(const Asio::any_io_executor &executor, StoreClient &client, const std::string &cellName, std::string writer)
        : strand(Asio::make_strand(executor)), store(client), cell(cellName), queue(cellName, std::move(writer))
    {
    }

    awaitable<IntakeResult> wait(IntakeTicket ticket)
    {
        auto waiter = std::make_shared<Waiter>(strand);
        waiters[ticket] = waiter;
        startPolling();
        boost::system::error_code ec;
        while (!waiter->result) {
            co_await waiter->timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ec));
        }
        co_return *waiter->result;
    }

    /// Like all members of this class, runs on the strand.
    void startPolling()
    {
        run(queue.poll(steadyNow()));
        deliverResults();
        if (!polling && !queue.idle()) {
            polling = true;
            spawnOn(strand, "job_intake", [self = shared_from_this()] { return self->pollUntilIdle(); });
        }
    }

    awaitable<void> pollUntilIdle()
    {
        while (!queue.idle()) {
            co_await sleepFor(pollInterval);
            run(queue.poll(steadyNow()));
            deliverResults();
        }
        polling = false;
    }

    void run(std::vector<StoreCommand> commands)
    {
        for (auto &it : commands) {
            spawnOn(strand, "job_intake_store", [self = shared_from_this(), command = std::move(it)] {
                return self->execute(command);
            });
        }
    }

    awaitable<void> execute(StoreCommand command)
    {
        const auto reply = co_await runStoreCommand(store, std::move(command));
        run(queue.reply(steadyNow(), reply));
        deliverResults();
        startPolling();
    }

    void deliverResults()
    {
        for (auto &it : queue.takeResults()) {
            const auto waiter = waiters.find(it.ticket);
            if (waiter != waiters.end()) {
                waiter->second->result = std::move(it.result);
                waiter->second->timer.cancel();
                waiters.erase(waiter);
            }
        }
    }

    Asio::any_io_executor strand;
    StoreClient &store;
    std::string cell;
    IntakeQueue queue;
    Duration timeout{};
    std::map<IntakeTicket, std::shared_ptr<Waiter>> waiters;
    bool polling = false;
};

JobIntake::JobIntake(const Asio::any_io_executor &executor,
                     StoreClient &store,
                     const std::string &cell,
                     std::string writer,
                     Duration timeout)
    : m_state(std::make_shared<State>(executor, store, cell, std::move(writer)))
{
    m_state->timeout = timeout;
}

JobIntake::~JobIntake() = default;

awaitable<IntakeResult> JobIntake::submit(Job job)
{
    auto body = [](std::shared_ptr<State> state, Job submitted) -> awaitable<IntakeResult> {
        co_return co_await state->wait(state->queue.submit(submitted, steadyNow() + state->timeout));
    };
    co_return co_await Asio::co_spawn(m_state->strand, body(m_state, std::move(job)), Asio::use_awaitable);
}

awaitable<IntakeResult> JobIntake::cancel(JobId job)
{
    auto body = [](std::shared_ptr<State> state, JobId id) -> awaitable<IntakeResult> {
        co_return co_await state->wait(state->queue.cancel(id, steadyNow() + state->timeout));
    };
    co_return co_await Asio::co_spawn(m_state->strand, body(m_state, std::move(job)), Asio::use_awaitable);
}

awaitable<StoreResult<std::optional<JobStatus>>> JobIntake::status(JobId id)
{
    const int segment = jobSegmentOf(id);
    const auto jobs = co_await m_state->store.get(jobSegmentKey(m_state->cell, segment));
    if (!jobs) {
        co_return tl::unexpected(jobs.error());
    }
    const auto storedJobs = jobSegmentFromJson(*jobs ? (*jobs)->value : std::string());
    if (!storedJobs) {
        co_return tl::unexpected(StoreError{StoreFailure::NotDone, storedJobs.error()});
    }
    const auto job = storedJobs->find(id);
    if (job == storedJobs->end()) {
        co_return std::optional<JobStatus>();
    }
    const auto value = co_await m_state->store.get(recordSegmentKey(m_state->cell, segment));
    if (!value) {
        co_return tl::unexpected(value.error());
    }
    JobStatus status{"open", job->second.job.tasks.size(), 0, {}};
    const auto records = recordSegmentFromJson(*value ? (*value)->value : std::string());
    const auto record = records ? records->jobs.find(id) : decltype(records->jobs.end()){};
    if (records && record != records->jobs.end() && record->second.nonce == job->second.nonce) {
        status.done = record->second.done.size();
        status.failure = record->second.failure;
    }
    if (status.done == status.tasks) {
        status.state = "finished";
    } else if (!status.failure.empty()) {
        status.state = "failed";
    } else if (job->second.cancelled) {
        status.state = "cancelled";
    }
    co_return std::optional(status);
}

namespace {

HttpResponse unavailable(Verdict verdict, const std::string &reason)
{
    auto response = jsonResponse(503, nlohmann::json{{"error", reason}}.dump());
    response.headers.set(verdictHeader, std::string(verdictName(verdict)));
    response.headers.set(retryAfterHeader, "1");
    return response;
}

HttpResponse intakeResponse(const JobId &job, const IntakeResult &result)
{
    const auto answer = [&](int status, const char *state) {
        return jsonResponse(status, nlohmann::json{{"id", job.str()}, {"state", state}}.dump());
    };
    const auto refusal = [&](int status) {
        return jsonResponse(status, nlohmann::json{{"id", job.str()}, {"error", result.reason}}.dump());
    };
    switch (result.status) {
    case IntakeStatus::Stored:
        return answer(201, "kept");
    case IntakeStatus::AlreadyStored:
        return answer(200, "kept before");
    case IntakeStatus::Cancelled:
        return answer(200, "cancelled");
    case IntakeStatus::Conflict:
        return refusal(409);
    case IntakeStatus::NotFound:
        return refusal(404);
    case IntakeStatus::Full:
    case IntakeStatus::Unresolved:
        break;
    }
    return unavailable(result.verdict, result.reason);
}

HttpResponse statusResponse(const JobId &job, const StoreResult<std::optional<JobStatus>> &status)
{
    if (!status) {
        return unavailable(Verdict::NotRun, status.error().reason);
    }
    if (!*status) {
        return jsonResponse(404, nlohmann::json{{"error", "no such job"}}.dump());
    }
    const auto &it = **status;
    nlohmann::json json{{"id", job.str()}, {"state", it.state}, {"tasks", it.tasks}, {"done", it.done}};
    if (!it.failure.empty()) {
        json["failure"] = it.failure;
    }
    return jsonResponse(200, json.dump());
}

} // namespace

awaitable<HttpResponse> JobIntake::handle(HttpRequest request)
{
    const auto path = request.path();
    if (path == jobsPath) {
        co_return co_await handleSubmission(std::move(request));
    }
    if (path.size() <= jobsPath.size() + 1 || path.compare(0, jobsPath.size(), jobsPath) != 0) {
        co_return jsonResponse(404, nlohmann::json{{"error", "no such path"}}.dump());
    }
    const JobId id(urlDecode(path.substr(jobsPath.size() + 1)));
    if (request.method == "DELETE") {
        const auto result = co_await cancel(id);
        co_return intakeResponse(id, result);
    }
    if (request.method == "GET") {
        const auto found = co_await status(id);
        co_return statusResponse(id, found);
    }
    co_return jsonResponse(405, nlohmann::json{{"error", "use GET or DELETE"}}.dump());
}

awaitable<HttpResponse> JobIntake::handleSubmission(HttpRequest request)
{
    if (request.method != "POST") {
        co_return jsonResponse(405, nlohmann::json{{"error", "use POST"}}.dump());
    }
    auto job = jobFromRequest(request.body);
    if (!job) {
        co_return jsonResponse(400, nlohmann::json{{"error", job.error()}}.dump());
    }
    const auto id = job->id;
    const auto result = co_await submit(std::move(*job));
    co_return intakeResponse(id, result);
}

} // namespace Trefoilhoist

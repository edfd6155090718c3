#include "placer.h"

#include "placerstatus.h"
#include "trefoilhoist/placement/configureddecider.h"
#include "trefoilhoist/store/keys.h"
#include "trefoilhoist/store/meteredstoreclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace Trefoilhoist::Placer {

namespace {

constexpr std::size_t maxListedTasks = 2000;
constexpr Duration leaseCheckInterval = milliseconds(20);
constexpr Duration watchWait = seconds(30);
/// Pause between two watches, so that a burst of submissions costs few calls.
constexpr Duration watchPause = milliseconds(50);
constexpr Duration storeRetry = milliseconds(300);
/// How long stop() waits for records to be written.
constexpr Duration drainLimit = seconds(10);
/// A sync answer with a few hundred runs stays below this.
constexpr std::size_t maxAnswerBytes = std::size_t{2} << 20U;

// The store client must not retry: CellOwner itself retries commands that had no effect, and only while it still owns
// the cell.
std::shared_ptr<StoreClient>
createStoreClient(Runtime &runtime, const PlacerSettings &settings, MetricsRegistry &metrics)
{
    StoreBudget budget;
    budget.role = "placer";
    budget.writesPerSecond = 40;
    budget.burst = 200;
    budget.deadline = Duration{};
    return std::make_shared<MeteredStoreClient>(
        std::make_shared<ConsulStoreClient>(runtime.executor(), settings.store), budget, runtime.clock(), metrics);
}

std::string joinConditions(const std::string &left, const std::string &right)
{
    return left.empty() || right.empty() ? left + right : left + ", " + right;
}

} // namespace

PlacerServer::PlacerServer(Runtime &runtime, PlacerSettings settings)
    : m_runtime(runtime)
    , m_settings(std::move(settings))
    , m_strand(Asio::make_strand(runtime.executor()))
    , m_metrics(runtime.clock())
    , m_store(createStoreClient(runtime, m_settings, m_metrics))
    , m_lease(std::make_shared<StoreLeaseKeeper>(m_store,
                                                 StoreKeys::cellLease(m_settings.owner.cell),
                                                 nlohmann::json{{"owner", m_settings.id}}.dump(),
                                                 runtime.clock(),
                                                 m_settings.lease))
    , m_agent(std::make_shared<ConfigAgent>(m_config, m_store, configAgentOptions(m_settings.id)))
    , m_server(
          runtime.executor(), HttpLimits{}, [this](HttpRequest request) { return handleRequest(std::move(request)); })
    , m_client(runtime.executor())
    , m_owner(
          m_settings.owner,
          configuredDecider(
              PlacementPolicy(m_settings.policy, m_settings.weights, m_settings.seed), m_config, m_settings.weights),
          [this](const Worker &worker) { return labelsOf(worker); },
          [this](const Job &job) { return configuredJob(job); })
{
}

tl::expected<Endpoint, std::string> PlacerServer::start()
{
    const auto port = m_server.listen(m_settings.listen);
    if (!port) {
        return tl::unexpected(port.error());
    }
    LOG(INFO) << "event=started placer=" << m_settings.id << " cell=" << m_settings.owner.cell
              << " zone=" << m_settings.zone;
    m_agent->startWatching(m_runtime.executor());
    m_lease->start(m_runtime.executor());
    spawnOn(m_strand, "placer_tick", [this] { return tickLoop(); });
    spawnOn(m_strand, "placer_ownership", [this] { return ownershipLoop(); });
    spawnOn(m_strand, "placer_watch", [this] { return watchLoop(); });
    return Endpoint{m_settings.listen.host, *port};
}

awaitable<void> PlacerServer::stop()
{
    auto body = [](PlacerServer *self) -> awaitable<void> {
        self->m_stopping = true;
        self->handle(StopRequested{});
        const auto end = self->m_runtime.clock().now() + drainLimit;
        while (self->m_owner.owning() && !self->m_owner.recordsFlushed() && self->m_runtime.clock().now() < end) {
            co_await sleepFor(self->m_settings.tick);
        }
        self->handle(OwnershipLost{});
    };
    co_await Asio::co_spawn(m_strand, body(this), Asio::use_awaitable);
    co_await m_lease->release();
    m_agent->stop();
    m_server.drain();
    m_server.close();
}

awaitable<HttpResponse> PlacerServer::handleRequest(HttpRequest request)
{
    co_return co_await Asio::co_spawn(m_strand, handleOnStrand(std::move(request)), Asio::use_awaitable);
}

awaitable<HttpResponse> PlacerServer::handleOnStrand(HttpRequest request)
{
    const auto path = request.path();
    const std::string jobs = "/-/jobs/";
    if (path == "/-/workers" && request.method == "POST") {
        co_return announce(request);
    }
    if (path == "/-/workers") {
        co_return jsonResponse(200, workersJson(m_owner, m_runtime.clock().now()));
    }
    if (path == "/-/tasks") {
        co_return jsonResponse(200, tasksJson(m_owner, JobId(request.query("job")), maxListedTasks));
    }
    if (path.rfind(jobs, 0) == 0) {
        const auto json = jobJson(m_owner, JobId(urlDecode(path.substr(jobs.size()))));
        co_return json ? jsonResponse(200, *json) : jsonResponse(404, R"({"error": "no such job"})");
    }
    if (path == "/-/health") {
        co_return textResponse(m_stopping ? 503 : 200, m_stopping ? "stopping\n" : "ok\n");
    }
    if (path == "/-/metrics") {
        publishCounts(m_owner, m_settings.owner.cell, m_metrics);
        co_return textResponse(200, m_metrics.exposition());
    }
    if (path == "/-/config") {
        co_return jsonResponse(200, m_agent->report());
    }
    co_return jsonResponse(404, R"({"error": "no such path"})");
}

HttpResponse PlacerServer::announce(const HttpRequest &request)
{
    const auto announcement = announcementFromJson(request.body);
    if (!announcement) {
        return jsonResponse(400, nlohmann::json{{"error", announcement.error()}}.dump());
    }
    handle(WorkerAnnounced{*announcement});
    const auto heartbeatMs = duration_cast<milliseconds>(m_settings.heartbeat).count();
    return jsonResponse(200, nlohmann::json{{"heartbeatMs", heartbeatMs}, {"owner", m_owner.owning()}}.dump());
}

void PlacerServer::handle(const OwnerEvent &event)
{
    for (auto &action : m_owner.handle(m_runtime.clock().now(), event)) {
        perform(std::move(action));
    }
}

void PlacerServer::perform(OwnerAction action)
{
    if (auto *send = std::get_if<SendSync>(&action)) {
        spawnOn(m_strand, "placer_sync", [this, it = std::move(*send)] { return sync(it); });
    } else if (auto *command = std::get_if<ExecuteStoreCommand>(&action)) {
        spawnOn(m_strand, "placer_store", [this, it = std::move(command->command)] { return runCommand(it); });
    } else {
        m_supersededEpoch = std::get<StepDown>(action).epoch;
    }
}

awaitable<void> PlacerServer::sync(SendSync action)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/sync";
    request.headers.set("Content-Type", "application/json");
    request.body = syncRequestToJson(action.request);
    HttpCallOptions options;
    options.timeout = m_settings.syncTimeout;
    options.connectTimeout = m_settings.syncTimeout;
    options.maxBodyBytes = maxAnswerBytes;
    const auto response = co_await m_client.call(action.endpoint, std::move(request), options);
    const bool ok = response && response->status == 200;
    auto answer = ok ? syncAnswerFromJson(response->body) : tl::unexpected(std::string("no valid response"));
    if (answer && answer->worker == action.worker) {
        handle(SyncAnswered{action.worker, action.call, std::move(*answer)});
    } else {
        handle(SyncFailed{action.worker, action.call});
    }
}

awaitable<void> PlacerServer::runCommand(StoreCommand command)
{
    const auto epoch = m_owner.epoch();
    auto reply = co_await runStoreCommand(*m_store, std::move(command));
    if (m_owner.epoch() == epoch) {
        handle(StoreReplied{std::move(reply)});
    }
}

awaitable<void> PlacerServer::tickLoop()
{
    while (true) {
        if (m_config.generation() != m_configGeneration) {
            m_configGeneration = m_config.generation();
            handle(LabelsChanged{});
        }
        handle(OwnerTick{});
        co_await sleepFor(m_settings.tick);
    }
}

awaitable<void> PlacerServer::ownershipLoop()
{
    while (!m_stopping) {
        const auto epoch = static_cast<std::int64_t>(m_lease->sureEpoch());
        if (epoch != 0 && epoch == m_owner.epoch()) {
            handle(StoreLeaseExtended{m_lease->sureUntil()});
        } else if (epoch != 0 && epoch != m_supersededEpoch) {
            co_await takeOver(epoch);
        }
        co_await sleepFor(leaseCheckInterval);
    }
}

awaitable<void> PlacerServer::takeOver(std::int64_t epoch)
{
    auto contents = co_await readContents();
    if (!contents) {
        co_await sleepFor(storeRetry);
        co_return;
    }
    // Read the lease's end before its epoch: it is then never later than the end known for this epoch.
    const auto leaseUntil = m_lease->sureUntil();
    if (!m_stopping && static_cast<std::int64_t>(m_lease->sureEpoch()) == epoch) {
        handle(OwnershipGained{epoch, leaseUntil, std::move(*contents)});
    }
}

awaitable<std::optional<CellContents>> PlacerServer::readContents()
{
    const auto &cell = m_settings.owner.cell;
    CellContents contents;
    const auto jobs = co_await m_store->list(StoreKeys::cellJobs(cell));
    const auto records = co_await m_store->list(StoreKeys::cellRecords(cell));
    const auto roster = co_await m_store->get(StoreKeys::cellRoster(cell));
    if (!jobs || !records || !roster) {
        co_return std::nullopt;
    }
    std::string unreadableKey;
    const auto readSegments = [&](const StoreListing &listing, auto parse, auto keep) {
        for (const auto &entry : listing.entries) {
            auto value = parse(entry.value);
            const auto segment = segmentOfKey(entry.key);
            if (value && segment) {
                keep(*segment, entry, std::move(*value));
            } else {
                unreadableKey = entry.key;
            }
        }
    };
    readSegments(*jobs, jobSegmentFromJson, [&](int segment, const StoreEntry &entry, JobSegment value) {
        contents.jobs[segment] = std::move(value);
        contents.jobIndexes[segment] = entry.modifyIndex;
    });
    readSegments(*records, recordSegmentFromJson, [&](int segment, const StoreEntry &, RecordSegment value) {
        contents.records[segment] = std::move(value);
    });
    auto workers = rosterFromJson(*roster ? (*roster)->value : std::string());
    if (!unreadableKey.empty() || !workers) {
        LOG(ERROR) << "event=cell_unreadable cell=" << cell << " key=" << (workers ? unreadableKey : "roster");
        co_return std::nullopt;
    }
    contents.roster = std::move(*workers);
    m_jobsIndex = jobs->index;
    co_return contents;
}

awaitable<void> PlacerServer::watchLoop()
{
    while (!m_stopping) {
        if (!m_owner.owning()) {
            co_await sleepFor(leaseCheckInterval);
            continue;
        }
        const auto epoch = m_owner.epoch();
        const auto listing
            = co_await m_store->watch(StoreKeys::cellJobs(m_settings.owner.cell), m_jobsIndex, watchWait);
        if (!listing) {
            co_await sleepFor(storeRetry);
            continue;
        }
        if (m_owner.epoch() == epoch) {
            // The index decreases if the store was reset; start again from 0.
            m_jobsIndex = listing->index < m_jobsIndex ? 0 : listing->index;
            applyListing(*listing);
        }
        co_await sleepFor(watchPause);
    }
}

void PlacerServer::applyListing(const StoreListing &listing)
{
    for (const auto &entry : listing.entries) {
        const auto segment = segmentOfKey(entry.key);
        if (!segment || m_owner.jobIndex(*segment) >= entry.modifyIndex) {
            continue;
        }
        auto jobs = jobSegmentFromJson(entry.value);
        if (!jobs) {
            LOG(ERROR) << "event=store_value_unreadable key=" << entry.key << " reason=\"" << jobs.error() << '"';
            continue;
        }
        handle(JobSegmentRead{*segment, entry.modifyIndex, std::move(*jobs)});
    }
}

Labels PlacerServer::labelsOf(const Worker &worker) const
{
    auto labels = worker.labels;
    labels.emplace("zone", worker.zone.str());
    labels.emplace("rack", worker.rack.str());
    if (const auto configured = m_config.find(ObjectKind::Worker, worker.id.str())) {
        for (const auto &[key, value] : configured->labels) {
            labels[key] = value;
        }
    }
    return labels;
}

Job PlacerServer::configuredJob(const Job &job) const
{
    const auto configured = m_config.find(ObjectKind::BatchClass, job.batchClass);
    if (!configured) {
        return job;
    }
    Job result = job;
    result.labels.insert(configured->labels.begin(), configured->labels.end());
    const auto selector = [&](const char *key) {
        const auto it = configured->selectors.find(key);
        return it != configured->selectors.end() ? it->second : std::string();
    };
    result.where = joinConditions(job.where, selector("where"));
    result.beside = joinConditions(job.beside, selector("beside"));
    return result;
}

} // namespace Trefoilhoist::Placer

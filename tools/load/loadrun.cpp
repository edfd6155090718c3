#include "loadrun.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <iomanip>
#include <mutex>
#include <random>
#include <set>
#include <sstream>

namespace Trefoilhoist::Tools {

namespace {

constexpr Duration healthPeriod = milliseconds(500);
constexpr Duration marginBeyondDeadline = milliseconds(1000);
constexpr double usPerSecond = 1e6;
constexpr double usPerMs = 1e3;

struct Shot {
    CallerId caller;
    std::string requestId;
    bool order = false;
};

nlohmann::json countsJson(const LoadCounts &counts)
{
    return {{"sent", counts.sent},
            {"answered", counts.answered},
            {"notRun", counts.notRun},
            {"mayHaveRun", counts.mayHaveRun},
            {"serverErrors", counts.serverErrors},
            {"wrongAnswers", counts.wrongAnswers},
            {"p50Us", counts.quantileUs(0.5)},
            {"p99Us", counts.quantileUs(0.99)},
            {"p999Us", counts.quantileUs(0.999)}};
}

void writeRow(std::ostream &out, const std::string &name, const LoadCounts &counts)
{
    out << std::left << std::setw(24) << name << std::right << std::setw(9) << counts.sent << std::setw(10)
        << counts.answered << std::setw(9) << counts.notRun << std::setw(14) << counts.mayHaveRun << std::setw(8)
        << counts.serverErrors << std::setw(7) << counts.wrongAnswers << std::fixed << std::setprecision(2)
        << std::setw(10) << static_cast<double>(counts.quantileUs(0.5)) / usPerMs << std::setw(10)
        << static_cast<double>(counts.quantileUs(0.99)) / usPerMs << std::setw(10)
        << static_cast<double>(counts.quantileUs(0.999)) / usPerMs << '\n';
}

} // namespace

void LoadCounts::add(const LoadCounts &other)
{
    sent += other.sent;
    answered += other.answered;
    notRun += other.notRun;
    mayHaveRun += other.mayHaveRun;
    serverErrors += other.serverErrors;
    wrongAnswers += other.wrongAnswers;
    latenciesUs.insert(latenciesUs.end(), other.latenciesUs.begin(), other.latenciesUs.end());
    std::sort(latenciesUs.begin(), latenciesUs.end());
}

std::int64_t LoadCounts::quantileUs(double share) const
{
    if (latenciesUs.empty()) {
        return 0;
    }
    auto sorted = latenciesUs;
    std::sort(sorted.begin(), sorted.end());
    const auto at = static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
    return sorted[std::min(sorted.size() - 1, at > 0 ? at - 1 : 0)];
}

LoadCounts LoadReport::total() const
{
    LoadCounts all;
    for (const auto &[caller, counts] : callers) {
        all.add(counts);
    }
    return all;
}

std::string LoadReport::text() const
{
    std::ostringstream out;
    out << std::left << std::setw(24) << "caller" << std::right << std::setw(9) << "sent" << std::setw(10) << "answered"
        << std::setw(9) << "not-run" << std::setw(14) << "may-have-run" << std::setw(8) << "errors" << std::setw(7)
        << "wrong" << std::setw(10) << "p50 ms" << std::setw(10) << "p99 ms" << std::setw(10) << "p99.9 ms" << '\n';
    for (const auto &[caller, counts] : callers) {
        writeRow(out, caller.str(), counts);
    }
    writeRow(out, "total", total());
    return out.str();
}

std::string LoadReport::json() const
{
    nlohmann::json byCaller;
    for (const auto &[caller, counts] : callers) {
        byCaller[caller.str()] = countsJson(counts);
    }
    auto failed = nlohmann::json::array();
    for (const auto &failure : failures) {
        failed.push_back({{"sentAtMs", failure.sentAtMs}, {"verdict", failure.verdict}});
    }
    return nlohmann::json{{"callers", byCaller},
                          {"total", countsJson(total())},
                          {"orders", orders},
                          {"failures", failed},
                          {"elapsedSeconds", elapsedSeconds}}
        .dump();
}

struct LoadRun::State : std::enable_shared_from_this<LoadRun::State> {
    Asio::any_io_executor executor;
    LoadPlan plan;
    HttpClient client;
    Clock clock;
    std::mutex mutex;
    LoadReport report;
    TimePoint startedAt{};
    std::set<std::size_t> unhealthy;
    std::size_t nextTarget = 0;
    std::atomic<int> open = 0;
    std::atomic<bool> ended = false;

    State(const Asio::any_io_executor &ex, LoadPlan what) : executor(ex), plan(std::move(what)), client(ex) { }

    Endpoint chooseTarget()
    {
        std::lock_guard lock(mutex);
        for (std::size_t tries = 0; tries < plan.targets.size(); ++tries) {
            nextTarget = (nextTarget + 1) % plan.targets.size();
            if (unhealthy.count(nextTarget) == 0) {
                break;
            }
        }
        return plan.targets[nextTarget];
    }

    awaitable<void> watchHealth(std::size_t index)
    {
        while (!ended) {
            HttpCallOptions options;
            options.timeout = healthPeriod;
            options.freshConnection = true;
            HttpRequest request;
            request.target = "/-/health";
            const auto answer = co_await client.call(plan.targets[index], std::move(request), options);
            {
                std::lock_guard lock(mutex);
                if (answer && answer->status == 200) {
                    unhealthy.erase(index);
                } else {
                    unhealthy.insert(index);
                }
            }
            co_await sleepFor(healthPeriod);
        }
        --open;
    }

    awaitable<void> sendAsCaller(CallerId caller, double rate, std::uint64_t seed)
    {
        std::mt19937_64 random(seed);
        std::exponential_distribution<double> gap(rate);
        std::bernoulli_distribution isOrder(plan.orderShare);
        const auto start = clock.now();
        auto at = start;
        std::uint64_t number = 0;
        while (true) {
            at += Duration(static_cast<std::int64_t>(gap(random) * usPerSecond));
            if (at - start > plan.length) {
                break;
            }
            const auto wait = at - clock.now();
            if (wait > Duration::zero()) {
                co_await sleepFor(wait);
            }
            std::ostringstream id;
            id << caller << '-' << plan.seed << '-' << ++number;
            Shot shot{caller, id.str(), isOrder(random)};
            ++open;
            spawn(executor, "shot", [self = shared_from_this(), shot] { return self->send(shot); });
        }
        --open;
    }

    HttpRequest requestFor(const Shot &shot) const
    {
        HttpRequest request;
        request.method = shot.order ? "POST" : "GET";
        request.target = plan.direct ? "/work" : "/services/" + plan.service.str() + "/work";
        request.headers.set(callerHeader, shot.caller.str());
        request.headers.set("Request-Id", shot.requestId);
        request.headers.set(deadlineHeader, std::to_string(duration_cast<milliseconds>(plan.deadline).count()));
        if (shot.order) {
            request.headers.set(idempotencyHeader, shot.requestId);
            request.body = shot.requestId + std::string(plan.bodyBytes, '.');
        }
        return request;
    }

    awaitable<void> send(Shot shot)
    {
        auto request = requestFor(shot);
        const auto expected = request.method + " /work\n" + request.body;
        HttpCallOptions options;
        options.timeout = plan.deadline + marginBeyondDeadline;
        const auto started = clock.now();
        const auto answer = co_await client.call(chooseTarget(), std::move(request), options);
        note(shot, answer, expected, clock.now() - started);
        --open;
    }

    void note(const Shot &shot,
              const tl::expected<HttpResponse, CallError> &answer,
              const std::string &expected,
              Duration latency)
    {
        std::lock_guard lock(mutex);
        auto &counts = report.callers[shot.caller];
        ++counts.sent;
        const auto verdict = verdictOf(answer);
        if (verdict != Verdict::Ran) {
            const auto sentAt = duration_cast<milliseconds>(clock.now() - latency - startedAt).count();
            report.failures.push_back({sentAt, std::string(verdictName(verdict))});
        }
        if (shot.order) {
            report.orders[shot.requestId] = std::string(verdictName(verdict));
        }
        if (verdict == Verdict::NotRun) {
            ++counts.notRun;
        } else if (verdict == Verdict::MayHaveRun) {
            ++counts.mayHaveRun;
        } else if (answer->status >= 500) {
            ++counts.serverErrors;
        } else if (answer->body != expected || answer->headers.get("Request-Id") != shot.requestId) {
            ++counts.wrongAnswers;
        } else {
            ++counts.answered;
            counts.latenciesUs.push_back(latency.count());
        }
    }

    static Verdict verdictOf(const tl::expected<HttpResponse, CallError> &answer)
    {
        if (!answer) {
            return answer.error().verdict;
        }
        return verdictFromName(answer->headers.get(verdictHeader)).value_or(Verdict::Ran);
    }
};

LoadRun::LoadRun(const Asio::any_io_executor &executor, LoadPlan plan)
    : m_state(std::make_shared<State>(executor, std::move(plan)))
{
}

LoadRun::~LoadRun() = default;

awaitable<LoadReport> LoadRun::run()
{
    auto state = m_state;
    const auto started = state->clock.now();
    state->startedAt = started;
    std::uint64_t seed = state->plan.seed;
    int watchers = 0;
    if (state->plan.followHealth && !state->plan.direct) {
        for (std::size_t i = 0; i < state->plan.targets.size(); ++i) {
            ++state->open;
            ++watchers;
            spawn(state->executor, "health", [state, i] { return state->watchHealth(i); });
        }
    }
    for (const auto &[caller, rate] : state->plan.rates) {
        ++state->open;
        spawn(state->executor, "caller", [state, caller = caller, rate = rate, seed = ++seed] {
            return state->sendAsCaller(caller, rate, seed);
        });
    }
    while (state->open > watchers) {
        co_await sleepFor(milliseconds(10));
    }
    state->ended = true;
    while (state->open > 0) {
        co_await sleepFor(milliseconds(10));
    }
    state->report.elapsedSeconds = static_cast<double>((state->clock.now() - started).count()) / usPerSecond;
    co_return state->report;
}

} // namespace Trefoilhoist::Tools

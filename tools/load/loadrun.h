#pragma once

#include "trefoilhoist/net/httpclient.h"
#include "trefoilhoist/world/world.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Trefoilhoist::Tools {

/// What a load run sends.
struct LoadPlan {
    /// Entries, or minions when `direct` is set; used in turn while they are healthy.
    std::vector<Endpoint> targets;
    bool direct = false;
    ServiceId service;
    /// Requests a second of each caller; arrivals are Poisson.
    std::map<CallerId, double> rates;
    Duration length = seconds(5);
    Duration deadline = seconds(2);
    /// Share of requests that are non-idempotent and carry an Idempotency-Key.
    double orderShare = 0.2;
    std::size_t bodyBytes = 64;
    std::uint64_t seed = 1;
    /// Ask /-/health twice a second and leave out targets that are not ready.
    bool followHealth = true;
};

/// What came of it, for one caller or for all.
struct LoadCounts {
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t mayHaveRun = 0;
    std::uint64_t serverErrors = 0;
    /// Answers that belong to another request or are not whole.
    std::uint64_t wrongAnswers = 0;
    /// Of answered requests, in microseconds, sorted by summarize().
    std::vector<std::int64_t> latenciesUs;

    void add(const LoadCounts &other);
    /// The latency below which `share` of the answers came.
    [[nodiscard]] std::int64_t quantileUs(double share) const;
};

/// A request that got no answer of its own, or a late one.
struct LoadFailure {
    /// Milliseconds after the start of the run at which the request was sent.
    std::int64_t sentAtMs = 0;
    std::string verdict;
};

/// The result of a run.
struct LoadReport {
    std::vector<LoadFailure> failures;
    std::map<CallerId, LoadCounts> callers;
    /// Request ids of non-idempotent requests and the verdict that their caller got.
    std::map<std::string, std::string> orders;
    double elapsedSeconds = 0;

    [[nodiscard]] LoadCounts total() const;
    [[nodiscard]] std::string text() const;
    [[nodiscard]] std::string json() const;
};

/// Sends the plan's requests over real sockets and checks each answer against its request.
class LoadRun
{
public:
    LoadRun(const Asio::any_io_executor &executor, LoadPlan plan);
    ~LoadRun();
    LoadRun(const LoadRun &) = delete;
    LoadRun &operator=(const LoadRun &) = delete;

    /// Runs to the end of the plan and of all requests in flight.
    awaitable<LoadReport> run();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Trefoilhoist::Tools

#pragma once

#include "callerrequest.h"
#include "claimservice.h"
#include "entrysettings.h"
#include "minionfeed.h"
#include "requestexecutor.h"

#include "trefoilhoist/config/configtable.h"
#include "trefoilhoist/membership/membershiptable.h"
#include "trefoilhoist/metrics/burntable.h"
#include "trefoilhoist/metrics/metrics.h"
#include "trefoilhoist/net/httpserver.h"

#include <atomic>
#include <functional>

namespace Trefoilhoist {

/// The objects that EntryServer uses. They must outlive it.
struct EntryDependencies {
    const Clock &clock;
    MembershipTable &membership;
    RequestExecutor &requests;
    ClaimService &claims;
    MinionFeed &feed;
    const ConfigTable &config;
    BurnTable &burn;
    MetricsRegistry &metrics;
};

/// Handles the entry's HTTP requests: service calls, minion announcements, job submission and operator pages.
class EntryServer
{
public:
    /// Handles a request to the job intake.
    using JobHandler = std::function<awaitable<HttpResponse>(HttpRequest)>;

    EntryServer(const EntrySettings &settings, EntryDependencies parts);

    /// Until a handler is set, job requests are refused with the verdict NotRun.
    void setJobHandler(JobHandler handler);

    /// Handles one request. Thread-safe.
    awaitable<HttpResponse> handle(HttpRequest request);

    /// Makes the health check report unready from now on.
    void setUnready();

private:
    awaitable<HttpResponse> handleServiceCall(HttpRequest request);
    awaitable<ServiceOutcome> execute(const CallerRequest &request);
    /// Runs a request at most once across all attempts with the same key.
    awaitable<ServiceOutcome> runClaimed(const ServiceRequest &request, std::string key, int attempt);
    awaitable<HttpResponse> handleInternal(HttpRequest request);
    [[nodiscard]] HttpResponse announce(const HttpRequest &request);
    [[nodiscard]] HttpResponse health() const;
    [[nodiscard]] HttpResponse configVersions() const;
    [[nodiscard]] HttpResponse metricsPage() const;
    [[nodiscard]] bool idempotent(const ServiceRequest &call) const;
    void recordOutcome(const ServiceRequest &request, const ServiceOutcome &outcome, TimePoint start);

    EntrySettings m_settings;
    EntryDependencies m_dependencies;
    JobHandler m_jobs;
    std::atomic<bool> m_ready = true;
};

} // namespace Trefoilhoist

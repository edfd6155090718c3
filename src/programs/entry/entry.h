#pragma once

#include "claimservice.h"
#include "entryserver.h"
#include "entrysettings.h"
#include "minionfeed.h"
#include "peerexchange.h"
#include "requestexecutor.h"

#include "trefoilhoist/config/configagent.h"
#include "trefoilhoist/net/program.h"
#include "trefoilhoist/placement/jobintake.h"
#include "trefoilhoist/store/storeclient.h"
#include "trefoilhoist/wire/peerserver.h"

#include <optional>

namespace Trefoilhoist {

/// One entry: its tables, its servers and its loops.
class Entry
{
public:
    Entry(Runtime &runtime, EntrySettings settings);

    /// Binds, starts the loops and prints the ready line. Throws StartError for an address that can't be used.
    void start();

    /// The graceful stop: unready, grace, drain, then closed.
    awaitable<void> stop();

private:
    awaitable<std::optional<Wire::Envelope>> handlePeerCall(Wire::Envelope envelope);
    awaitable<void> waitUntilIdle();
    awaitable<void> contractLoop();

    Runtime &m_runtime;
    EntrySettings m_settings;
    MetricsRegistry m_metrics;
    ConfigTable m_config;
    std::shared_ptr<StoreClient> m_store;
    std::shared_ptr<ConfigAgent> m_configAgent;
    BurnTable m_burn;
    MembershipTable m_membership;
    Router m_router;
    RequestExecutor m_requests;
    MinionFeed m_feed;
    PeerExchange m_exchange;
    ClaimService m_claims;
    EntryServer m_entryServer;
    std::optional<JobIntake> m_jobs;
    HttpServer m_http;
    PeerServer m_peerServer;
};

} // namespace Trefoilhoist

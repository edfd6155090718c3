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

/// The entry process: owns its tables, servers and background loops.
class Entry
{
public:
    Entry(Runtime &runtime, EntrySettings settings);

    /// Binds the addresses, starts the loops and prints the ready line. Throws StartError if an address can't be bound.
    void start();

    /// Stops gracefully: reports unready, waits for the grace period, drains requests, then closes the servers.
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

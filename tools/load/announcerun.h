#pragma once

#include "trefoilhoist/net/httpclient.h"
#include "trefoilhoist/world/world.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <vector>

namespace Trefoilhoist::Tools {

/// How many minions are announced, and how often.
struct AnnouncePlan {
    std::vector<Endpoint> entries;
    int minions = 0;
    Duration heartbeat = milliseconds(500);
    Duration length = seconds(10);
    ServiceId service;
};

/// What came of it.
struct AnnounceCounts {
    std::uint64_t sent = 0;
    std::uint64_t accepted = 0;
};

/// Announces minions that don't exist, to measure what announcements cost the entries.
class AnnounceRun
{
public:
    AnnounceRun(const Asio::any_io_executor &executor, AnnouncePlan plan);
    ~AnnounceRun();
    AnnounceRun(const AnnounceRun &) = delete;
    AnnounceRun &operator=(const AnnounceRun &) = delete;

    awaitable<AnnounceCounts> run();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Trefoilhoist::Tools

#include "announcerun.h"

#include <nlohmann/json.hpp>

namespace Trefoilhoist::Tools {

namespace {

// Announcements go out in this many streams, each with a connection of its own.
constexpr int streams = 16;
constexpr int slotsOfOne = 8;
constexpr int connectionsOfOne = 64;
constexpr int discardPort = 9;
constexpr int zones = 4;

} // namespace

struct AnnounceRun::State : std::enable_shared_from_this<AnnounceRun::State> {
    Asio::any_io_executor executor;
    AnnouncePlan plan;
    HttpClient client;
    Clock clock;
    std::int64_t incarnation = wallMilliseconds();
    std::atomic<int> open = 0;
    std::atomic<std::uint64_t> sent = 0;
    std::atomic<std::uint64_t> accepted = 0;

    State(const Asio::any_io_executor &ex, AnnouncePlan what) : executor(ex), plan(std::move(what)), client(ex) { }

    HttpRequest announcement(int number, std::int64_t sequence) const
    {
        const nlohmann::json body{{"id", "fake" + std::to_string(number)},
                                  {"host", "127.0.0.1"},
                                  {"port", discardPort},
                                  {"zone", "zone" + std::to_string(number % zones)},
                                  {"service", plan.service.str()},
                                  {"labels", nlohmann::json::object()},
                                  {"slots", slotsOfOne},
                                  {"connections", connectionsOfOne},
                                  {"incarnation", incarnation},
                                  {"sequence", sequence},
                                  {"leaving", false}};
        HttpRequest request;
        request.method = "POST";
        request.target = "/-/minions";
        request.headers.set("Content-Type", "application/json");
        request.body = body.dump();
        return request;
    }

    // Announces every streams-th minion once a heartbeat, spread over the heartbeat.
    awaitable<void> announceStream(int first)
    {
        const auto end = clock.now() + plan.length;
        std::int64_t sequence = 0;
        while (clock.now() < end) {
            ++sequence;
            const auto started = clock.now();
            for (int number = first; number < plan.minions; number += streams) {
                const auto due = started + plan.heartbeat * number / plan.minions;
                if (due > clock.now()) {
                    co_await sleepFor(due - clock.now());
                }
                co_await announceOne(number, sequence);
            }
            const auto next = started + plan.heartbeat;
            if (next > clock.now()) {
                co_await sleepFor(next - clock.now());
            }
        }
        --open;
    }

    awaitable<void> announceOne(int number, std::int64_t sequence)
    {
        const auto &entry = plan.entries[static_cast<std::size_t>(number) % plan.entries.size()];
        HttpCallOptions options;
        ++sent;
        const auto answer = co_await client.call(entry, announcement(number, sequence), std::move(options));
        if (answer && answer->status == 200) {
            ++accepted;
        }
    }
};

AnnounceRun::AnnounceRun(const Asio::any_io_executor &executor, AnnouncePlan plan)
    : m_state(std::make_shared<State>(executor, std::move(plan)))
{
}

AnnounceRun::~AnnounceRun() = default;

awaitable<AnnounceCounts> AnnounceRun::run()
{
    auto state = m_state;
    for (int i = 0; i < streams; ++i) {
        ++state->open;
        spawn(state->executor, "announce", [state, i] { return state->announceStream(i); });
    }
    while (state->open > 0) {
        co_await sleepFor(milliseconds(10));
    }
    AnnounceCounts counts;
    counts.sent = state->sent;
    counts.accepted = state->accepted;
    co_return counts;
}

} // namespace Trefoilhoist::Tools

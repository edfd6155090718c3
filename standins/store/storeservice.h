#pragma once

#include "standins/store/storestate.h"
#include "trefoilhoist/net/asio.h"
#include "trefoilhoist/net/httpmessage.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace Trefoilhoist::Standin {

/// What goes wrong on purpose; set by PUT /-/faults.
struct StoreFaults {
    /// Every call is refused without effect.
    bool outage = false;
    /// Added to each answer, in milliseconds.
    int slowMs = 0;
    /// Share of writes whose answer is replaced by an error after the effect, 0 to 1.
    double lostAnswers = 0;
    /// How long a lost answer hangs before its error, in milliseconds.
    int lostAnswerStallMs = 0;
    /// Share of watches and listings answered from before the last write, 0 to 1.
    double staleReads = 0;
    /// Share of watches answered at once with what the watcher has seen already, 0 to 1.
    double repeatedWatches = 0;
    /// Calls taken in a second; 0 for any number.
    int maxWritesPerSecond = 0;
    int maxReadsPerSecond = 0;
};

/// The HTTP side of the store: a part of Consul's KV and session API. Used on one strand.
class StoreService
{
public:
    StoreService(Asio::any_io_executor strand, const Clock &clock, std::uint64_t seed, std::string dataFile);

    awaitable<HttpResponse> handle(HttpRequest request);
    /// Ends lapsed sessions.
    void tick();

private:
    awaitable<HttpResponse> handleKey(const HttpRequest &request);
    awaitable<HttpResponse> read(const HttpRequest &request, std::string key);
    HttpResponse writeKey(const HttpRequest &request, const std::string &key);
    HttpResponse handleSession(const HttpRequest &request);
    HttpResponse handleControl(const HttpRequest &request);
    HttpResponse setFaults(const std::string &body);
    [[nodiscard]] HttpResponse counts() const;

    awaitable<void> waitForChange(const std::string &prefix, std::uint64_t index, Duration wait);
    [[nodiscard]] HttpResponse listing(const std::vector<StoredEntry> &entries, std::uint64_t index) const;
    bool admit(const HttpRequest &request, const std::string &kind, bool write);
    bool chance(double share);
    void changed();

    Asio::any_io_executor m_strand;
    const Clock &m_clock;
    StoreState m_state;
    StoreFaults m_faults;
    std::mt19937_64 m_random;
    std::string m_dataFile;
    std::set<std::shared_ptr<Asio::steady_timer>> m_waiting;
    std::map<std::string, std::map<std::string, std::uint64_t>> m_callsByCaller;
    TimePoint m_secondStart;
    int m_writesThisSecond = 0;
    int m_readsThisSecond = 0;
};

} // namespace Trefoilhoist::Standin

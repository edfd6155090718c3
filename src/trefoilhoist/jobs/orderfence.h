#pragma once

#include "trefoilhoist/jobs/jobtypes.h"
#include "trefoilhoist/world/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Trefoilhoist::Jobs {

/// Decides at a worker which owner's orders may pass, and how long the minion may hold what runs.
///
/// A lease counts from the sending of the report that it answers. Orders pass only under the lease that their owner
/// gave, so that orders held up on their way, or given by an earlier owner, do nothing. Not thread-safe.
class OrderFence
{
public:
    /// A newer owner: nothing of the earlier one passes any more. False for an older epoch.
    bool adoptEpoch(std::int64_t epoch);
    [[nodiscard]] std::int64_t epoch() const
    {
        return m_epoch;
    }

    /// The minion has answered a listing under this epoch's fencing token.
    void confirmListing(std::int64_t epoch);
    [[nodiscard]] bool isListed() const
    {
        return m_listed;
    }

    /// What the owner answered to a report that was sent at `sentAt`.
    void applyReply(const Wire::WorkerReportReply &reply, TimePoint sentAt);
    /// Nothing runs on the minion any more; orders wait for the owner's next term.
    void markStopped();
    [[nodiscard]] bool isStopped() const
    {
        return m_stopped;
    }

    /// Empty when the orders may pass, otherwise why not.
    [[nodiscard]] std::string refusalReason(const Wire::WorkerOrders &orders, TimePoint now) const;

    /// Also refuses starts that were held up on their way: the owner has long counted them as unanswered, and what
    /// they depended on may have changed. Stops that come late do no harm.
    [[nodiscard]] std::string startRefusalReason(const Wire::WorkerOrders &orders, TimePoint now) const;
    /// Report `number` is sent now.
    void trackReport(std::int64_t number, TimePoint now);

    [[nodiscard]] TimePoint leaseExpiry() const
    {
        return m_leaseEnds;
    }
    [[nodiscard]] std::int64_t recordedEnds() const
    {
        return m_recordedEnds;
    }
    /// Another life of the minion: its ends are numbered anew.
    void resetIncarnation();

    /// The minion's clock is at least `clockMs` at `now`.
    void observeMinionClock(std::int64_t clockMs, TimePoint now);
    /// Until when, on the minion's clock, it may hold what runs; nothing without a lease or a clock. Every use
    /// of it extends holdExpiry().
    [[nodiscard]] std::optional<std::int64_t> extendHold(TimePoint now);
    /// From here on nothing that was ordered can run, unless the minion is told to hold again.
    [[nodiscard]] TimePoint holdExpiry() const
    {
        return m_mayRunUntil;
    }

private:
    std::int64_t m_epoch = 0;
    std::int64_t m_term = 0;
    std::int64_t m_stoppedTerm = 0;
    std::int64_t m_recordedEnds = 0;
    bool m_listed = false;
    bool m_stopped = false;
    TimePoint m_leaseEnds;
    TimePoint m_mayRunUntil;
    std::int64_t m_clockMs = 0;
    TimePoint m_clockAt;
    /// When the latest reports were sent, by number.
    std::map<std::int64_t, TimePoint> m_reports;
};

} // namespace Trefoilhoist::Jobs

#pragma once

#include "trefoilhoist/jobs/jobtypes.h"
#include "trefoilhoist/world/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Trefoilhoist::Jobs {

/// How long a minion may keep its runs.
struct HoldLimits {
    /// The longest hold that a minion takes from any process of its agent.
    Duration longest = seconds(6);
    /// A hold is extended by this time at most, so that a minion that has died is known to hold nothing soon after.
    Duration extension = milliseconds(2500);
};

/// Decides in a worker's agent which orders are admitted, and until when the minion may keep its runs (the hold).
///
/// A lease starts when the agent sends a report; the owner grants it in the reply. Orders are admitted only under the
/// lease that their owner granted, so delayed orders and orders of an earlier owner have no effect.
///
/// A minion may restart under its id, by which it is addressed, so that calls for one incarnation can reach the next.
/// From the first answer of another incarnation until its heartbeat, nothing is admitted or acknowledged. Not
/// thread-safe.
class OrderFence
{
public:
    OrderFence() = default;
    explicit OrderFence(HoldLimits limits) : m_limits(limits) { }

    /// Adopts an owner's epoch. Orders of earlier epochs are refused from then on. False for an older epoch.
    bool adoptEpoch(std::int64_t epoch);
    [[nodiscard]] std::int64_t epoch() const
    {
        return m_epoch;
    }
    /// The token with which the minion is called. It rises with the epoch and, within an epoch, with each incarnation
    /// of the minion: once an incarnation was called, it refuses the delayed calls that were meant for an earlier one.
    [[nodiscard]] std::int64_t fencingToken() const;
    /// To be called when the minion refuses the token: an earlier process of this agent has called it with a higher
    /// one.
    void raiseFencingToken();

    /// Notes that the minion has answered a listing under this epoch's fencing token.
    void confirmListing(std::int64_t epoch);
    [[nodiscard]] bool isListed() const
    {
        return m_listed;
    }

    /// Applies the owner's answer to a report that was sent at `sentAt`.
    void applyReply(const Wire::WorkerReportReply &reply, TimePoint sentAt);
    /// Notes that the minion's hold has expired and that nothing runs there any more. Orders are refused until the
    /// owner grants the next lease term, or answers a later report in which the minion is reached again: it has not
    /// given up the runs then.
    void markStopped();
    [[nodiscard]] bool isStopped() const
    {
        return m_stopped;
    }

    /// Returns why the orders are refused; empty if they are admitted.
    [[nodiscard]] std::string refusalReason(const Wire::WorkerOrders &orders, TimePoint now) const;

    /// Like refusalReason(), but also refuses starts that were delayed in transit: the owner has already counted them
    /// as unanswered, and the state on which it based them may have changed. Late stops are harmless.
    [[nodiscard]] std::string startRefusalReason(const Wire::WorkerOrders &orders, TimePoint now) const;
    /// Tracks when report `number` was sent.
    void trackReport(std::int64_t number, TimePoint now);

    [[nodiscard]] TimePoint leaseExpiry() const
    {
        return m_leaseExpiry;
    }
    /// The owner has recorded the ended tasks with numbers up to this one.
    [[nodiscard]] std::int64_t recordedEnds() const
    {
        return m_recordedEnds;
    }
    /// The minion drops its ended tasks with numbers up to this one; 0 if it has dropped all that are recorded. An
    /// unneeded number could only do harm, in a call that reaches another incarnation.
    [[nodiscard]] std::int64_t endsToDrop() const;
    /// Notes that the minion has answered a call that told it to drop ended tasks up to `number`.
    void confirmDropped(std::int64_t number);
    /// Notes that another incarnation answers under the minion's id, of which no heartbeat has arrived yet.
    void markReplaced();
    [[nodiscard]] bool isReplaced() const
    {
        return m_replaced;
    }
    /// Resets the state for a new incarnation of the minion, which started at `bornMs` in Unix time and numbers its
    /// ended tasks from 1 again.
    void resetForNewIncarnation(std::int64_t bornMs);

    /// To be called at each call to the minion and when it returns. After a gap, the host was suspended: the minion's
    /// clock may stand where it was read last, so that its hold lasts for as long from now on.
    void noteCall(TimePoint now);
    /// Observes the minion's clock: it shows at least `clockMs` at `now`.
    void observeMinionClock(std::int64_t clockMs, TimePoint now);
    /// Returns until when, on the minion's clock, it may keep its runs; nothing without a lease or a known clock. Each
    /// call moves holdExpiry() to that time.
    [[nodiscard]] std::optional<std::int64_t> extendHold(TimePoint now);
    /// Like extendHold(), but to the end of the lease, for the time in which this agent is restarted.
    [[nodiscard]] std::optional<std::int64_t> extendHoldToLease(TimePoint now);
    /// True if the owner has given up the minion's runs, but the hold has not expired by the minion's clock when it was
    /// last observed. The runs must be stopped, and until the hold has expired it is not extended and no end is
    /// acknowledged: the tasks may have been started elsewhere.
    ///
    /// The owner tells so by a new lease term. It has also given them up if the lease has ended under which the hold
    /// was extended, and the hold has not expired: the host may have been suspended, and a minion's clock doesn't count
    /// that time.
    [[nodiscard]] bool mustLapse(TimePoint now) const
    {
        return m_isGivenUp || (now > m_leaseOfHold && m_clockMs < m_extendedUntilMs);
    }
    /// The hold that lease terms up to this one allowed has expired by the minion's clock.
    [[nodiscard]] std::int64_t lapsedTerm() const
    {
        return m_lapsedTerm;
    }
    /// Returns the time after which no ordered run can still be running, unless the hold is extended again.
    [[nodiscard]] TimePoint holdExpiry() const
    {
        return m_holdExpiry;
    }

private:
    std::optional<std::int64_t> extendHoldUntil(TimePoint until, TimePoint now);
    /// Notes a new lease term of the owner, and whether it has given up what ran before.
    void applyLeaseTerm(const Wire::WorkerReportReply &reply);
    void noteLapse();
    /// Moves holdExpiry() to when the minion's clock has passed the end of the hold, if it goes on from its last time.
    void keepHoldUntilClockPasses(TimePoint now);

    HoldLimits m_limits;
    std::int64_t m_epoch = 0;
    /// Unix milliseconds of the start of the minion's incarnation.
    std::int64_t m_bornMs = 0;
    /// The part of the fencing token that rises with the minion's incarnations.
    std::int64_t m_incarnationPart = 0;
    /// By how much that part rises when the minion refuses the token.
    std::int64_t m_tokenStep = 1;
    std::int64_t m_leaseTerm = 0;
    std::int64_t m_stoppedTerm = 0;
    std::int64_t m_recordedEnds = 0;
    std::int64_t m_droppedEnds = 0;
    bool m_replaced = false;
    bool m_listed = false;
    bool m_stopped = false;
    TimePoint m_leaseExpiry;
    TimePoint m_holdExpiry;
    std::int64_t m_clockMs = 0;
    TimePoint m_clockAt;
    /// When the minion was called last, or the call returned.
    TimePoint m_calledAt;
    /// The minion's clock is not known since.
    bool m_hostWasSuspended = false;
    /// The end of the lease under which the hold was extended last.
    TimePoint m_leaseOfHold;
    /// The end of the hold, by the minion's clock.
    std::int64_t m_extendedUntilMs = 0;
    /// By the minion's clock, the end of any hold that an earlier process of this agent may have given it.
    std::int64_t m_earlierHoldUntilMs = 0;
    bool m_isGivenUp = false;
    std::int64_t m_lapsedTerm = 0;
    /// The last report was sent at this time when the minion was reached again after markStopped().
    TimePoint m_stoppedReportAt;
    /// When the latest reports were sent, by number.
    std::map<std::int64_t, TimePoint> m_reports;
};

} // namespace Trefoilhoist::Jobs

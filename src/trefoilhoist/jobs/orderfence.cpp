#include "trefoilhoist/jobs/orderfence.h"

#include <algorithm>

namespace Trefoilhoist::Jobs {

namespace {

/// The slowest rate of a minion's clock, relative to real time, that the hold allows for.
constexpr double minClockRate = 0.98;
/// The minion is called more often than this. If no call was due for longer, the host was suspended: the minion's clock
/// may not have counted that time.
constexpr Duration maxCallInterval = milliseconds(1200);
/// Older starts are refused. The owner stops waiting for an answer after the same time.
constexpr Duration maxStartAge = milliseconds(1500);
/// Number of reports whose send time is kept; several are sent each second.
constexpr std::size_t keptReports = 64;
/// A fencing token holds the epoch above this many bits for the start of the incarnation. Up to an epoch of 2^19 it has
/// no more than the 53 bits that every reader of JSON keeps exact.
constexpr int incarnationBits = 34;
constexpr std::int64_t maxIncarnationPart = (std::int64_t{1} << incarnationBits) - 1;
/// Two incarnations start further apart than this.
constexpr std::int64_t incarnationUnitMs = 256;

/// The time that the slowest clock of a minion takes for `clockMs`.
Duration realTime(std::int64_t clockMs)
{
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(clockMs) / minClockRate) + 1);
}

} // namespace

bool OrderFence::adoptEpoch(std::int64_t epoch)
{
    if (epoch < m_epoch) {
        return false;
    }
    if (epoch > m_epoch) {
        m_epoch = epoch;
        m_leaseTerm = 0;
        m_stoppedTerm = 0;
        m_lapsedTerm = 0;
        m_listed = false;
        m_leaseExpiry = TimePoint{};
    }
    return true;
}

std::int64_t OrderFence::fencingToken() const
{
    return (m_epoch << incarnationBits) + m_incarnationPart;
}

void OrderFence::raiseFencingToken()
{
    m_tokenStep *= 2;
    m_incarnationPart = std::min(m_incarnationPart + m_tokenStep, maxIncarnationPart);
}

void OrderFence::confirmListing(std::int64_t epoch)
{
    if (epoch != m_epoch) {
        return;
    }
    m_listed = true;
    if (m_stopped) {
        m_stopped = false;
        m_stoppedReportAt = m_reports.empty() ? TimePoint{} : m_reports.rbegin()->second;
    }
}

void OrderFence::applyReply(const Wire::WorkerReportReply &reply, TimePoint sentAt)
{
    if (reply.epoch != m_epoch) {
        return;
    }
    if (!m_stopped && sentAt > m_stoppedReportAt) {
        m_stoppedTerm = 0;
    }
    applyLeaseTerm(reply);
    m_recordedEnds = std::max(m_recordedEnds, reply.recordedEnds);
    if (reply.leaseMs > 0) {
        m_leaseExpiry = std::max(m_leaseExpiry, sentAt + milliseconds(reply.leaseMs));
    }
}

void OrderFence::applyLeaseTerm(const Wire::WorkerReportReply &reply)
{
    m_leaseTerm = std::max(m_leaseTerm, reply.leaseTerm);
    m_lapsedTerm = std::max(m_lapsedTerm, reply.lapsedTerm);
    m_isGivenUp = m_isGivenUp || m_leaseTerm > m_lapsedTerm + 1;
    noteLapse();
}

void OrderFence::noteLapse()
{
    if (m_isGivenUp && m_clockMs > 0 && m_clockMs >= std::max(m_extendedUntilMs, m_earlierHoldUntilMs)) {
        m_isGivenUp = false;
        m_lapsedTerm = std::max(m_lapsedTerm, m_leaseTerm - 1);
    }
}

void OrderFence::markStopped()
{
    if (!m_stopped) {
        m_stopped = true;
        m_stoppedTerm = m_leaseTerm;
    }
}

std::int64_t OrderFence::endsToDrop() const
{
    return !m_replaced && m_recordedEnds > m_droppedEnds ? m_recordedEnds : 0;
}

void OrderFence::confirmDropped(std::int64_t number)
{
    m_droppedEnds = std::max(m_droppedEnds, number);
}

void OrderFence::markReplaced()
{
    m_replaced = true;
}

void OrderFence::resetForNewIncarnation(std::int64_t bornMs)
{
    // Also if the host's clock was set back between the starts of the two.
    const auto next = bornMs == m_bornMs ? m_incarnationPart : m_incarnationPart + 1;
    m_incarnationPart = std::clamp<std::int64_t>(bornMs / incarnationUnitMs, next, maxIncarnationPart);
    m_tokenStep = 1;
    m_bornMs = bornMs;
    m_replaced = false;
    m_droppedEnds = 0;
    m_listed = false;
    m_stopped = false;
    m_recordedEnds = 0;
    m_clockMs = 0;
    m_leaseOfHold = TimePoint{};
    m_extendedUntilMs = 0;
    m_earlierHoldUntilMs = 0;
    m_isGivenUp = false;
    m_lapsedTerm = 0;
    m_stoppedTerm = 0;
    m_leaseTerm = 0;
    m_leaseExpiry = TimePoint{};
    m_holdExpiry = TimePoint{};
}

std::string OrderFence::refusalReason(const Wire::WorkerOrders &orders, TimePoint now) const
{
    if (orders.epoch != m_epoch) {
        return "orders of epoch " + std::to_string(orders.epoch) + ", but the current epoch is "
            + std::to_string(m_epoch);
    }
    if (m_replaced) {
        return "another incarnation of the minion answers";
    }
    if (!m_listed || m_stopped) {
        return "the minion's runs are not known";
    }
    if (orders.leaseTerm != m_leaseTerm || m_leaseTerm <= m_stoppedTerm) {
        return "orders of lease term " + std::to_string(orders.leaseTerm) + ", but the current lease term is "
            + std::to_string(m_leaseTerm);
    }
    if (now >= m_leaseExpiry) {
        return "the worker's lease has expired";
    }
    return {};
}

std::string OrderFence::startRefusalReason(const Wire::WorkerOrders &orders, TimePoint now) const
{
    auto reason = refusalReason(orders, now);
    if (!reason.empty()) {
        return reason;
    }
    const auto report = m_reports.find(orders.afterReport);
    if (report == m_reports.end()) {
        return "starts based on report " + std::to_string(orders.afterReport)
            + ", which this agent has not sent or no longer tracks";
    }
    const auto age = now - report->second - milliseconds(orders.sinceReportMs);
    if (age > maxStartAge) {
        return "starts delayed by " + std::to_string(duration_cast<milliseconds>(age).count()) + " ms";
    }
    return {};
}

void OrderFence::trackReport(std::int64_t number, TimePoint now)
{
    m_reports[number] = now;
    while (m_reports.size() > keptReports) {
        m_reports.erase(m_reports.begin());
    }
}

void OrderFence::noteCall(TimePoint now)
{
    if (now - std::max(m_clockAt, m_calledAt) > maxCallInterval) {
        m_hostWasSuspended = true;
        keepHoldUntilClockPasses(now);
    }
    m_calledAt = now;
}

void OrderFence::keepHoldUntilClockPasses(TimePoint now)
{
    if (m_clockMs < m_extendedUntilMs) {
        m_holdExpiry = std::max(m_holdExpiry, now + realTime(m_extendedUntilMs - m_clockMs));
    }
}

void OrderFence::observeMinionClock(std::int64_t clockMs, TimePoint now)
{
    if (clockMs <= 0) {
        return;
    }
    if (m_clockMs == 0) {
        m_earlierHoldUntilMs = clockMs + duration_cast<milliseconds>(m_limits.longest).count();
    }
    m_clockMs = clockMs;
    m_clockAt = now;
    m_hostWasSuspended = false;
    keepHoldUntilClockPasses(now);
    noteLapse();
}

std::optional<std::int64_t> OrderFence::extendHold(TimePoint now)
{
    return extendHoldUntil(std::min(m_leaseExpiry, now + m_limits.extension), now);
}

std::optional<std::int64_t> OrderFence::extendHoldToLease(TimePoint now)
{
    return extendHoldUntil(m_leaseExpiry, now);
}

std::optional<std::int64_t> OrderFence::extendHoldUntil(TimePoint until, TimePoint now)
{
    noteCall(now);
    // After markStopped(), the owner may be giving the runs up.
    const bool mayBeGivenUp = m_leaseTerm <= m_stoppedTerm;
    if (m_replaced || m_clockMs == 0 || m_hostWasSuspended || now >= m_leaseExpiry || mayBeGivenUp || mustLapse(now)) {
        return std::nullopt;
    }
    m_holdExpiry = std::max(m_holdExpiry, until);
    m_leaseOfHold = std::max(m_leaseOfHold, m_leaseExpiry);
    // A clock that was read lately is taken as standing since. One of a minion that doesn't answer goes on.
    const auto age = now - m_clockAt;
    const auto left = until - now + (age > maxCallInterval ? age : Duration{});
    const auto untilMs = m_clockMs
        + static_cast<std::int64_t>(minClockRate * static_cast<double>(duration_cast<milliseconds>(left).count()));
    m_extendedUntilMs = std::max(m_extendedUntilMs, untilMs);
    return untilMs;
}

} // namespace Trefoilhoist::Jobs

#include "trefoilhoist/jobs/ordergate.h"

#include <algorithm>

namespace Trefoilhoist::Jobs {

namespace {

/// A minion's clock may be this slow.
constexpr double slowestClock = 0.98;
/// The owner gives up waiting for an answer after as long.
constexpr Duration startValid = milliseconds(1500);
/// Reports whose time of sending is kept; several go out each second.
constexpr std::size_t keptReports = 64;

} // namespace

bool OrderGate::adopt(std::int64_t epoch)
{
    if (epoch < m_epoch) {
        return false;
    }
    if (epoch > m_epoch) {
        m_epoch = epoch;
        m_term = 0;
        m_goneTerm = 0;
        m_listed = false;
        m_leaseEnds = TimePoint{};
    }
    return true;
}

void OrderGate::listed(std::int64_t epoch)
{
    if (epoch == m_epoch) {
        m_listed = true;
        m_gone = false;
    }
}

void OrderGate::granted(const Wire::WorkerReportReply &reply, TimePoint sentAt)
{
    if (reply.epoch != m_epoch) {
        return;
    }
    m_term = std::max(m_term, reply.leaseTerm);
    m_recordedEnds = std::max(m_recordedEnds, reply.recordedEnds);
    if (reply.leaseMs > 0) {
        m_leaseEnds = std::max(m_leaseEnds, sentAt + milliseconds(reply.leaseMs));
    }
}

void OrderGate::gone()
{
    if (!m_gone) {
        m_gone = true;
        m_goneTerm = m_term;
        m_mayRunUntil = TimePoint{};
    }
}

void OrderGate::newLife()
{
    m_listed = false;
    m_gone = false;
    m_recordedEnds = 0;
    m_clockMs = 0;
    m_goneTerm = 0;
    m_term = 0;
    m_leaseEnds = TimePoint{};
    m_mayRunUntil = TimePoint{};
}

std::string OrderGate::refusal(const Wire::WorkerOrders &orders, TimePoint now) const
{
    if (orders.epoch != m_epoch) {
        return "orders of epoch " + std::to_string(orders.epoch) + ", the owner's is " + std::to_string(m_epoch);
    }
    if (!m_listed || m_gone) {
        return "the minion's runs are not known";
    }
    if (orders.leaseTerm != m_term || m_term <= m_goneTerm) {
        return "orders of lease term " + std::to_string(orders.leaseTerm) + ", the lease's is "
            + std::to_string(m_term);
    }
    if (now >= m_leaseEnds) {
        return "the worker's lease has ended";
    }
    return {};
}

std::string OrderGate::startRefusal(const Wire::WorkerOrders &orders, TimePoint now) const
{
    auto reason = refusal(orders, now);
    if (!reason.empty()) {
        return reason;
    }
    const auto report = m_reports.find(orders.afterReport);
    if (report == m_reports.end()) {
        return "starts given after report " + std::to_string(orders.afterReport) + ", which is not known";
    }
    const auto age = now - report->second - milliseconds(orders.sinceReportMs);
    if (age > startValid) {
        return "starts held up for " + std::to_string(duration_cast<milliseconds>(age).count()) + " ms";
    }
    return {};
}

void OrderGate::noteReport(std::int64_t number, TimePoint now)
{
    m_reports[number] = now;
    while (m_reports.size() > keptReports) {
        m_reports.erase(m_reports.begin());
    }
}

void OrderGate::noteMinionClock(std::int64_t clockMs, TimePoint now)
{
    if (clockMs > 0) {
        m_clockMs = clockMs;
        m_clockAt = now;
    }
}

std::optional<std::int64_t> OrderGate::holdUntil(TimePoint now)
{
    if (m_clockMs == 0 || now >= m_leaseEnds) {
        return std::nullopt;
    }
    m_mayRunUntil = std::max(m_mayRunUntil, m_leaseEnds);
    const auto left = duration_cast<milliseconds>(m_leaseEnds - m_clockAt).count();
    return m_clockMs + static_cast<std::int64_t>(slowestClock * static_cast<double>(left));
}

} // namespace Trefoilhoist::Jobs

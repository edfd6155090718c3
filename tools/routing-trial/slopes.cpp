#include "slopes.h"

#include "trefoilhoist/membership/membershiptable.h"
#include "trefoilhoist/routing/router.h"

#include <malloc.h>

#include <chrono>
#include <ctime>
#include <functional>
#include <iomanip>
#include <sstream>

namespace Trefoilhoist::Tools {

namespace {

constexpr int requestCount = 200'000;
constexpr int inFlightRequests = 64;
const TimePoint start(seconds(1000));

double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

// Processor microseconds of this thread.
double timed(const std::function<void()> &work)
{
    const auto now = [] {
        timespec spec{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spec);
        return static_cast<double>(spec.tv_sec) * 1e6 + static_cast<double>(spec.tv_nsec) / 1e3;
    };
    const auto before = now();
    work();
    return now() - before;
}

Announcement announcementOf(int n, std::int64_t sequence)
{
    Announcement news;
    news.minion.id = MinionId("minion-" + std::to_string(n));
    news.minion.endpoint = Endpoint{"127.0.0.1", static_cast<std::uint16_t>(n % 60'000)};
    news.minion.zone = ZoneId("az-" + std::to_string(n % 6));
    news.minion.service = ServiceId("lending");
    news.minion.labels = {{"rack", "r" + std::to_string(n / 40)}};
    news.minion.slots = 8;
    news.minion.connections = 64;
    news.minion.incarnation = 1;
    news.sequence = sequence;
    return news;
}

void announceAll(MembershipTable &table, int minions, std::int64_t sequence, TimePoint now)
{
    for (int n = 0; n < minions; ++n) {
        table.applyAnnouncement(announcementOf(n, sequence), now);
    }
}

void serveRequests(Router &router, int count)
{
    std::vector<Dispatch> running;
    TimePoint now = start;
    for (int n = 0; n < count; ++n) {
        now += microseconds(100);
        RouteRequest request;
        request.number = static_cast<RequestNumber>(n) + 1;
        request.caller = CallerId("caller-" + std::to_string(n % 20));
        request.service = ServiceId("lending");
        request.deadline = now + seconds(1);
        request.idempotent = true;
        for (const auto &action : router.admit(request, now)) {
            if (const auto *sent = std::get_if<Dispatch>(&action)) {
                running.push_back(*sent);
            }
        }
        if (running.size() >= inFlightRequests) {
            const auto &done = running[static_cast<std::size_t>(n) % running.size()];
            const AttemptResult result{done.request, done.minion.id, AttemptEnd::Answered, milliseconds(6)};
            (void)router.finishAttempt(result, now);
            running[static_cast<std::size_t>(n) % running.size()] = running.back();
            running.pop_back();
        }
    }
}

} // namespace

SlopePoint measureSlope(int minions)
{
    SlopePoint point;
    point.minions = minions;
    const auto empty = heapBytes();
    MembershipTable table(EntryId("entry-a"), MembershipTimes{});
    announceAll(table, minions, 1, start);
    (void)table.takeDelta(start);
    point.membershipBytes = (heapBytes() - empty) / minions;
    point.heartbeatUs = timed([&] { announceAll(table, minions, 2, start + milliseconds(500)); }) / minions;
    point.expireUs = timed([&] { table.expire(start + milliseconds(600)); });
    point.digestUs = timed([&] { (void)table.differingBuckets(table.digest()); });
    const auto available = table.available();
    const auto before = heapBytes();
    RouterSettings settings;
    settings.self = EntryId("entry-a");
    settings.zone = ZoneId("az-1");
    Router router(settings);
    (void)router.setMinions(available, start);
    point.routerBytes = (heapBytes() - before) / minions;
    point.setMinionsUs = timed([&] { (void)router.setMinions(available, start); });
    point.requestUs = timed([&] { serveRequests(router, requestCount); }) / requestCount;
    return point;
}

std::string slopeTable(const std::vector<SlopePoint> &points)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(2)
        << "| minions | membership B a minion | router B a minion | heartbeat us | expire us a minion | digest us | "
           "setMinions us a minion | request us |\n|---|---|---|---|---|---|---|---|\n";
    for (const auto &point : points) {
        out << "| " << point.minions << " | " << point.membershipBytes << " | " << point.routerBytes << " | "
            << point.heartbeatUs << " | " << point.expireUs / point.minions << " | " << point.digestUs << " | "
            << point.setMinionsUs / point.minions << " | " << point.requestUs << " |\n";
    }
    return out.str();
}

} // namespace Trefoilhoist::Tools

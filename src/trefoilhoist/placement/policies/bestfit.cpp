#include "trefoilhoist/placement/policies/bestfit.h"

namespace Trefoilhoist::Detail {

namespace {

void addPart(std::int64_t free, std::int64_t room, double &sum, int &count)
{
    if (room > 0) {
        sum += static_cast<double>(free) / static_cast<double>(room);
        ++count;
    }
}

} // namespace

double leftover(const Host &host, const Resources &reserve)
{
    const auto left = host.free - reserve;
    double sum = 0;
    int count = 0;
    addPart(left.milliCpu, host.room.milliCpu, sum, count);
    addPart(left.memoryMb, host.room.memoryMb, sum, count);
    addPart(left.accelerators, host.room.accelerators, sum, count);
    return count == 0 ? 0 : sum / count;
}

double crowding(const HostTable &table, const Job &job, const Host &host)
{
    const auto tasks = static_cast<double>(job.tasks.size());
    if (tasks <= 1) {
        return 0;
    }
    // An availability zone lost takes more with it than a rack.
    return (0.5 * table.countInRack(job, host) + 0.5 * table.countInZone(job, host)) / tasks;
}

std::optional<double> BestFit::score(DecisionContext &context, const Candidate &candidate, const Host &host)
{
    return leftover(host, candidate.size.reserve) + crowdingWeight * crowding(context.table, *candidate.job, host);
}

} // namespace Trefoilhoist::Detail

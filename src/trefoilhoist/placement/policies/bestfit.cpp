#include "trefoilhoist/placement/policies/bestfit.h"

namespace Trefoilhoist::Detail {

namespace {

void addFraction(std::int64_t free, std::int64_t capacity, double &sum, int &count)
{
    if (capacity > 0) {
        sum += static_cast<double>(free) / static_cast<double>(capacity);
        ++count;
    }
}

} // namespace

double leftoverShare(const Host &host, const Resources &reserve)
{
    const auto left = host.free - reserve;
    double sum = 0;
    int count = 0;
    addFraction(left.milliCpu, host.batchCapacity.milliCpu, sum, count);
    addFraction(left.memoryMb, host.batchCapacity.memoryMb, sum, count);
    addFraction(left.accelerators, host.batchCapacity.accelerators, sum, count);
    return count == 0 ? 0 : sum / count;
}

double spreadPenalty(const HostTable &table, const Job &job, const Host &host)
{
    const auto tasks = static_cast<double>(job.tasks.size());
    if (tasks <= 1) {
        return 0;
    }
    // A task in the same rack counts twice, because it is in the same availability zone too.
    return (0.5 * table.countInRack(job, host) + 0.5 * table.countInZone(job, host)) / tasks;
}

std::optional<double> BestFit::score(DecisionContext &context, const Candidate &candidate, const Host &host)
{
    return leftoverShare(host, candidate.size.reserve)
        + spreadWeight * spreadPenalty(context.table, *candidate.job, host);
}

} // namespace Trefoilhoist::Detail

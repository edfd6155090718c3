#include "trefoilhoist/jobs/jobmemory.h"

#include <algorithm>

namespace Trefoilhoist::Jobs {

namespace {

// Estimates in bytes, with what the allocator and the containers add.
/// A job without its steps and texts, with the states of its two records.
constexpr std::int64_t jobBytes = 1300;
constexpr std::int64_t stepBytes = 350;
/// A step of an occurrence, with its entry among the steps to start.
constexpr std::int64_t openStepBytes = 350;
/// A task with one run of it.
constexpr std::int64_t taskBytes = 700;
constexpr std::int64_t occurrenceBytes = 150;
/// An occurrence that has finished is still listed.
constexpr std::int64_t finishedOccurrenceBytes = 120;
/// The occurrences of one job get one part of the limit, and further occurrences of any job are opened only up to some
/// of the parts, so that there is room for submissions.
constexpr std::int64_t partsOfLimit = 8;
constexpr std::int64_t partsForOccurrences = 6;
/// A submission that is being recorded: the job, the record to write, the record that was sent, and the caller's
/// request.
constexpr std::int64_t submissionCopies = 4;

std::int64_t textBytes(const std::string &text)
{
    return static_cast<std::int64_t>(text.size());
}

std::int64_t specBytes(const Wire::JobSpec &spec)
{
    std::int64_t bytes = textBytes(spec.payload) + textBytes(spec.queue.name) + textBytes(spec.queue.serviceName);
    for (const auto &it : spec.steps) {
        bytes += stepBytes + textBytes(it.image) + textBytes(it.requiredLabel) + textBytes(it.inputRack)
            + std::ssize(it.after) * static_cast<std::int64_t>(sizeof(std::int32_t));
    }
    return bytes;
}

std::int64_t bytesOfOccurrence(const Wire::JobSpec &spec)
{
    return occurrenceBytes + std::ssize(spec.steps) * openStepBytes + taskCount(spec) * taskBytes;
}

std::int64_t openOccurrences(const Job &job)
{
    return std::count_if(
        job.occurrences().begin(), job.occurrences().end(), [](const auto &it) { return !it.second.steps.empty(); });
}

} // namespace

JobMemory::JobMemory(std::int64_t limitBytes) : m_limitBytes(limitBytes) { }

std::int64_t JobMemory::shareOf(std::size_t memoryBytes)
{
    constexpr std::int64_t parts = 5;
    constexpr std::int64_t partsForJobs = 2;
    return static_cast<std::int64_t>(memoryBytes) / parts * partsForJobs;
}

std::int64_t JobMemory::submissionBytes(const Wire::JobSpec &spec)
{
    return jobBytes + submissionCopies * specBytes(spec) + spec.occurrences * finishedOccurrenceBytes
        + bytesOfOccurrence(spec);
}

std::int64_t JobMemory::recordedBytes(const Job &job)
{
    if (job.isNeverSubmitted()) {
        return unknownCancelBytes;
    }
    const auto &spec = job.spec();
    const std::int64_t open = openOccurrences(job);
    std::int64_t bytes = jobBytes + specBytes(spec) + open * bytesOfOccurrence(spec);
    if (job.isActive()) {
        bytes += spec.occurrences * finishedOccurrenceBytes;
        // A repeated job that has no occurrence yet can always open one.
        bytes += open == 0 ? bytesOfOccurrence(spec) : 0;
    }
    return bytes;
}

bool JobMemory::hasRoomFor(std::int64_t bytes) const
{
    return m_usedBytes + bytes <= m_limitBytes;
}

std::int64_t JobMemory::maxOpenOccurrences(const Job &job) const
{
    const auto bytes = bytesOfOccurrence(job.spec());
    const auto free = std::max<std::int64_t>(0, m_limitBytes / partsOfLimit * partsForOccurrences - m_usedBytes);
    return std::min(openOccurrences(job) + free / bytes, m_limitBytes / partsOfLimit / bytes);
}

void JobMemory::replace(std::int64_t before, std::int64_t after)
{
    m_usedBytes += after - before;
}

} // namespace Trefoilhoist::Jobs

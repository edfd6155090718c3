#pragma once

#include "trefoilhoist/jobs/job.h"

#include <cstddef>
#include <cstdint>

namespace Trefoilhoist::Jobs {

/// Bytes that a cancel of an unknown job takes.
inline constexpr std::int64_t unknownCancelBytes = 1500;

/// Estimates the bytes that jobs take in the owner's memory, with their records and runs, and decides whether there is
/// room for more. The estimates are upper bounds, so that another process can load what this one has accepted. Not
/// thread-safe.
class JobMemory
{
public:
    explicit JobMemory(std::int64_t limitBytes);
    /// The limit for a process that has `memoryBytes`: two fifths. Connections have a quarter; the rest is for the
    /// program itself, and for what parsing and the allocator take beside the bytes that are counted.
    [[nodiscard]] static std::int64_t shareOf(std::size_t memoryBytes);

    /// What a job takes while its submission is being recorded.
    [[nodiscard]] static std::int64_t submissionBytes(const Wire::JobSpec &spec);
    /// What a job takes once its submission or its end is recorded.
    [[nodiscard]] static std::int64_t recordedBytes(const Job &job);

    [[nodiscard]] bool hasRoomFor(std::int64_t bytes) const;
    /// How many occurrences of a repeated job there is room for, with those that are open. Some room stays for
    /// submissions.
    [[nodiscard]] std::int64_t maxOpenOccurrences(const Job &job) const;
    /// Changes the part of one job from `before` to `after`, both in bytes.
    void replace(std::int64_t before, std::int64_t after);
    [[nodiscard]] std::int64_t usedBytes() const
    {
        return m_usedBytes;
    }

private:
    std::int64_t m_limitBytes;
    std::int64_t m_usedBytes = 0;
};

} // namespace Trefoilhoist::Jobs

#include "trefoilhoist/jobs/jobtypes.h"

#include "trefoilhoist/wire/message.h"

#include <tuple>

namespace Trefoilhoist::Wire {

// The generated code declares this operator but doesn't define it.
bool TaskRef::operator<(const TaskRef &other) const
{
    return std::tie(job, occurrence, step, index) < std::tie(other.job, other.occurrence, other.step, other.index);
}

} // namespace Trefoilhoist::Wire

namespace Trefoilhoist::Jobs {

bool RunKey::operator<(const RunKey &other) const
{
    return std::tie(task, run) < std::tie(other.task, other.run);
}

bool RunKey::operator==(const RunKey &other) const
{
    return run == other.run && task == other.task;
}

std::int64_t taskCount(const Wire::JobSpec &spec)
{
    std::int64_t count = 0;
    for (const auto &it : spec.steps) {
        count += it.count;
    }
    return count;
}

std::optional<std::string> reasonTooLarge(const Wire::JobSpec &spec)
{
    if (spec.payload.size() > maxSpecificationBytes) {
        return "the specification has " + std::to_string(spec.payload.size()) + " bytes; it may have "
            + std::to_string(maxSpecificationBytes);
    }
    if (const auto tasks = taskCount(spec); tasks > maxTasksOfJob) {
        return "the job has " + std::to_string(tasks) + " tasks; it may have " + std::to_string(maxTasksOfJob);
    }
    if (const auto bytes = Wire::encode(spec).size(); bytes > maxSubmissionBytes) {
        return "the job takes " + std::to_string(bytes) + " bytes; it may take " + std::to_string(maxSubmissionBytes);
    }
    return std::nullopt;
}

Wire::TaskRef taskRef(const std::string &job, int occurrence, std::size_t step, std::size_t index)
{
    Wire::TaskRef ref;
    ref.job = job;
    ref.occurrence = occurrence;
    ref.step = static_cast<int>(step);
    ref.index = static_cast<int>(index);
    return ref;
}

std::string taskName(const Wire::TaskRef &task)
{
    return task.job + '.' + std::to_string(task.occurrence) + '.' + std::to_string(task.step) + '.'
        + std::to_string(task.index);
}

} // namespace Trefoilhoist::Jobs

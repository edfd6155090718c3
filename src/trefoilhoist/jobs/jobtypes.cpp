#include "trefoilhoist/jobs/jobtypes.h"

#include <tuple>

namespace Trefoilhoist::Wire {

// Declared by the generated code, which leaves the order to its user.
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

std::string taskName(const Wire::TaskRef &task)
{
    return task.job + '.' + std::to_string(task.occurrence) + '.' + std::to_string(task.step) + '.'
        + std::to_string(task.index);
}

} // namespace Trefoilhoist::Jobs

#include "trefoilhoist/jobs/recordkeys.h"

namespace Trefoilhoist::Jobs {

namespace {

const std::string specSuffix = "/spec";
const std::string progressSuffix = "/progress";

} // namespace

std::string specKey(const std::string &job)
{
    return jobPrefix + job + specSuffix;
}

std::string progressKey(const std::string &job)
{
    return jobPrefix + job + progressSuffix;
}

JobRecordKey parseJobRecordKey(const std::string &key)
{
    JobRecordKey name;
    if (!key.starts_with(jobPrefix)) {
        return name;
    }
    name.isSpec = key.ends_with(specSuffix);
    const auto suffix = name.isSpec ? specSuffix.size() : progressSuffix.size();
    name.job = key.substr(jobPrefix.size(), key.size() - jobPrefix.size() - suffix);
    return name;
}

} // namespace Trefoilhoist::Jobs

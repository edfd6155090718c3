#pragma once

#include "trefoilhoist/jobs/jobtypes.h"
#include "trefoilhoist/jobs/queuetable.h"
#include "trefoilhoist/net/httpmessage.h"
#include "trefoilhoist/world/clock.h"

#include <tl/expected.hpp>

#include <string>

namespace Trefoilhoist::Jobs {

enum class CallerVerb { Submit, QueryJob, CancelJob, QueryQueue };

/// A caller's request before its queue is known.
struct CallerRequest {
    CallerVerb verb = CallerVerb::QueryJob;
    std::string host;
    std::string path;
    /// How long the caller waits for an answer.
    Duration patience = seconds(3);
};

/// Reads callers' requests and writes the answers, in the words that callers know.
class CallerTranslator
{
public:
    virtual ~CallerTranslator() = default;

    [[nodiscard]] virtual tl::expected<CallerRequest, std::string> request(const HttpRequest &request) const = 0;
    /// The job's id: what follows the queue's prefix; empty for the queue itself.
    [[nodiscard]] virtual tl::expected<Wire::JobSpec, std::string>
    job(const std::string &id, const Wire::QueuePolicy &queue, const std::string &body) const = 0;

    [[nodiscard]] virtual HttpResponse answer(CallerVerb verb, const Wire::JobAnswer &answer) const = 0;
    [[nodiscard]] virtual HttpResponse queueNotFound() const = 0;
    [[nodiscard]] virtual HttpResponse badRequest(const std::string &reason) const = 0;
};

/// Reads operators' queues from the value of their record.
class ConfigurationTranslator
{
public:
    virtual ~ConfigurationTranslator() = default;

    /// Where the record lies.
    [[nodiscard]] virtual std::string key() const = 0;
    [[nodiscard]] virtual tl::expected<QueueTable, std::string> queues(const std::string &value) const = 0;
};

} // namespace Trefoilhoist::Jobs

#pragma once

#include "trefoilhoist/jobs/jobtypes.h"
#include "trefoilhoist/jobs/queuetable.h"
#include "trefoilhoist/net/httpmessage.h"
#include "trefoilhoist/world/clock.h"

#include <tl/expected.hpp>

#include <optional>
#include <string>

namespace Trefoilhoist::Jobs {

enum class CallerVerb { Submit, QueryJob, CancelJob, QueryQueue };

/// A caller's request, before its queue has been looked up.
struct CallerRequest {
    CallerVerb verb = CallerVerb::QueryJob;
    std::string host;
    std::string path;
    /// How long the caller waits for an answer.
    Duration timeout = seconds(3);
};

/// Translates between the HTTP interface for callers and the scheduler's own types.
class CallerTranslator
{
public:
    virtual ~CallerTranslator() = default;

    [[nodiscard]] virtual tl::expected<CallerRequest, std::string> request(const HttpRequest &request) const = 0;
    /// False for a text that no job has as its id.
    [[nodiscard]] virtual bool isJobId(const std::string &id) const = 0;
    /// Parses a submitted job. `id` is the part of the path that follows the queue's prefix; it is empty for the queue
    /// itself.
    [[nodiscard]] virtual tl::expected<Wire::JobSpec, std::string>
    job(const std::string &id, const Wire::QueuePolicy &queue, const std::string &body) const = 0;

    [[nodiscard]] virtual HttpResponse answer(CallerVerb verb, const Wire::JobAnswer &answer) const = 0;
    [[nodiscard]] virtual HttpResponse queueNotFound() const = 0;
    [[nodiscard]] virtual HttpResponse badRequest(const std::string &reason) const = 0;
};

/// Names and parses the records that operators write to the store.
class ConfigurationTranslator
{
public:
    virtual ~ConfigurationTranslator() = default;

    /// What the keys of all operators' records begin with.
    [[nodiscard]] virtual std::string prefix() const = 0;
    /// The key of the record that configures the queues.
    [[nodiscard]] virtual std::string configurationKey() const = 0;
    /// The availability zone that the existence of a record with this key drains; nothing for other keys.
    [[nodiscard]] virtual std::optional<std::string> drainedZone(const std::string &key) const = 0;
    [[nodiscard]] virtual tl::expected<QueueTable, std::string> queues(const std::string &value) const = 0;
};

} // namespace Trefoilhoist::Jobs

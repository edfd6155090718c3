#pragma once

#include "trefoilhoist/net/httpmessage.h"
#include "trefoilhoist/placement/caseditor.h"
#include "trefoilhoist/placement/jobstore.h"
#include "trefoilhoist/verdict/verdict.h"

#include <memory>
#include <string>
#include <vector>

namespace Trefoilhoist {

/// How a submission or a cancellation of a job ended.
enum class IntakeStatus {
    Stored,
    /// The same job was kept before; nothing has changed.
    AlreadyStored,
    /// Another job has this id.
    Conflict,
    Cancelled,
    NotFound,
    /// The store's value for this job has no room.
    Full,
    /// The store could not be reached in time; the verdict says whether the change may still have been made.
    Unresolved,
};

struct IntakeResult {
    IntakeStatus status = IntakeStatus::Unresolved;
    Verdict verdict = Verdict::NotRun;
    std::string reason;
};

/// A submission's number, to find its result by.
using IntakeTicket = std::uint64_t;

/// Keeps jobs in the store: gathers what comes for one value into one compare-and-swap, recognises repeated
/// submissions by job id, and settles lost answers by reading back. No input or output. Not thread-safe.
class IntakeQueue
{
public:
    struct Result {
        IntakeTicket ticket = 0;
        IntakeResult result;
    };

    /// `writer` makes write ids and nonces unique among processes and starts.
    IntakeQueue(const std::string &cell, std::string writer, Duration retryAfter = milliseconds(100));

    IntakeTicket submit(const Job &job, TimePoint deadline);
    IntakeTicket cancel(const JobId &job, TimePoint deadline);

    /// Also gives up what is past its deadline.
    std::vector<StoreCommand> poll(TimePoint now);
    std::vector<StoreCommand> reply(TimePoint now, const StoreReply &reply);
    [[nodiscard]] std::vector<Result> takeResults();
    [[nodiscard]] bool idle() const;

private:
    struct Change {
        IntakeTicket ticket = 0;
        TimePoint deadline{};
        JobId job;
        /// Empty for a cancellation.
        std::optional<StoredJob> submitted;
        /// True once a write that carries the change was sent.
        bool sent = false;
        IntakeResult outcome;
        /// True when the present read has decided the outcome.
        bool decided = false;
    };
    struct Segment {
        CasEditor editor;
        std::vector<Change> changes;
    };

    IntakeTicket add(Change change);
    std::optional<std::string> edit(Segment &segment, const ValueRead &value);
    static bool applySubmission(Change &change, JobSegment &jobs);
    static bool applyCancellation(Change &change, JobSegment &jobs);
    void finishEdit(Segment &segment);
    void expire(TimePoint now, Segment &segment);

    std::string m_writer;
    std::vector<Segment> m_segments;
    std::vector<Result> m_results;
    IntakeTicket m_lastTicket = 0;
    std::int64_t m_writeCount = 0;
};

/// What the store says of a job.
struct JobStatus {
    std::string state;
    std::size_t tasks = 0;
    std::size_t done = 0;
    std::string failure;
};

/// Job intake over a store client. Thread-safe.
class JobIntake
{
public:
    JobIntake(const Asio::any_io_executor &executor,
              StoreClient &store,
              const std::string &cell,
              std::string writer,
              Duration timeout = seconds(5));
    ~JobIntake();
    JobIntake(const JobIntake &) = delete;
    JobIntake &operator=(const JobIntake &) = delete;

    awaitable<IntakeResult> submit(Job job);
    awaitable<IntakeResult> cancel(JobId job);
    /// Nothing when the job is not known.
    awaitable<StoreResult<std::optional<JobStatus>>> status(JobId job);

    /// Serves `POST /-/jobs`, `GET /-/jobs/<id>` and `DELETE /-/jobs/<id>`.
    awaitable<HttpResponse> handle(HttpRequest request);

private:
    struct State;

    awaitable<HttpResponse> handleSubmission(HttpRequest request);

    std::shared_ptr<State> m_state;
};

} // namespace Trefoilhoist

#pragma once

#include "trefoilhoist/net/httpmessage.h"
#include "trefoilhoist/placement/caseditor.h"
#include "trefoilhoist/placement/jobstore.h"
#include "trefoilhoist/verdict/verdict.h"

#include <memory>
#include <string>
#include <vector>

namespace Trefoilhoist {

/// Outcome of a submission or a cancellation of a job.
enum class IntakeStatus {
    Stored,
    /// The same job is already in the store; nothing has changed.
    AlreadyStored,
    /// Another job has the same id.
    Conflict,
    Cancelled,
    NotFound,
    /// The store value that would hold this job has reached its size limit.
    Full,
    /// The store did not confirm the change in time. The verdict states whether it may still have been made.
    Unresolved,
};

struct IntakeResult {
    IntakeStatus status = IntakeStatus::Unresolved;
    Verdict verdict = Verdict::NotRun;
    std::string reason;
};

/// Identifies a submission or cancellation and its result.
using IntakeTicket = std::uint64_t;

/// Writes submitted jobs to the store. Batches all changes to one value into one compare-and-swap, recognizes repeated
/// submissions by job id, and resolves lost answers by reading the value again. Does no I/O itself. Not thread-safe.
class IntakeQueue
{
public:
    struct Result {
        IntakeTicket ticket = 0;
        IntakeResult result;
    };

    /// `writer` makes write ids and nonces unique across processes and their restarts.
    IntakeQueue(const std::string &cell, std::string writer, Duration retryAfter = milliseconds(100));

    IntakeTicket submit(const Job &job, TimePoint deadline);
    IntakeTicket cancel(const JobId &job, TimePoint deadline);

    /// Returns the commands that start due edits. Changes past their deadline end as Unresolved.
    std::vector<StoreCommand> poll(TimePoint now);
    /// Applies the reply to a command and returns the commands that follow from it.
    std::vector<StoreCommand> reply(TimePoint now, const StoreReply &reply);
    [[nodiscard]] std::vector<Result> takeResults();
    [[nodiscard]] bool idle() const;

private:
    struct Change {
        IntakeTicket ticket = 0;
        TimePoint deadline{};
        JobId job;
        /// Nothing for a cancellation.
        std::optional<StoredJob> submitted;
        /// True once a write that contains the change was sent.
        bool sent = false;
        IntakeResult outcome;
        /// True if the outcome was decided by the current edit.
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

/// Status of a job according to the store.
struct JobStatus {
    std::string state;
    std::size_t tasks = 0;
    std::size_t done = 0;
    std::string failure;
};

/// Runs an IntakeQueue with a store client. Thread-safe.
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
    /// Returns nothing if the job is not in the store.
    awaitable<StoreResult<std::optional<JobStatus>>> status(JobId job);

    /// Serves `POST /-/jobs`, `GET /-/jobs/<id>` and `DELETE /-/jobs/<id>`.
    awaitable<HttpResponse> handle(HttpRequest request);

private:
    struct State;

    awaitable<HttpResponse> handleSubmission(HttpRequest request);

    std::shared_ptr<State> m_state;
};

} // namespace Trefoilhoist

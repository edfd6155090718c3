#include "trefoilhoist/jobs/job.h"

#include <algorithm>

namespace Trefoilhoist::Jobs {

namespace {

constexpr std::size_t bitsPerByte = 8;

std::string packFinishedBits(const StepState &step)
{
    std::string bits((step.tasks.size() + bitsPerByte - 1) / bitsPerByte, '\0');
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
        if (step.tasks[i].done) {
            bits[i / bitsPerByte]
                = static_cast<char>(static_cast<unsigned char>(bits[i / bitsPerByte]) | (1U << (i % bitsPerByte)));
        }
    }
    return bits;
}

bool isBitSet(const std::string &bits, std::size_t i)
{
    return i / bitsPerByte < bits.size()
        && ((static_cast<unsigned char>(bits[i / bitsPerByte]) >> (i % bitsPerByte)) & 1U) != 0;
}

} // namespace

Job::Job(Wire::JobSpec spec, TimePoint acceptedAt) : m_spec(std::move(spec)), m_acceptedAt(acceptedAt)
{
    // 0 occurrences: the job isn't repeated and has one occurrence, which is due at once.
    if (m_spec.occurrences == 0) {
        openOccurrence(0);
        m_openedOccurrences = 1;
    }
}

void Job::openOccurrence(int number)
{
    auto &occurrence = m_occurrences[number];
    for (const auto &step : m_spec.steps) {
        StepState state;
        state.tasks.resize(static_cast<std::size_t>(step.count));
        state.unfinished = step.count;
        occurrence.steps.push_back(std::move(state));
    }
}

std::optional<std::int64_t> Job::nextDueMs() const
{
    if (!isActive() || m_openedOccurrences >= m_spec.occurrences) {
        return std::nullopt;
    }
    return dueMs(m_openedOccurrences);
}

std::int64_t Job::dueMs(int number) const
{
    return m_spec.firstDueMs + number * m_spec.intervalMs;
}

void Job::openDueOccurrences(std::int64_t wallMs, std::int64_t maxOpen)
{
    const auto tasks = taskCount(m_spec);
    for (auto due = nextDueMs(); due && *due <= wallMs; due = nextDueMs()) {
        const std::int64_t open = m_openedOccurrences - m_finishedOccurrences;
        if (open > 0 && (open >= maxOpen || (open + 1) * tasks > maxTasksOfJob)) {
            break;
        }
        openOccurrence(m_openedOccurrences);
        ++m_openedOccurrences;
    }
}

bool Job::openStartedOccurrence(int number)
{
    if (!isActive() || number < m_openedOccurrences || number >= m_spec.occurrences) {
        return false;
    }
    while (m_openedOccurrences <= number) {
        openOccurrence(m_openedOccurrences);
        m_occurrences[m_openedOccurrences].openedEarly = true;
        ++m_openedOccurrences;
    }
    return true;
}

TaskState *Job::task(const Wire::TaskRef &ref)
{
    const auto it = m_occurrences.find(ref.occurrence);
    if (it == m_occurrences.end() || ref.step < 0 || ref.index < 0
        || static_cast<std::size_t>(ref.step) >= it->second.steps.size()) {
        return nullptr;
    }
    auto &tasks = it->second.steps[static_cast<std::size_t>(ref.step)].tasks;
    return static_cast<std::size_t>(ref.index) < tasks.size() ? &tasks[static_cast<std::size_t>(ref.index)] : nullptr;
}

bool Job::isStepReady(const OccurrenceState &occurrence, int step) const
{
    const auto &after = m_spec.steps[static_cast<std::size_t>(step)].after;
    return std::all_of(after.begin(), after.end(), [&](int it) {
        return occurrence.steps[static_cast<std::size_t>(it)].unfinished == 0;
    });
}

void Job::trackRun(const Wire::TaskRef &ref, std::int64_t run, const std::string &worker)
{
    auto *state = task(ref);
    if (state == nullptr) {
        return;
    }
    state->activeRuns.push_back({run, worker});
    state->lastRun = std::max(state->lastRun, run);
}

void Job::confirmStart()
{
    m_hasStarted = true;
    if (m_phase == JobPhase::Queued) {
        m_phase = JobPhase::Running;
    }
}

bool Job::dropRun(const Wire::TaskRef &ref, std::int64_t run)
{
    auto *state = task(ref);
    return state != nullptr && std::erase_if(state->activeRuns, [&](const auto &it) { return it.run == run; }) > 0;
}

void Job::bumpVersion()
{
    ++m_version;
}

void Job::end(JobPhase phase, std::int64_t wallMs)
{
    m_phase = phase;
    m_endedAtMs = wallMs;
    bumpVersion();
}

void Job::finishOccurrence(int number, OccurrenceState &occurrence)
{
    occurrence.finished = true;
    ++m_finishedOccurrences;
    if (m_finishedOccurrences >= std::max(1, m_spec.occurrences)) {
        end(JobPhase::Completed, wallMilliseconds());
        return;
    }
    // Without active runs the steps are no longer needed. The occurrence itself stays, so it is not opened again.
    const bool idle = std::all_of(occurrence.steps.begin(), occurrence.steps.end(), [](const auto &step) {
        return std::all_of(step.tasks.begin(), step.tasks.end(), [](const auto &it) { return it.activeRuns.empty(); });
    });
    if (idle) {
        m_occurrences[number].steps.clear();
    }
}

bool Job::finishTask(const Wire::TaskRef &ref)
{
    auto *state = task(ref);
    if (state == nullptr || state->done || step(ref.step).longRunning) {
        return false;
    }
    auto &occurrence = m_occurrences[ref.occurrence];
    auto &stepState = occurrence.steps[static_cast<std::size_t>(ref.step)];
    if (step(ref.step).gang) {
        for (auto &it : stepState.tasks) {
            it.done = true;
        }
        stepState.unfinished = 0;
    } else {
        state->done = true;
        --stepState.unfinished;
    }
    bumpVersion();
    const bool finished = std::all_of(
        occurrence.steps.begin(), occurrence.steps.end(), [](const auto &it) { return it.unfinished == 0; });
    if (finished && isActive()) {
        finishOccurrence(ref.occurrence, occurrence);
    }
    return true;
}

bool Job::failTask(const Wire::TaskRef &ref, std::int64_t run, std::int64_t wallMs)
{
    auto *state = countingTask(ref);
    if (state == nullptr || step(ref.step).longRunning) {
        return false;
    }
    if (state->done || std::find(state->failures.begin(), state->failures.end(), run) != state->failures.end()) {
        return false;
    }
    state->failures.push_back(run);
    bumpVersion();
    if (isActive() && static_cast<int>(state->failures.size()) >= m_spec.queue.maxAttempts) {
        end(JobPhase::Failed, wallMs);
    }
    return true;
}

TaskState *Job::countingTask(const Wire::TaskRef &ref)
{
    auto *state = task(ref);
    if (state == nullptr || !step(ref.step).gang) {
        return state;
    }
    Wire::TaskRef first = ref;
    first.index = 0;
    return task(first);
}

CrashHistory *Job::crashHistory(const Wire::TaskRef &ref)
{
    auto *state = countingTask(ref);
    return state == nullptr ? nullptr : &state->crashes;
}

bool Job::recordCrash(const Wire::TaskRef &ref, Wire::RunCrash crash, std::int64_t wallMs)
{
    auto *state = countingTask(ref);
    if (state == nullptr || state->done || !isActive() || !state->crashes.add(std::move(crash))) {
        return false;
    }
    bumpVersion();
    if (state->crashes.isCause()) {
        end(JobPhase::Failed, wallMs);
    }
    return true;
}

bool Job::updateCheckpoint(const Wire::TaskRef &ref, const std::string &checkpoint)
{
    auto *state = task(ref);
    if (state == nullptr || state->done || checkpoint.empty() || state->checkpoint == checkpoint) {
        return false;
    }
    state->checkpoint = checkpoint;
    return true;
}

void Job::requestCheckpointRecording()
{
    if (isActive()) {
        bumpVersion();
    }
}

void Job::cancel(std::int64_t wallMs)
{
    if (isActive()) {
        end(JobPhase::Cancelled, wallMs);
    }
}

void Job::releaseMemory()
{
    m_occurrences.clear();
    m_runTimes = {};
    m_spec.payload = {};
    m_spec.payload.shrink_to_fit();
}

void Job::cancelUnsubmitted(std::int64_t wallMs)
{
    m_neverSubmitted = true;
    cancel(wallMs);
}

Duration Job::criticalPath(const OccurrenceState *occurrence) const
{
    std::vector<Duration> finishTimes(m_spec.steps.size());
    Duration longest{};
    for (std::size_t i = 0; i < m_spec.steps.size(); ++i) {
        Duration start{};
        for (const int it : m_spec.steps[i].after) {
            start = std::max(start, finishTimes[static_cast<std::size_t>(it)]);
        }
        const bool finished
            = occurrence != nullptr && i < occurrence->steps.size() && occurrence->steps[i].unfinished == 0;
        finishTimes[i] = start + (finished ? Duration{} : expectedRunTime(i));
        longest = std::max(longest, finishTimes[i]);
    }
    return longest;
}

Duration Job::remainingCriticalPath(const OccurrenceState &occurrence) const
{
    return criticalPath(&occurrence);
}

Duration Job::totalCriticalPath() const
{
    return criticalPath(nullptr);
}

Wire::JobProgress Job::progress() const
{
    Wire::JobProgress result;
    result.phase = static_cast<int>(m_phase);
    result.endedAtMs = m_endedAtMs;
    result.neverSubmitted = m_neverSubmitted;
    if (!isActive()) {
        return result;
    }
    for (const auto &[number, occurrence] : m_occurrences) {
        auto &steps = result.occurrences[number];
        if (occurrence.finished) {
            continue;
        }
        for (const auto &step : occurrence.steps) {
            Wire::StepProgress stepProgress;
            stepProgress.finished = packFinishedBits(step);
            for (std::size_t i = 0; i < step.tasks.size(); ++i) {
                const auto &task = step.tasks[i];
                if (!task.failures.empty()) {
                    stepProgress.failures[static_cast<int>(i)] = task.failures;
                }
                if (!task.done && !task.crashes.isEmpty()) {
                    stepProgress.crashes[static_cast<int>(i)] = task.crashes.crashes();
                }
                if (!task.done && !task.checkpoint.empty()) {
                    stepProgress.checkpoints[static_cast<int>(i)] = task.checkpoint;
                }
            }
            steps.push_back(std::move(stepProgress));
        }
    }
    return result;
}

void Job::restore(const Wire::JobProgress &progress)
{
    m_phase = static_cast<JobPhase>(progress.phase);
    m_endedAtMs = progress.endedAtMs;
    m_neverSubmitted = progress.neverSubmitted;
    m_hasStarted = true;
    for (const auto &[number, steps] : progress.occurrences) {
        if (m_occurrences.count(number) == 0) {
            openOccurrence(number);
        }
        m_openedOccurrences = std::max(m_openedOccurrences, number + 1);
        auto &occurrence = m_occurrences[number];
        if (steps.empty()) {
            occurrence.finished = true;
            occurrence.steps.clear();
            ++m_finishedOccurrences;
            continue;
        }
        for (std::size_t i = 0; i < steps.size() && i < occurrence.steps.size(); ++i) {
            auto &tasks = occurrence.steps[i].tasks;
            for (std::size_t k = 0; k < tasks.size(); ++k) {
                tasks[k].done = isBitSet(steps[i].finished, k);
                const auto failures = steps[i].failures.find(static_cast<int>(k));
                if (failures != steps[i].failures.end()) {
                    tasks[k].failures = failures->second;
                }
                const auto crashes = steps[i].crashes.find(static_cast<int>(k));
                if (crashes != steps[i].crashes.end()) {
                    tasks[k].crashes = CrashHistory(crashes->second);
                }
                const auto checkpoint = steps[i].checkpoints.find(static_cast<int>(k));
                if (checkpoint != steps[i].checkpoints.end()) {
                    tasks[k].checkpoint = checkpoint->second;
                }
            }
            occurrence.steps[i].unfinished
                = static_cast<int>(std::count_if(tasks.begin(), tasks.end(), [](const auto &it) { return !it.done; }));
        }
    }
}

} // namespace Trefoilhoist::Jobs

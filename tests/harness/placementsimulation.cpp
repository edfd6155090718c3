#include "harness/placementsimulation.h"

#include "trefoilhoist/store/keys.h"

#include <algorithm>

namespace Trefoilhoist::Testing {

namespace {

const std::string cell = "c1";
constexpr Duration tick = milliseconds(20);
constexpr Duration storeTtl = seconds(3);
constexpr Duration storeMargin = milliseconds(150);
constexpr Duration syncTimeout = milliseconds(500);
constexpr Duration checkpointEvery = milliseconds(300);
constexpr double maxDrift = 0.005;

CellOwnerSettings ownerSettings(int index, const OwnerSafeguards &safeguards)
{
    CellOwnerSettings settings;
    settings.owner = "p" + std::to_string(index);
    settings.cell = cell;
    settings.lease = seconds(2);
    settings.clockMargin = milliseconds(150);
    settings.outageGrace = seconds(4);
    settings.syncInterval = milliseconds(400);
    settings.retryInterval = milliseconds(100);
    settings.decideInterval = milliseconds(40);
    settings.checkpointTimeout = seconds(2);
    // Longer than an entry may take to resolve a submission.
    settings.endedJobRetention = seconds(30);
    settings.safeguards = safeguards;
    return settings;
}

Duration progressOf(const std::string &checkpoint)
{
    return Duration(checkpoint.empty() ? 0 : std::stoll(checkpoint));
}

std::string text(const RunRef &ref)
{
    return ref.task.str() + " run " + std::to_string(ref.run >> runNumberEpochShift) + "."
        + std::to_string(ref.run & 0xffffffff);
}

} // namespace

PlacementSimulation::PlacementSimulation(PlacementSimulationPlan plan)
    : m_plan(plan), m_random(m_plan.seed), m_intake(cell, "entry", milliseconds(100))
{
    for (int i = 0; i < m_plan.workers; ++i) {
        WorkerHost host;
        host.id = WorkerId("w" + std::to_string(i));
        host.capacity = {4000, 4000, i % 2};
        host.rate = 1 + maxDrift * (2 * randomChance() - 1);
        host.offset = randomDuration(seconds(1000), seconds(2000));
        m_workerHosts.push_back(std::move(host));
    }
    for (int i = 0; i < m_plan.owners; ++i) {
        OwnerNode node;
        node.index = i;
        node.rate = 1 + maxDrift * (2 * randomChance() - 1);
        node.offset = randomDuration(seconds(1000), seconds(2000));
        m_ownerNodes.push_back(std::move(node));
    }
}

PlacementSimulation::~PlacementSimulation() = default;

PlacementSimulationResult PlacementSimulation::run()
{
    for (auto &host : m_workerHosts) {
        startWorkerHost(host);
    }
    for (auto &node : m_ownerNodes) {
        startOwnerNode(node);
    }
    submitJobs();
    scheduleFaults();
    const auto broken = [this] {
        return !m_result.violations.empty();
    };
    advanceUntil(m_now + m_plan.faultTime, broken);
    if (!broken()) {
        endFaults();
        advanceUntil(m_now + m_plan.recoveryTime, [&] { return broken() || isComplete(); });
        checkEnd();
    }
    return m_result;
}

void PlacementSimulation::at(Duration delay, std::function<void()> action)
{
    m_events.emplace(std::make_pair(m_now + delay, ++m_sequence), std::move(action));
}

void PlacementSimulation::advanceUntil(TimePoint end, const std::function<bool()> &done)
{
    while (!m_events.empty() && m_events.begin()->first.first <= end && !done()) {
        const auto first = m_events.begin();
        m_now = first->first.first;
        const auto action = std::move(first->second);
        m_events.erase(first);
        action();
    }
    m_now = done() ? m_now : end;
}

TimePoint PlacementSimulation::localNow(const OwnerNode &node) const
{
    return TimePoint{} + node.offset
        + Duration(static_cast<std::int64_t>(static_cast<double>(m_now.time_since_epoch().count()) * node.rate));
}

TimePoint PlacementSimulation::localNow(const WorkerHost &host) const
{
    return TimePoint{} + host.offset
        + Duration(static_cast<std::int64_t>(static_cast<double>(m_now.time_since_epoch().count()) * host.rate));
}

double PlacementSimulation::randomChance()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

bool PlacementSimulation::randomChance(double share)
{
    return randomChance() < share;
}

Duration PlacementSimulation::randomDuration(Duration low, Duration high)
{
    return Duration(std::uniform_int_distribution<std::int64_t>(low.count(), high.count())(m_random));
}

Duration PlacementSimulation::messageDelay()
{
    if (m_faultsEnabled && !m_plan.reliableWorkers && randomChance(0.03)) {
        return randomDuration(milliseconds(100), seconds(8));
    }
    return randomDuration(microseconds(300), milliseconds(8));
}

void PlacementSimulation::startOwnerNode(OwnerNode &node)
{
    ++node.generation;
    node.killed = false;
    node.frozen = false;
    node.inbox.clear();
    node.epoch = 0;
    node.lostEpoch = 0;
    node.answeredCalls.clear();
    node.reading = false;
    node.acquiringLease = false;
    node.session = "s" + std::to_string(node.index) + "." + std::to_string(node.generation);
    node.owner = std::make_unique<CellOwner>(ownerSettings(node.index, m_plan.ownerSafeguards), randomDecider(node));
    const int generation = node.generation;
    at(randomDuration(Duration{}, tick), [this, index = node.index, generation] {
        if (m_ownerNodes[static_cast<std::size_t>(index)].generation == generation) {
            tickOwnerNode(m_ownerNodes[static_cast<std::size_t>(index)]);
        }
    });
}

void PlacementSimulation::startWorkerHost(WorkerHost &host)
{
    host.killed = false;
    host.frozen = false;
    host.inbox.clear();
    host.runs.clear();
    const auto incarnation = ++host.incarnation;
    host.agent = std::make_unique<WorkerAgent>(
        WorkerAgentSettings{host.id, incarnation, host.capacity, m_plan.workerSafeguards});
    at(randomDuration(Duration{}, tick), [this, &host, incarnation] {
        if (host.incarnation == incarnation) {
            tickWorkerHost(host);
        }
    });
}

void PlacementSimulation::deliver(OwnerNode &node, std::function<void()> action)
{
    if (node.frozen) {
        node.inbox.push_back(std::move(action));
    } else if (!node.killed) {
        action();
    }
}

void PlacementSimulation::deliver(WorkerHost &host, std::function<void()> action)
{
    if (host.frozen) {
        host.inbox.push_back(std::move(action));
    } else if (!host.killed) {
        action();
    }
}

void PlacementSimulation::tickOwnerNode(OwnerNode &node)
{
    const int generation = node.generation;
    at(tick, [this, &node, generation] {
        if (node.generation == generation && !node.killed) {
            tickOwnerNode(node);
        }
    });
    if (node.frozen || node.killed) {
        return;
    }
    renewLease(node);
    if (randomChance(0.1)) {
        readJobs(node);
    }
    if (randomChance(0.05)) {
        for (const auto &host : m_workerHosts) {
            if (!host.killed && !host.frozen
                && !node.unreachableWorkers.contains(static_cast<int>(&host - m_workerHosts.data()))) {
                Worker worker;
                worker.id = host.id;
                worker.endpoint = {"127.0.0.1", 1};
                worker.capacity = host.capacity;
                worker.incarnation = host.incarnation;
                handle(node, WorkerAnnounced{{worker, {}}});
            }
        }
    }
    handle(node, OwnerTick{});
}

void PlacementSimulation::tickWorkerHost(WorkerHost &host)
{
    const auto incarnation = host.incarnation;
    at(tick, [this, &host, incarnation] {
        if (host.incarnation == incarnation && !host.killed) {
            tickWorkerHost(host);
        }
    });
    if (!host.frozen && !host.killed) {
        applyActions(host, host.agent->tick(localNow(host)));
        progress(host);
    }
}

void PlacementSimulation::wake(OwnerNode &node)
{
    if (!node.frozen) {
        return;
    }
    node.frozen = false;
    for (auto &it : std::exchange(node.inbox, {})) {
        it();
    }
}

void PlacementSimulation::wake(WorkerHost &host)
{
    if (!host.frozen) {
        return;
    }
    host.frozen = false;
    applyActions(host, host.agent->tick(localNow(host)));
    for (auto &[ref, run] : host.runs) {
        run.updatedAt = localNow(host);
        checkPlaces(ref.task);
    }
    for (auto &it : std::exchange(host.inbox, {})) {
        it();
    }
}

void PlacementSimulation::handle(OwnerNode &node, const OwnerEvent &event)
{
    const auto before = node.owner->counts();
    for (const auto &action : node.owner->handle(localNow(node), event)) {
        if (const auto *sync = std::get_if<SendSync>(&action)) {
            send(node, *sync);
        } else if (const auto *command = std::get_if<ExecuteStoreCommand>(&action)) {
            runCommand(node, *command);
        } else {
            node.lostEpoch = std::get<StepDown>(action).epoch;
        }
    }
    m_result.evictions += node.owner->counts().evictions - before.evictions;
}

void PlacementSimulation::send(OwnerNode &node, const SendSync &action)
{
    int hostIndex = 0;
    while (m_workerHosts[static_cast<std::size_t>(hostIndex)].id != action.worker) {
        ++hostIndex;
    }
    const int generation = node.generation;
    const auto arrive = [this, index = node.index, generation, hostIndex, action] {
        syncArrives(index, generation, hostIndex, action);
    };
    const bool dropsMessages = m_faultsEnabled && !m_plan.reliableWorkers;
    if (!node.unreachableWorkers.contains(hostIndex) && !(dropsMessages && randomChance(0.04))) {
        at(messageDelay(), arrive);
        if (dropsMessages && randomChance(0.04)) {
            at(messageDelay() + randomDuration(Duration{}, seconds(4)), arrive);
        }
    }
    at(syncTimeout, [this, &node, generation, action] {
        if (node.generation == generation && !node.answeredCalls.contains(action.call)) {
            deliver(node, [this, &node, generation, action] {
                if (node.generation == generation) {
                    handle(node, SyncFailed{action.worker, action.call});
                }
            });
        }
    });
}

void PlacementSimulation::syncArrives(int nodeIndex, int generation, int hostIndex, const SendSync &action)
{
    auto &host = m_workerHosts[static_cast<std::size_t>(hostIndex)];
    deliver(host, [this, nodeIndex, generation, hostIndex, action, &host] {
        // Encodes and decodes the messages as between real processes.
        const auto request = syncRequestFromJson(syncRequestToJson(action.request));
        const auto [answer, actions] = host.agent->sync(localNow(host), *request);
        applyActions(host, actions);
        auto &node = m_ownerNodes[static_cast<std::size_t>(nodeIndex)];
        const bool dropsMessages = m_faultsEnabled && !m_plan.reliableWorkers;
        if (node.unreachableWorkers.contains(hostIndex) || (dropsMessages && randomChance(0.04))) {
            return;
        }
        const auto sent = syncAnswerFromJson(syncAnswerToJson(answer));
        at(messageDelay(), [this, &node, generation, action, answer = *sent] {
            if (node.generation != generation) {
                return;
            }
            deliver(node, [this, &node, generation, action, answer] {
                if (node.generation == generation) {
                    node.answeredCalls.insert(action.call);
                    handle(node, SyncAnswered{action.worker, action.call, answer});
                }
            });
        });
    });
}

void PlacementSimulation::runCommand(OwnerNode &node, const ExecuteStoreCommand &action)
{
    const int generation = node.generation;
    const auto epoch = node.owner->epoch();
    callStore(action.command, node.storeUnreachable, [this, &node, generation, epoch](const StoreReply &reply) {
        if (node.generation != generation) {
            return;
        }
        deliver(node, [this, &node, generation, epoch, reply] {
            if (node.generation == generation && node.owner->epoch() == epoch) {
                handle(node, StoreReplied{reply});
            }
        });
    });
}

void PlacementSimulation::renewLease(OwnerNode &node)
{
    const auto local = localNow(node);
    const bool held = node.epoch != 0 && local < node.heldUntil;
    if (held && node.epoch == node.owner->epoch()) {
        handle(node, StoreLeaseExtended{node.heldUntil});
    } else if (held && !node.reading && node.epoch != node.lostEpoch) {
        takeOver(node);
    }
    if (node.acquiringLease || node.storeUnreachable || !m_storeUp || !randomChance(0.1)) {
        return;
    }
    node.acquiringLease = true;
    const int generation = node.generation;
    at(messageDelay(), [this, &node, generation, local] {
        if (node.generation != generation) {
            return;
        }
        node.acquiringLease = false;
        if (!m_storeUp || node.storeUnreachable) {
            return;
        }
        const bool mine = m_leaseHolder == node.session && m_now < m_leaseUntil;
        if (!mine && m_now < m_leaseUntil) {
            return;
        }
        if (!mine) {
            m_leaseHolder = node.session;
            ++m_leaseEpoch;
        }
        m_leaseUntil = m_now + storeTtl;
        at(messageDelay(), [this, &node, generation, local, epoch = m_leaseEpoch] {
            deliver(node, [&node, generation, local, epoch] {
                if (node.generation == generation && epoch >= node.epoch) {
                    const auto until = local + storeTtl - storeMargin;
                    node.heldUntil = epoch == node.epoch ? std::max(node.heldUntil, until) : until;
                    node.epoch = epoch;
                }
            });
        });
    });
}

void PlacementSimulation::takeOver(OwnerNode &node)
{
    if (node.storeUnreachable || !m_storeUp) {
        return;
    }
    node.reading = true;
    const int generation = node.generation;
    const auto epoch = node.epoch;
    at(messageDelay(), [this, &node, generation, epoch] {
        CellContents contents;
        for (const auto &[key, it] : m_values) {
            const auto segment = segmentOfKey(key);
            if (segment && key == jobSegmentKey(cell, *segment)) {
                contents.jobs[*segment] = jobSegmentFromJson(it.text).value();
                contents.jobIndexes[*segment] = it.index;
            } else if (segment) {
                contents.records[*segment] = recordSegmentFromJson(it.text).value();
            } else {
                contents.roster = rosterFromJson(it.text).value();
            }
        }
        at(messageDelay(), [this, &node, generation, epoch, contents] {
            deliver(node, [this, &node, generation, epoch, contents] {
                if (node.generation != generation) {
                    return;
                }
                node.reading = false;
                if (node.epoch == epoch && localNow(node) < node.heldUntil) {
                    ++m_result.takeovers;
                    handle(node, OwnershipGained{epoch, node.heldUntil, contents});
                }
            });
        });
    });
}

void PlacementSimulation::readJobs(OwnerNode &node)
{
    if (node.storeUnreachable || !m_storeUp || !node.owner->owning()) {
        return;
    }
    const auto epoch = node.owner->epoch();
    const int generation = node.generation;
    for (int i = 0; i < jobSegmentCount; ++i) {
        const auto it = m_values.find(jobSegmentKey(cell, i));
        if (it == m_values.end() || it->second.index <= node.owner->jobIndex(i)) {
            continue;
        }
        JobSegmentRead event{i, it->second.index, jobSegmentFromJson(it->second.text).value()};
        at(messageDelay(), [this, &node, generation, epoch, event] {
            deliver(node, [this, &node, generation, epoch, event] {
                if (node.generation == generation && node.owner->epoch() == epoch) {
                    handle(node, event);
                }
            });
        });
    }
}

PlacementDecider PlacementSimulation::randomDecider(OwnerNode & /*node*/)
{
    const auto decide = [this](const PolicyInput &input) {
        std::vector<PolicyAction> actions;
        std::vector<WorkerId> workers;
        for (const auto &[id, view] : input.workers) {
            workers.push_back(id);
            for (const auto &running : view.running) {
                if (m_faultsEnabled && randomChance(0.03)) {
                    actions.emplace_back(EvictTask{running.task, "random"});
                } else if (m_faultsEnabled && randomChance(0.02)) {
                    actions.emplace_back(ThrottleTask{running.task, randomChance(0.5) ? 0.5 : 1.0});
                }
            }
        }
        // Also proposes starts that exceed the capacity; the owner must reject them.
        for (const auto &pending : input.pending) {
            if (!workers.empty() && randomChance(0.5)) {
                const auto &worker = workers[m_random() % workers.size()];
                actions.emplace_back(StartTask{pending.task.id, worker, pending.task.declared});
            }
        }
        return actions;
    };
    return {decide, [](const PolicyEvent &) {
            }};
}

void PlacementSimulation::applyActions(WorkerHost &host, const WorkerAgent::Actions &actions)
{
    for (const auto &action : actions) {
        if (const auto *start = std::get_if<BeginRun>(&action)) {
            begin(host, start->order);
        } else if (const auto *ended = std::get_if<EndRun>(&action)) {
            host.runs.erase(ended->ref);
        } else if (const auto *checkpoint = std::get_if<TakeCheckpoint>(&action)) {
            const auto it = host.runs.find(checkpoint->ref);
            if (it != host.runs.end()) {
                it->second.checkpointed = it->second.done;
                host.agent->checkpointTaken(it->first, std::to_string(it->second.done.count()));
            }
        }
    }
}

void PlacementSimulation::begin(WorkerHost &host, const StartOrder &order)
{
    const RunRef ref{order.task, order.run};
    ++m_result.startedRuns;
    if (!m_startedRuns.insert(ref).second) {
        violation("P3 " + text(ref) + " started twice");
    }
    auto &highest = m_highestRuns[order.task];
    if (order.run < highest) {
        violation("P2 " + text(ref) + " started after a later run");
    }
    const auto previous = std::exchange(highest, std::max(highest, order.run));
    if (m_recordedCompletions.contains(order.task)) {
        violation("P3 " + text(ref) + " started after its completion was recorded");
    }
    const auto done = progressOf(order.checkpoint);
    m_result.resumed += done > Duration{} ? 1U : 0U;
    checkCheckpoint(order, previous, done);
    host.runs[ref] = {order, done, done, localNow(host)};
    Resources sum;
    for (const auto &[it, run] : host.runs) {
        sum += run.order.reserve;
    }
    if (!fits(sum, host.capacity)) {
        violation("P1 " + host.id.str() + " exceeds its capacity with " + text(ref));
    }
    checkPlaces(order.task);
}

void PlacementSimulation::checkCheckpoint(const StartOrder &order, RunNumber previous, Duration done)
{
    const auto records = recordSegmentFromJson(value(recordSegmentKey(cell, jobSegmentOf(order.job))).text).value();
    const auto record = records.jobs.find(order.job);
    if (record == records.jobs.end()) {
        return;
    }
    // A run that was lost while the task continued elsewhere may have recorded a checkpoint of its own progress.
    // Therefore only a checkpoint of the immediately preceding run counts.
    const auto saved = record->second.checkpoints.find(order.task);
    const bool last = saved != record->second.checkpoints.end() && saved->second.run == previous;
    if (last && progressOf(saved->second.checkpoint) > done) {
        violation("P3 " + text({order.task, order.run}) + " does not resume from its recorded checkpoint");
    }
}

void PlacementSimulation::checkPlaces(const TaskId &task)
{
    std::string locations;
    int count = 0;
    for (const auto &host : m_workerHosts) {
        if (host.killed || host.frozen) {
            continue;
        }
        for (const auto &[ref, run] : host.runs) {
            if (ref.task == task) {
                ++count;
                locations += " " + host.id.str() + " (" + text(ref) + ")";
            }
        }
    }
    if (count > 1) {
        violation("P2 runs on two workers:" + locations);
    }
}

void PlacementSimulation::progress(WorkerHost &host)
{
    const auto now = localNow(host);
    std::vector<RunRef> finished;
    for (auto &[ref, run] : host.runs) {
        run.done += now - run.updatedAt;
        run.updatedAt = now;
        if (run.done >= run.order.runTime) {
            finished.push_back(ref);
        } else if (run.done - run.checkpointed >= checkpointEvery) {
            run.checkpointed = run.done;
            host.agent->checkpointTaken(ref, std::to_string(run.done.count()));
        }
    }
    for (const auto &ref : finished) {
        host.runs.erase(ref);
        const bool fails = m_faultsEnabled && randomChance(0.05);
        host.agent->runEnded(ref, fails ? RunState::Failed : RunState::Finished);
        if (!fails) {
            ++m_result.finished;
            if (++m_completionCounts[ref.task] > 1 && m_plan.reliableWorkers) {
                violation("P3 " + text(ref) + " finished twice");
            }
        }
    }
}

StoreReply PlacementSimulation::apply(const StoreCommand &command)
{
    if (const auto *read = std::get_if<ReadValue>(&command)) {
        const auto &it = value(read->key);
        return ValueRead{read->key, true, it.text, it.index};
    }
    const auto &write = std::get<WriteValue>(command);
    auto &it = m_values[write.key];
    if (it.index != write.modifyIndex) {
        return ValueWritten{write.key, WriteOutcome::Conflict};
    }
    it = {write.value, ++m_storeIndex};
    const auto segment = segmentOfKey(write.key);
    if (segment && write.key == recordSegmentKey(cell, *segment)) {
        const auto records = recordSegmentFromJson(write.value).value();
        for (const auto &[job, record] : records.jobs) {
            for (const auto &[task, run] : record.done) {
                const auto [known, fresh] = m_recordedCompletions.emplace(task, run);
                if (!fresh && known->second != run) {
                    violation("P3 completion of " + task.str() + " recorded twice");
                }
            }
        }
    }
    return ValueWritten{write.key, WriteOutcome::Written};
}

const PlacementSimulation::Value &PlacementSimulation::value(const std::string &key)
{
    static const Value none;
    const auto it = m_values.find(key);
    return it != m_values.end() ? it->second : none;
}

void PlacementSimulation::callStore(const StoreCommand &command, bool cut, const std::function<void(StoreReply)> &done)
{
    const auto failed = [command](WriteOutcome outcome) -> StoreReply {
        if (const auto *read = std::get_if<ReadValue>(&command)) {
            return ValueRead{read->key, false, {}, 0};
        }
        return ValueWritten{std::get<WriteValue>(command).key, outcome};
    };
    if (cut || !m_storeUp) {
        at(messageDelay(), [done, failed] { done(failed(WriteOutcome::NotDone)); });
        return;
    }
    const bool dropsMessages = m_faultsEnabled;
    const bool requestLost = dropsMessages && randomChance(0.05);
    const bool answerLost = dropsMessages && randomChance(0.1);
    // A write whose answer timed out may still reach the store much later.
    const bool late = dropsMessages && randomChance(0.03);
    if (requestLost || late) {
        at(messageDelay() + milliseconds(300), [done, failed] { done(failed(WriteOutcome::Unknown)); });
        if (late) {
            ++m_result.lostWrites;
            at(randomDuration(milliseconds(300), seconds(6)), [this, command] { (void)apply(command); });
        }
        return;
    }
    at(messageDelay(), [this, command, done, failed, answerLost] {
        if (!m_storeUp) {
            done(failed(WriteOutcome::Unknown));
            return;
        }
        auto reply = apply(command);
        if (answerLost) {
            ++m_result.lostWrites;
            reply = failed(WriteOutcome::Unknown);
        }
        at(messageDelay(), [done, reply] { done(reply); });
    });
}

void PlacementSimulation::submitJobs()
{
    for (int i = 0; i < m_plan.jobs; ++i) {
        Job job;
        job.id = JobId("j" + std::to_string(i));
        const int tasks = 1 + static_cast<int>(m_random() % 5);
        for (int t = 0; t < tasks; ++t) {
            Task task;
            task.id = TaskId(job.id.str() + "/t" + std::to_string(t));
            task.job = job.id;
            task.declared = {500 + static_cast<std::int64_t>(m_random() % 2500),
                             200 + static_cast<std::int64_t>(m_random() % 2500),
                             randomChance(0.1) ? 1 : 0};
            task.declaredRunTime = randomDuration(milliseconds(200), m_plan.partitionOwners ? seconds(40) : seconds(5));
            job.tasks.push_back(task);
        }
        m_jobs[job.id] = job;
        at(randomDuration(Duration{}, m_plan.faultTime * 3 / 4),
           [this, job] { m_pendingSubmissions[m_intake.submit(job, m_now + seconds(3))] = job.id; });
        if (m_plan.cancels && randomChance(0.25)) {
            at(randomDuration(m_plan.faultTime / 4, m_plan.faultTime), [this, job] {
                m_cancelledJobs.insert(job.id);
                m_cancellations[m_intake.cancel(job.id, m_now + seconds(3))] = job.id;
            });
        }
    }
    tickEntry();
}

void PlacementSimulation::tickEntry()
{
    at(tick, [this] { tickEntry(); });
    const std::function<void(std::vector<StoreCommand>)> runAll = [this](const std::vector<StoreCommand> &commands) {
        for (const auto &it : commands) {
            callStore(it, false, [this](const StoreReply &reply) {
                for (const auto &next : m_intake.reply(m_now, reply)) {
                    callStore(next, false, [this](const StoreReply &last) { (void)m_intake.reply(m_now, last); });
                }
            });
        }
    };
    runAll(m_intake.poll(m_now));
    takeIntakeResults();
}

void PlacementSimulation::takeIntakeResults()
{
    for (const auto &it : m_intake.takeResults()) {
        const bool unresolved = it.result.status == IntakeStatus::Unresolved;
        const auto submission = m_pendingSubmissions.find(it.ticket);
        if (submission != m_pendingSubmissions.end()) {
            const auto job = m_jobs.at(submission->second);
            if (unresolved) {
                m_pendingSubmissions[m_intake.submit(job, m_now + seconds(3))] = job.id;
            } else if (it.result.status == IntakeStatus::Conflict) {
                violation("intake reported a conflict for a repeated submission");
            } else {
                m_storedJobs.insert(job.id);
            }
            continue;
        }
        const auto id = m_cancellations.at(it.ticket);
        if (it.result.status == IntakeStatus::Cancelled) {
            ++m_result.cancelled;
        } else if (unresolved) {
            m_unresolvedCancellations.insert(id);
            m_cancellations[m_intake.cancel(id, m_now + seconds(3))] = id;
        } else if (!m_unresolvedCancellations.contains(id)) {
            // The job is not stored yet, or has ended and been removed. No earlier attempt can have cancelled it.
            m_cancelledJobs.erase(id);
        }
    }
}

void PlacementSimulation::violation(const std::string &what)
{
    m_result.violations.push_back("at " + std::to_string(m_now.time_since_epoch().count() / 1000) + " ms: " + what);
}

} // namespace Trefoilhoist::Testing

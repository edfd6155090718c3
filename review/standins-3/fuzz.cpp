// Explores orders of events at random: jobs of all kinds, and the disruptions that the pages name.
#include "site.h"

#include <iostream>

using namespace Review;

namespace {

struct Job {
    std::string id;
    std::string prefix;
    int maxAttempts = 4;
    Json steps;
    Json spec;
    Json body;
    bool poison = false;
    bool lasts = false;
    int repetitions = 0;
    std::int64_t firstRunMs = 0;
    std::int64_t intervalMs = 0;
    std::int64_t submitAt = 0;
    std::int64_t cancelAt = 0;
    // Results.
    bool accepted = false;
    bool rejectedAll = true;
    std::int64_t acceptedAt = 0;
    std::int64_t cancelAckedAt = 0;
    bool cancelSent = false;
    std::string lastState;
    std::vector<std::string> problems;
};

std::string hex(std::mt19937_64 &r)
{
    static const char *const digits = "0123456789abcdef";
    std::string s;
    for (int i = 0; i < 16; ++i) {
        s += digits[r() % 16];
    }
    return s;
}

} // namespace

int main(int argc, char **argv)
{
    signal(SIGPIPE, SIG_IGN);
    // Faults start processes on threads of their own.
    Process::endWithStarter = false;
    const std::string folder = argv[1];
    const auto seed = std::stoull(argv[2]);
    const std::int64_t lengthMs = std::stoll(argv[3]) * 1000;
    const std::string only = argc > 4 ? argv[4] : "";
    std::mt19937_64 r(seed);
    Record record(folder + "/record.txt");
    SiteSettings settings;
    settings.maxHoldMs = seed % 2 ? 6000 : 10000;
    Site site(settings, folder, record);
    site.start({{"q", "/q/", 4}, {"p", "/p/", 2}});
    if (!site.waitReady(15000)) {
        std::cerr << "not ready\n";
        return 2;
    }
    sleepMs(1500);
    const auto t0 = steadyMs();
    std::vector<Job> jobs(80);
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        auto &job = jobs[i];
        job.id = hex(r);
        const bool p = r() % 2;
        job.prefix = p ? "/p/" : "/q/";
        job.maxAttempts = p ? 2 : 4;
        job.submitAt = t0 + static_cast<std::int64_t>(r() % static_cast<unsigned long>(lengthMs));
        const int kind = static_cast<int>(r() % 10);
        Json steps = Json::array();
        Json specs = Json::array();
        const int n = kind == 9 ? 1 : 1 + static_cast<int>(r() % 3);
        for (int s = 0; s < n; ++s) {
            const int count = 1 + static_cast<int>(r() % 8);
            const int ms = 200 + static_cast<int>(r() % 2500);
            Json step = {{"count", count}, {"cpu", 200 + r() % 1500}, {"memoryRequestMb", 200}, {"estimatedMs", ms}};
            Json spec = {{"ms", ms}, {"count", count}};
            if (s > 0 && r() % 4) {
                step["after"] = Json::array({s - 1});
            }
            if (kind < 3) {
                step["gangScheduled"] = true;
                spec["gang"] = true;
                if (r() % 2) {
                    step["sameRack"] = true;
                }
            }
            if (r() % 2) {
                step["checkpointing"] = true;
                spec["checkpoints"] = true;
            }
            if (r() % 4 == 0) {
                step["antiAffinity"] = 2;
            }
            if (r() % 4 == 0) {
                step["dataRack"] = "r1-" + std::to_string(r() % 3);
            }
            if (r() % 5 == 0) {
                spec["failures"] = 1 + r() % static_cast<unsigned>(job.maxAttempts - 1 > 0 ? job.maxAttempts - 1 : 1);
            }
            if (kind == 8) {
                spec["failures"] = 99;
                job.poison = true;
            }
            if (kind == 9) {
                step["longRunning"] = true;
                spec["lasts"] = true;
                step["image"] = "im" + std::to_string(r() % 3);
                step["targetMs"] = 100;
                job.lasts = true;
            }
            steps.push_back(step);
            specs.push_back(spec);
        }
        if (kind == 6 || kind == 7 || kind == 0) {
            job.repetitions = 2 + static_cast<int>(r() % 4);
            job.firstRunMs = wallMs() + (job.submitAt - t0) + static_cast<std::int64_t>(r() % 3000) - 500;
            job.intervalMs = 300 + static_cast<std::int64_t>(r() % 3000);
        }
        if (r() % 6 == 0 || job.lasts) {
            job.cancelAt = job.submitAt + static_cast<std::int64_t>(r() % 12000);
        }
        job.steps = steps;
        job.spec = {{"name", job.id}, {"steps", specs}};
        job.body = {{"specification", job.spec.dump()}, {"steps", steps}};
        if (job.repetitions > 0) {
            job.body["repetitions"] = job.repetitions;
            job.body["firstRunMs"] = job.firstRunMs;
            job.body["intervalMs"] = job.intervalMs;
        }
    }
    std::atomic<bool> over = false;
    const auto ask = [&](const std::string &method, const Job &job, int timeout, std::mt19937_64 &random) {
        const auto &front = site.dispatchers[random() % site.dispatchers.size()];
        return call(front.callers,
                    method,
                    job.prefix + job.id,
                    {{"Host", "jobs.example"}, {"X-Deadline-Milliseconds", "3000"}},
                    method == "POST" ? job.body.dump() : "",
                    timeout);
    };
    std::mutex mutex;
    std::vector<std::thread> clients;
    for (auto &job : jobs) {
        clients.emplace_back([&] {
            std::mt19937_64 random(std::hash<std::string>{}(job.id));
            while (steadyMs() < job.submitAt) {
                sleepMs(10);
            }
            for (int i = 0; i < 12 && !job.accepted; ++i) {
                const auto answer = ask("POST", job, 3000, random);
                record.add({{"what", "submit"}, {"job", job.id}, {"status", answer.status}});
                if (answer.status >= 200 && answer.status < 300) {
                    job.accepted = true;
                    job.acceptedAt = steadyMs();
                } else if (answer.status != 429 && answer.status != 503 && answer.status != 404
                           && answer.status != -1) {
                    job.rejectedAll = false;
                }
                if (job.cancelAt && steadyMs() > job.cancelAt) {
                    break;
                }
                sleepMs(job.accepted ? 0 : 800);
            }
            if (job.accepted && random() % 3 == 0) {
                std::thread([&, seed2 = random()] {
                    std::mt19937_64 again(seed2);
                    sleepMs(static_cast<std::int64_t>(again() % 4000));
                    if (!over) {
                        const auto answer = ask("POST", job, 3000, again);
                        record.add({{"what", "submit-again"}, {"job", job.id}, {"status", answer.status}});
                    }
                }).detach();
            }
            while (!over) {
                if (job.cancelAt && steadyMs() > job.cancelAt && !job.cancelAckedAt) {
                    job.cancelSent = true;
                    const auto answer = ask("DELETE", job, 3000, random);
                    record.add({{"what", "cancel"}, {"job", job.id}, {"status", answer.status}});
                    if ((answer.status >= 200 && answer.status < 300) || answer.status == 410) {
                        job.cancelAckedAt = steadyMs();
                    }
                }
                const auto answer = ask("GET", job, 3000, random);
                if (answer.status == 200) {
                    const auto state = Json::parse(answer.body).at("state").get<std::string>();
                    if (state != job.lastState) {
                        record.add({{"what", "state"}, {"job", job.id}, {"state", state}});
                        job.lastState = state;
                    }
                } else if (answer.status == 410 && job.accepted && !job.cancelSent) {
                    record.add({{"what", "gone"}, {"job", job.id}});
                    std::lock_guard lock(mutex);
                    job.problems.push_back("LOST: 410 for an accepted job");
                }
                sleepMs(300);
            }
        });
    }
    // Faults.
    std::atomic<int> trigger = 0;
    std::atomic<unsigned> rowsSeen = static_cast<unsigned>(seed);
    const char *setting = std::getenv("TRIGGER");
    const unsigned rarity = setting == nullptr ? 0 : static_cast<unsigned>(std::stoi(setting));
    record.onRow = [&](const Json &row) {
        const std::string what = row.at("what");
        const bool isAck = (what == "submit" || what == "cancel") && row.at("status") == 200;
        if (rarity > 0 && (isAck || what == "start" || what == "end" || what == "noted")) {
            const auto n = (rowsSeen++ * 2654435761U) >> 8U;
            if (n % rarity == 0) {
                trigger = 1 + static_cast<int>(n / rarity % 4);
            }
        }
    };
    std::vector<std::string> kinds = {"kill-owner",
                                      "kill-dispatcher",
                                      "stop-owner",
                                      "term-owner",
                                      "kill-agent",
                                      "freeze-agent",
                                      "term-agent",
                                      "crash-same",
                                      "crash-new",
                                      "crash-with-agent",
                                      "store-node",
                                      "store-owner",
                                      "store-all",
                                      "lost",
                                      "late",
                                      "grey",
                                      "herd",
                                      "hup"};
    std::vector<std::thread> pending;
    const auto later = [&](std::int64_t ms, std::function<void()> act) {
        pending.emplace_back([ms, act] {
            sleepMs(ms);
            act();
        });
    };
    std::mutex faultMutex;
    std::set<std::string> busy;
    const auto claim = [&](const std::string &name) {
        std::lock_guard lock(faultMutex);
        return busy.insert(name).second;
    };
    const auto release = [&](const std::string &name) {
        std::lock_guard lock(faultMutex);
        busy.erase(name);
    };
    const StoreFault faults[] = {StoreFault::Busy, StoreFault::Many, StoreFault::Reset, StoreFault::Silent};
    const auto checkEnds = [&] {
        for (auto &it : site.dispatchers) {
            if (claim(it.name)) {
                if (it.process->hasEnded()) {
                    record.add({{"what", "CRASH"}, {"name", it.name}, {"status", it.process->status()}});
                    std::cout << "CRASH " << it.name << " status " << it.process->status() << std::endl;
                    it.process->start();
                }
                release(it.name);
            }
        }
        for (auto &it : site.sides) {
            if (claim(it.name)) {
                if (it.agent->hasEnded()) {
                    record.add({{"what", "CRASH"}, {"name", it.name}, {"status", it.agent->status()}});
                    std::cout << "CRASH " << it.name << " status " << it.agent->status() << std::endl;
                    it.agent->start();
                }
                release(it.name);
            }
        }
    };
    while (steadyMs() < t0 + lengthMs) {
        const auto nextAt = steadyMs() + 100 + static_cast<std::int64_t>(r() % 1800);
        trigger = 0;
        while (steadyMs() < nextAt && trigger == 0) {
            sleepMs(1);
        }
        checkEnds();
        std::string kind = kinds[r() % kinds.size()];
        if (!only.empty()) {
            std::vector<std::string> some;
            for (std::size_t at = 0; at < only.size();) {
                auto end = only.find(',', at);
                end = end == std::string::npos ? only.size() : end;
                some.push_back(only.substr(at, end - at));
                at = end + 1;
            }
            kind = some[r() % some.size()];
        }
        if (trigger == 1 || trigger == 2) {
            kind = "kill-owner";
        } else if (trigger == 3) {
            kind = "crash-same";
        } else if (trigger == 4) {
            kind = "kill-agent";
        }
        const auto forMs = static_cast<std::int64_t>(300 + r() % 3700);
        const auto x = r();
        auto *owner = site.owner();
        auto &front = (kind == "kill-owner" || kind == "stop-owner" || kind == "term-owner" || kind == "store-owner")
                && owner != nullptr
            ? *owner
            : site.dispatchers[x % site.dispatchers.size()];
        auto &side = site.sides[x % site.sides.size()];
        const bool isFront = kind.find("owner") != std::string::npos || kind.find("dispatcher") != std::string::npos;
        const std::string target = isFront                                                      ? front.name
            : kind.rfind("store", 0) == 0 || kind == "lost" || kind == "herd" || kind == "slow" ? "store"
                                                                                                : side.name;
        if (kind == "store-owner" ? !claim("store") : !claim(target)) {
            continue;
        }
        record.add({{"what", "fault"}, {"kind", kind}, {"target", target}, {"forMs", forMs}});
        if (kind == "kill-owner" || kind == "kill-dispatcher") {
            front.process->kill(SIGKILL);
            later(forMs, [&front, &release] {
                front.process->start();
                release(front.name);
            });
        } else if (kind == "stop-owner") {
            front.process->signal(SIGSTOP);
            later(forMs, [&front, &release] {
                front.process->signal(SIGCONT);
                release(front.name);
            });
        } else if (kind == "term-owner") {
            later(0, [&front, &release, forMs] {
                front.process->kill(SIGTERM);
                sleepMs(forMs / 3);
                front.process->start();
                release(front.name);
            });
        } else if (kind == "kill-agent") {
            side.agent->kill(SIGKILL);
            later(forMs, [&side, &release] {
                side.agent->start();
                release(side.name);
            });
        } else if (kind == "freeze-agent") {
            side.agent->signal(SIGSTOP);
            later(forMs, [&side, &release] {
                side.agent->signal(SIGCONT);
                release(side.name);
            });
        } else if (kind == "term-agent") {
            later(0, [&side, &release, forMs] {
                side.agent->kill(SIGTERM);
                sleepMs(forMs / 3);
                side.agent->start();
                release(side.name);
            });
        } else if (kind == "hup") {
            side.agent->signal(SIGHUP);
            release(side.name);
        } else if (kind == "crash-same" || kind == "crash-new" || kind == "crash-with-agent") {
            side.running->crash();
            if (kind == "crash-with-agent") {
                side.agent->kill(SIGKILL);
            }
            if (kind != "crash-same") {
                side.minion.id = side.minion.id.substr(0, 3) + std::to_string(++side.lives);
            }
            later(forMs, [&site, &side, &release, kind, x] {
                if (kind == "crash-with-agent") {
                    side.agent->start();
                    sleepMs(static_cast<std::int64_t>(x / 7 % 400));
                }
                site.startMinion(side);
                release(side.name);
            });
        } else if (kind == "store-node" || kind == "store-owner") {
            const auto name = kind == "store-owner" ? front.name : (x % 2 ? side.name : front.name);
            if (x / 16 % 3 == 0) {
                site.store.revoke(name);
            }
            site.store.setFault(name, faults[x / 8 % 4]);
            later(forMs * 2, [&site, name, &release] {
                site.store.setFault(name, StoreFault::None);
                release("store");
            });
        } else if (kind == "store-all") {
            for (auto &it : site.dispatchers) {
                site.store.setFault(it.name, faults[x / 8 % 4]);
            }
            for (auto &it : site.sides) {
                site.store.setFault(it.name, faults[x / 8 % 4]);
            }
            later(forMs, [&site, &release] {
                for (auto &it : site.dispatchers) {
                    site.store.setFault(it.name, StoreFault::None);
                }
                for (auto &it : site.sides) {
                    site.store.setFault(it.name, StoreFault::None);
                }
                release("store");
            });
        } else if (kind == "lost") {
            site.store.setLost(0.35, x / 8 % 2);
            later(forMs, [&site, &release] {
                site.store.setLost(0, false);
                release("store");
            });
        } else if (kind == "slow") {
            site.store.setDelay(120);
            later(forMs, [&site, &release] {
                site.store.setDelay(2);
                release("store");
            });
        } else if (kind == "mute" || kind == "lose-answers") {
            side.running->setMute(kind == "mute" ? 0 : 0.6, kind == "mute" ? 1 : 0.2);
            later(forMs, [&side, &release] {
                side.running->setMute(0, 0);
                release(side.name);
            });
        } else if (kind == "sluggish") {
            side.running->setSluggish(true);
            later(forMs, [&side, &release] {
                side.running->setSluggish(false);
                release(side.name);
            });
        } else if (kind == "late") {
            side.running->setLate(0.3);
            later(forMs, [&side, &release] {
                side.running->setLate(0);
                release(side.name);
            });
        } else if (kind == "grey") {
            side.running->setGrey(true);
            later(forMs, [&side, &release] {
                side.running->setGrey(false);
                release(side.name);
            });
        } else if (kind == "herd") {
            std::vector<Dispatcher *> killed;
            for (auto &it : site.dispatchers) {
                if (claim(it.name)) {
                    it.process->kill(SIGKILL);
                    killed.push_back(&it);
                }
            }
            std::vector<Side *> killedSides;
            for (auto &it : site.sides) {
                if (x % 2 && claim(it.name)) {
                    it.agent->kill(SIGKILL);
                    killedSides.push_back(&it);
                }
            }
            later(forMs / 2, [killed, killedSides, &release] {
                for (auto *it : killed) {
                    it->process->start();
                    release(it->name);
                }
                for (auto *it : killedSides) {
                    it->agent->start();
                    release(it->name);
                }
                release("store");
            });
        }
    }
    for (auto &it : pending) {
        it.join();
    }
    record.add({{"what", "calm"}});
    const auto until = steadyMs() + 45000;
    while (steadyMs() < until) {
        sleepMs(200);
        checkEnds();
        bool all = true;
        for (auto &job : jobs) {
            const bool isFinal
                = job.lastState == "completed" || job.lastState == "failed" || job.lastState == "cancelled";
            all = all && (!job.accepted || isFinal || job.lasts);
        }
        if (all && steadyMs() > until - 38000) {
            break;
        }
    }
    over = true;
    for (auto &it : clients) {
        it.join();
    }
    // Judgement.
    struct Seen {
        std::string task;
        std::int64_t run;
        std::string minion;
        std::int64_t born;
        std::int64_t from;
        std::int64_t to = 0;
        std::string how;
        std::int64_t noted = 0;
        std::int64_t lapsedAfter = 0;
        std::string checkpoint;
        std::string name;
    };
    std::vector<Seen> runs;
    std::map<std::string, Job *> byId;
    for (auto &job : jobs) {
        byId[job.id] = &job;
    }
    std::vector<std::string> problems;
    const auto end = steadyMs();
    for (const auto &row : record.rows()) {
        const std::string what = row.at("what");
        if (what == "start") {
            runs.push_back({row.at("task"),
                            row.at("run"),
                            row.at("minion"),
                            row.at("born"),
                            row.at("t"),
                            0,
                            "",
                            0,
                            0,
                            row.at("checkpoint"),
                            row.at("name")});
        } else if (what == "second-run") {
            problems.push_back("TWICE: second run of " + row.at("task").get<std::string>() + " on one minion");
        } else if (what == "end" || what == "noted" || what == "crash" || what == "lapse") {
            for (auto &it : runs) {
                if (it.minion != row.at("minion") || it.born != row.at("born")) {
                    continue;
                }
                if (what == "end" && it.task == row.at("task") && it.run == row.at("run")) {
                    it.to = row.at("t");
                    it.how = row.at("how");
                } else if (what == "noted" && it.task == row.at("task") && it.run == row.at("run")) {
                    it.noted = row.at("t");
                } else if (what == "crash" && it.to == 0) {
                    it.to = row.at("t");
                    it.how = "crash";
                } else if (what == "lapse" && it.to != 0 && it.noted == 0 && it.lapsedAfter == 0) {
                    it.lapsedAfter = row.at("t");
                }
            }
        }
    }
    std::map<std::string, std::vector<Seen *>> byTask;
    for (auto &it : runs) {
        it.to = it.to == 0 ? end : it.to;
        byTask[it.task].push_back(&it);
    }
    for (auto &[task, list] : byTask) {
        auto *job = byId[task.substr(0, 16)];
        if (job == nullptr || task[16] != '.') {
            problems.push_back("UNASKED: " + task);
            continue;
        }
        const auto b = task.rfind('.');
        const auto a = task.rfind('.', b - 1);
        const auto c = task.rfind('.', a - 1);
        const int step = std::stoi(task.substr(a + 1, b - a - 1));
        const int occurrence = std::stoi(task.substr(c + 1, a - c - 1));
        const bool gang = job->steps[static_cast<std::size_t>(step)].value("gangScheduled", false);
        int failed = 0;
        for (std::size_t i = 0; i < list.size(); ++i) {
            auto &x = *list[i];
            if (x.name != job->id) {
                problems.push_back("UNASKED specification: " + task);
            }
            if (!x.checkpoint.empty()) {
                const auto own = x.checkpoint.substr(0, x.checkpoint.find(':'));
                if (gang ? own.substr(0, own.rfind('.')) != task.substr(0, b) : own != task) {
                    problems.push_back("UNASKED checkpoint: " + task + " got " + x.checkpoint);
                }
            }
            if (job->cancelAckedAt && x.from > job->cancelAckedAt + 3000) {
                problems.push_back("UNASKED after cancel: " + task + " run " + std::to_string(x.run) + " "
                                   + std::to_string(x.from - job->cancelAckedAt) + " ms");
            }
            if (job->rejectedAll && !job->accepted) {
                problems.push_back("REFUSED: " + task);
            }
            for (std::size_t k = i + 1; k < list.size(); ++k) {
                auto &y = *list[k];
                if (x.from < y.to && y.from < x.to) {
                    problems.push_back("TWICE: " + task + " runs " + std::to_string(x.run) + " on " + x.minion + " and "
                                       + std::to_string(y.run) + " on " + y.minion + " overlap at "
                                       + std::to_string(y.from));
                }
                if (x.how == "done" && y.from >= x.to && x.noted && !x.lapsedAfter && !job->lasts) {
                    problems.push_back("TWICE: " + task + " run " + std::to_string(y.run) + " after run "
                                       + std::to_string(x.run) + " was done, " + std::to_string(y.from - x.noted)
                                       + " ms after note");
                }
            }
            if (x.how == "failed" && x.noted) {
                ++failed;
            } else if (failed >= job->maxAttempts && !job->lasts) {
                problems.push_back("BUDGET: " + task);
            }
            const auto &spec = job->steps[static_cast<std::size_t>(step)];
            for (const auto &dep : spec.value("after", Json::array())) {
                const int count = job->steps[dep.get<std::size_t>()].at("count");
                const bool depGang = job->steps[dep.get<std::size_t>()].value("gangScheduled", false);
                int done = 0;
                for (int n = 0; n < count; ++n) {
                    const auto name = job->id + "." + std::to_string(occurrence) + "." + std::to_string(dep.get<int>())
                        + "." + std::to_string(n);
                    for (auto *d : byTask[name]) {
                        if (d->how == "done" && d->to <= x.from) {
                            ++done;
                            break;
                        }
                    }
                }
                if (depGang ? done == 0 : done < count) {
                    problems.push_back("ORDER: " + task + " run " + std::to_string(x.run) + " at "
                                       + std::to_string(x.from));
                }
            }
        }
    }
    for (auto &job : jobs) {
        for (const auto &it : job.problems) {
            problems.push_back(it + " " + job.id);
        }
        if (!job.accepted) {
            continue;
        }
        int most = 0;
        std::map<std::string, std::set<std::int64_t>> fails;
        for (auto &it : runs) {
            if (it.task.substr(0, 16) == job.id && it.how == "failed") {
                const auto b = it.task.rfind('.');
                const auto a = it.task.rfind('.', b - 1);
                const bool gang = job.steps[std::stoul(it.task.substr(a + 1, b - a - 1))].value("gangScheduled", false);
                const auto key = gang ? it.task.substr(0, b) : it.task;
                fails[key].insert(it.run);
                most = std::max(most, static_cast<int>(fails[key].size()));
            }
        }
        if (job.lastState == "failed" && most < job.maxAttempts) {
            problems.push_back("LOST: " + job.id + " is failed with " + std::to_string(most) + " of "
                               + std::to_string(job.maxAttempts));
        }
        if (job.lastState == "cancelled" && !job.cancelSent) {
            problems.push_back("LOST: " + job.id + " is cancelled without cause");
        }
        const bool isFinal = job.lastState == "completed" || job.lastState == "failed" || job.lastState == "cancelled";
        if (!isFinal && !job.lasts) {
            problems.push_back("LOST: " + job.id + " is never over, state " + job.lastState);
        }
        if (job.lastState == "completed") {
            const int times = std::max(1, job.repetitions);
            for (int o = 0; o < times; ++o) {
                for (std::size_t s = 0; s < job.steps.size(); ++s) {
                    int done = 0;
                    const int count = job.steps[s].at("count");
                    for (int n = 0; n < count; ++n) {
                        const auto name
                            = job.id + "." + std::to_string(o) + "." + std::to_string(s) + "." + std::to_string(n);
                        for (auto *d : byTask[name]) {
                            if (d->how == "done") {
                                ++done;
                                break;
                            }
                        }
                    }
                    if (job.steps[s].value("gangScheduled", false) ? done == 0 : done < count) {
                        problems.push_back("MIXED: " + job.id + " completed, step " + std::to_string(s) + " of "
                                           + std::to_string(o) + " not done");
                    }
                }
            }
        }
    }
    int accepted = 0;
    for (auto &job : jobs) {
        accepted += job.accepted;
    }
    std::cout << "seed " << seed << ": " << accepted << " accepted, " << runs.size() << " runs, " << problems.size()
              << " problems" << std::endl;
    for (const auto &it : problems) {
        std::cout << "  " << it << std::endl;
    }
    record.add({{"what", "over"}});
    const int code = problems.empty() ? 0 : 1;
    site.sides.clear();
    site.dispatchers.clear();
    std::cout.flush();
    _exit(code);
}

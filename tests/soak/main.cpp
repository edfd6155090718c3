// Plays a site of real processes under random, overlapping faults, and checks what the minions have run. Usage:
//   soak --bin FOLDER --seed N [--site NAME] [--seconds N] [--faults KIND,...] [--record FILE]
// Exits with 1 if a rule was broken, 0 if all held, 2 if the site could not run. With --settings, it is a minion.
#include "soak/chaos.h"
#include "soak/judge.h"

#include <tclap/CmdLine.h>

#include <cstdlib>
#include <iostream>

namespace {

using namespace Trefoilhoist;

constexpr int held = 0;
constexpr int broken = 1;
constexpr int couldNotRun = 2;
constexpr std::size_t jobNameLength = 16;
constexpr std::int64_t warmUpMs = 1500;
/// A new owner waits this much longer than a lease for agents, at most.
constexpr std::int64_t takeoverSlackMs = 10'000;
/// Jobs end within seconds after the faults; how many, depends on the speed of the machine.
constexpr std::int64_t longestEndMs = 90'000;

void obey(Review::Minion &minion, const Soak::MinionOrder &order)
{
    switch (order.kind) {
    case Soak::MinionOrderKind::AnswerDelay:
        minion.setAnswerDelay(order.value);
        break;
    case Soak::MinionOrderKind::Suspends:
        minion.setSuspends(order.value != 0);
        break;
    case Soak::MinionOrderKind::LatePercent:
        minion.setLateShare(0.01 * order.value);
        break;
    case Soak::MinionOrderKind::Leave:
        minion.leave(Soak::departureFrom(order.value));
        break;
    }
}

int runMinion(const std::string &settings)
{
    std::ifstream file(settings);
    const auto body = Review::Json::parse(file);
    const Review::Record::TimePoint startedAt{
        Review::Record::TimePoint::duration(body.at("startedAtNs").get<std::int64_t>())};
    Review::Record record(body.at("record"), startedAt);
    Review::RunLog log(record);
    sigset_t orders;
    sigemptyset(&orders);
    sigaddset(&orders, SIGRTMIN);
    sigprocmask(SIG_BLOCK, &orders, nullptr);
    Review::Minion minion(Review::minionPlanFrom(body), log, record);
    while (true) {
        siginfo_t order{};
        if (sigwaitinfo(&orders, &order) != SIGRTMIN) {
            continue;
        }
        const auto told = Soak::MinionOrder::from(order.si_value.sival_int);
        obey(minion, told);
        if (told.kind == Soak::MinionOrderKind::Leave) {
            return held;
        }
    }
}

std::vector<std::string> split(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, ',');) {
        parts.push_back(part);
    }
    return parts;
}

Review::SitePlan planOf(const Soak::SiteShape &shape, const std::string &bin)
{
    Review::SitePlan plan;
    plan.fronts = shape.dispatchers;
    for (int i = 0; i < shape.minions; ++i) {
        plan.sides.push_back({shape.milliCpu, i % 2 == 0 ? Soak::firstRack : Soak::secondRack});
    }
    plan.workerLeaseMs = shape.maxHoldMs;
    plan.bin = bin;
    plan.proxyProgram = bin + "/standin-faultproxy";
    plan.clockLibrary = TREFOILHOIST_SOAK_WALLCLOCK;
    plan.minionProgram = std::filesystem::canonical("/proc/self/exe");
    return plan;
}

int runSoak(int argc, char **argv)
{
    TCLAP::CmdLine command("Plays a site of real processes under faults", ' ', TREFOILHOIST_VERSION);
    TCLAP::ValueArg<std::string> bin("", "bin", "folder of the programs", false, "build/bin", "folder", command);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed of all that is random", false, 1, "number", command);
    TCLAP::ValueArg<int> seconds("", "seconds", "duration of the faults", false, 40, "seconds", command);
    TCLAP::ValueArg<std::string> siteName(
        "", "site", "site to play", false, Soak::siteShapes().front().name, "name", command);
    TCLAP::ValueArg<std::string> faults("", "faults", "kinds of faults; empty: all", false, "", "kind,...", command);
    TCLAP::ValueArg<std::string> path("", "record", "where the record goes", false, "/dev/null", "file", command);
    command.parse(argc, argv);

    const auto shape = Soak::findSiteShape(siteName.getValue());
    if (!shape) {
        std::cerr << "no such site: " << siteName.getValue() << '\n';
        return couldNotRun;
    }
    Review::Record record(path.getValue());
    Review::Site site(planOf(*shape, bin.getValue()), record);
    if (!site.waitUntilServing(longestEndMs)) {
        std::cerr << "the site does not serve\n";
        return couldNotRun;
    }
    Soak::Load load(site, record, shape->classes, seed.getValue());
    Review::sleepMs(warmUpMs);
    Soak::Chaos chaos(site, record, seed.getValue(), split(faults.getValue()));
    chaos.run(1000 * std::int64_t{seconds.getValue()});
    load.stopSubmitting();
    Review::sleepMs(shape->maxHoldMs + takeoverSlackMs);
    const auto unfinished = load.waitForJobs(longestEndMs);
    const auto endMs = record.now();
    std::vector<Soak::RecordedRun> runs;
    for (const auto &it : site.minionRecords()) {
        const auto some = Soak::readRuns({it, chaos.killedAtMs(it), chaos.suspensionsOf(it)}, endMs);
        runs.insert(runs.end(), some.begin(), some.end());
    }
    const auto twice = Soak::findRunsTwice(runs);
    for (const auto &it : twice) {
        record.add("check", "TWICE: " + it);
    }
    for (const auto &it : unfinished) {
        const auto done = Soak::doneTasks(runs, it.substr(0, jobNameLength));
        record.add("check", "LOST: " + it + " with " + std::to_string(done) + " done tasks");
    }
    std::cout << "seed " << seed.getValue() << ": " << runs.size() << " runs, " << load.accepted() << " jobs, "
              << chaos.count() << " faults, " << twice.size() << " twice, " << unfinished.size() << " unfinished"
              << std::endl;
    if (!twice.empty()) {
        std::cout << "  " << twice.front() << std::endl;
    }
    if (!unfinished.empty()) {
        std::cout << "  " << unfinished.front() << std::endl;
    }
    return twice.empty() && unfinished.empty() ? held : broken;
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argc == 3 && std::string(argv[1]) == "--settings") {
        return runMinion(argv[2]);
    }
    try {
        return runSoak(argc, argv);
    } catch (const std::exception &e) {
        std::cerr << "could not run: " << e.what() << '\n';
        return couldNotRun;
    }
}

#include "announcerun.h"
#include "loadrun.h"

#include "trefoilhoist/net/tool.h"

#include <boost/asio/executor_work_guard.hpp>
#include <tclap/CmdLine.h>

#include <fstream>
#include <functional>
#include <iostream>
#include <thread>

namespace {

using namespace Trefoilhoist;

struct Options {
    Tools::LoadPlan plan;
    Tools::AnnouncePlan announce;
    std::string jsonFile;
    int threads = 2;
};

Options parseOptions(int argc, char **argv)
{
    TCLAP::CmdLine command(
        "Sends requests to entries and checks every answer against its request", ' ', TREFOILHOIST_VERSION);
    TCLAP::MultiArg<std::string> targets(
        "t", "target", "An entry, or a minion with --direct", true, "host:port", command);
    TCLAP::ValueArg<std::string> service("s", "service", "Service to call", false, "lending", "name", command);
    TCLAP::MultiArg<std::string> callers(
        "c", "caller", "Caller and its requests a second; default: counter=50", false, "name=rate", command);
    TCLAP::ValueArg<double> length("l", "seconds", "How long to send", false, 5, "seconds", command);
    TCLAP::ValueArg<int> deadline("d", "deadline-ms", "Deadline of each request", false, 2000, "milliseconds", command);
    TCLAP::ValueArg<double> orders(
        "o", "order-share", "Share of non-idempotent requests", false, 0.2, "share", command);
    TCLAP::ValueArg<std::uint64_t> seed("r", "seed", "Seed of the arrivals", false, 1, "number", command);
    TCLAP::ValueArg<int> threads("n", "threads", "Threads", false, 2, "number", command);
    TCLAP::ValueArg<std::string> json("j", "json", "Write the report as JSON to this file", false, "", "file", command);
    TCLAP::ValueArg<int> announce(
        "a", "announce", "Announce this many minions that don't exist, and send nothing", false, 0, "number", command);
    TCLAP::ValueArg<int> heartbeat(
        "b", "heartbeat-ms", "With --announce: how often each is announced", false, 500, "milliseconds", command);
    TCLAP::SwitchArg direct("x", "direct", "The targets are minions", command);
    parseCommandLine(command, argc, argv);

    Options options;
    for (const auto &target : targets.getValue()) {
        options.plan.targets.push_back(endpointFromText(target));
    }
    for (const auto &caller : callers.getValue()) {
        const auto equals = caller.rfind('=');
        if (equals == std::string::npos) {
            throw std::invalid_argument("--caller \"" + caller + "\" is not name=rate");
        }
        options.plan.rates[CallerId(caller.substr(0, equals))] = std::stod(caller.substr(equals + 1));
    }
    if (options.plan.rates.empty()) {
        options.plan.rates[CallerId("counter")] = 50;
    }
    options.plan.service = ServiceId(service.getValue());
    options.plan.length = Duration(static_cast<std::int64_t>(length.getValue() * 1e6));
    options.plan.deadline = milliseconds(deadline.getValue());
    options.plan.orderShare = orders.getValue();
    options.plan.seed = seed.getValue();
    options.plan.direct = direct.getValue();
    options.announce = {options.plan.targets,
                        announce.getValue(),
                        milliseconds(heartbeat.getValue()),
                        options.plan.length,
                        options.plan.service};
    options.jsonFile = json.getValue();
    options.threads = threads.getValue();
    return options;
}

// Runs the body to its end on a pool of threads.
void runOnPool(Asio::io_context &context, int threads, const std::function<awaitable<void>()> &body)
{
    spawn(context.get_executor(), "load", [&context, body]() -> awaitable<void> {
        co_await body();
        context.stop();
    });
    std::vector<std::thread> pool;
    pool.reserve(static_cast<std::size_t>(threads));
    for (int i = 0; i < threads; ++i) {
        pool.emplace_back([&context] { context.run(); });
    }
    for (auto &thread : pool) {
        thread.join();
    }
}

int runAnnounce(const Options &options)
{
    Asio::io_context context;
    Tools::AnnounceCounts counts;
    Tools::AnnounceRun run(context.get_executor(), options.announce);
    runOnPool(context, options.threads, [&]() -> awaitable<void> { counts = co_await run.run(); });
    std::cout << "announcements sent=" << counts.sent << " accepted=" << counts.accepted << '\n';
    return counts.sent > 0 && counts.sent == counts.accepted ? exitOk : exitFailed;
}

int runLoad(const Options &options)
{
    Asio::io_context context;
    Tools::LoadReport report;
    Tools::LoadRun run(context.get_executor(), options.plan);
    runOnPool(context, options.threads, [&]() -> awaitable<void> { report = co_await run.run(); });
    std::cout << report.text();
    if (!options.jsonFile.empty()) {
        std::ofstream(options.jsonFile) << report.json() << '\n';
    }
    const auto total = report.total();
    return total.answered > 0 && total.wrongAnswers == 0 ? exitOk : exitFailed;
}

} // namespace

int main(int argc, char **argv)
{
    return runTool("trefoilhoist-load", [&] {
        const auto options = parseOptions(argc, argv);
        return options.announce.minions > 0 ? runAnnounce(options) : runLoad(options);
    });
}

#include "ctlcommands.h"

#include "ctlchanges.h"
#include "ctlinforce.h"
#include "ctlviews.h"

#include "trefoilhoist/net/program.h"

#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <array>

namespace Trefoilhoist::Ctl {

namespace {

struct Command {
    std::string_view name;
    awaitable<Report> (*run)(Session &);
};

constexpr std::array<Command, 10> commands{{
    {"get", getCommand},
    {"label", labelCommand},
    {"select", selectCommand},
    {"diff", diffCommand},
    {"history", historyCommand},
    {"status", statusCommand},
    {"wait", waitCommand},
    {"jobs", jobsCommand},
    {"owners", ownersCommand},
    {"keys", keysCommand},
}};

} // namespace

awaitable<int> runCommand(Options options)
{
    const auto *it = std::find_if(
        commands.begin(), commands.end(), [&](const Command &command) { return command.name == options.command; });
    if (it == commands.end()) {
        co_return print(problemReport(exitBadSettings, "unknown command \"" + options.command + "\""), options.json);
    }
    Session session(co_await Asio::this_coro::executor, options);
    const auto report = co_await it->run(session);
    co_return print(report, options.json);
}

} // namespace Trefoilhoist::Ctl

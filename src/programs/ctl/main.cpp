#include "ctlcommands.h"
#include "trefoilhoist/net/tool.h"

#include <boost/asio/co_spawn.hpp>
#include <glog/logging.h>

#include <iostream>
#include <optional>

using namespace Trefoilhoist;

namespace {

int run(Ctl::Options options)
{
    Asio::io_context context;
    int code = exitFailed;
    Asio::co_spawn(context, Ctl::runCommand(std::move(options)), [&](const std::exception_ptr &error, int result) {
        code = error ? exitFailed : result;
        if (error) {
            std::cerr << "trefoilhoist-ctl: internal error\n";
        }
        context.stop();
    });
    context.run();
    return code;
}

} // namespace

int main(int argc, char **argv)
{
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = google::GLOG_ERROR;
    google::InitGoogleLogging(argv[0]);
    return runTool("trefoilhoist-ctl", [&] { return run(Ctl::parseOptions(argc, argv)); });
}

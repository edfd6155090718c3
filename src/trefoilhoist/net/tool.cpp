#include "trefoilhoist/net/tool.h"

#include <tclap/CmdLine.h>

#include <iostream>
#include <stdexcept>

namespace Trefoilhoist {

void parseCommandLine(TCLAP::CmdLine &command, int argc, char **argv)
{
    command.setExceptionHandling(false);
    command.parse(argc, argv);
}

int runTool(const std::string &name, const std::function<int()> &body)
{
    try {
        const int code = body();
        std::cout.flush();
        return code;
    } catch (const TCLAP::ArgException &e) {
        std::cerr << name << ": " << e.argId() << ": " << e.error() << '\n';
        return exitBadSettings;
    } catch (const TCLAP::ExitException &e) {
        return e.getExitStatus();
    } catch (const std::invalid_argument &e) {
        std::cerr << name << ": " << e.what() << '\n';
        return exitBadSettings;
    } catch (const std::exception &e) {
        std::cerr << name << ": " << e.what() << '\n';
        return exitFailed;
    }
}

double processorSeconds()
{
    constexpr double nanosecondsPerSecond = 1e9;
    timespec spent{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &spent);
    return static_cast<double>(spent.tv_sec) + static_cast<double>(spent.tv_nsec) / nanosecondsPerSecond;
}

} // namespace Trefoilhoist

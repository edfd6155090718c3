#pragma once

#include "trefoilhoist/net/program.h"

#include <functional>
#include <string>

namespace TCLAP {
class CmdLine;
}

namespace Trefoilhoist {

/// Parses a tool's command line; errors leave as exceptions, for runTool().
void parseCommandLine(TCLAP::CmdLine &command, int argc, char **argv);

/// Runs a command-line tool. Returns the body's exit code, 2 for bad usage (TCLAP::ArgException,
/// std::invalid_argument) and 1 for any other exception, each with a message on standard error.
int runTool(const std::string &name, const std::function<int()> &body);

/// Processor time that this process has taken, in seconds.
[[nodiscard]] double processorSeconds();

} // namespace Trefoilhoist

#pragma once

#include "ctloptions.h"

#include "trefoilhoist/net/asio.h"

namespace Trefoilhoist::Ctl {

/// Runs the command and prints its result; returns the exit code.
awaitable<int> runCommand(Options options);

} // namespace Trefoilhoist::Ctl

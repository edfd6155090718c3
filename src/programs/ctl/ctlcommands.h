#pragma once

#include "ctloptions.h"
#include "trefoilhoist/net/asio.h"

namespace Trefoilhoist::Ctl {

// Exit codes besides those of all programs.
inline constexpr int exitRefused = 3;
inline constexpr int exitUnsettled = 4;

/// Runs the command and prints its result; returns the exit code.
awaitable<int> runCommand(Options options);

} // namespace Trefoilhoist::Ctl

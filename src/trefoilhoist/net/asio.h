#pragma once

// Asio's coroutines need <utility> before them with this compiler.
#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>

namespace Trefoilhoist {

namespace Asio = boost::asio;
using Asio::awaitable;

/// Pauses the calling coroutine.
[[nodiscard]] awaitable<void> sleepFor(std::chrono::microseconds duration);

/// Starts a coroutine on a strand of its own; an exception that leaves it is logged with `name`.
void spawn(const Asio::any_io_executor &executor, const char *name, std::function<awaitable<void>()> body);

/// Like spawn(), on the executor as it is: for a strand that the coroutine shares with others.
void spawnOn(const Asio::any_io_executor &executor, const char *name, std::function<awaitable<void>()> body);

} // namespace Trefoilhoist

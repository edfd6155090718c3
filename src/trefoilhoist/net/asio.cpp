#include "trefoilhoist/net/asio.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

namespace Trefoilhoist {

awaitable<void> sleepFor(std::chrono::microseconds duration)
{
    Asio::steady_timer timer(co_await Asio::this_coro::executor);
    timer.expires_after(duration);
    boost::system::error_code ec;
    co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ec));
}

void spawn(const Asio::any_io_executor &executor, const char *name, std::function<awaitable<void>()> body)
{
    spawnOn(Asio::make_strand(executor), name, std::move(body));
}

void spawnOn(const Asio::any_io_executor &executor, const char *name, std::function<awaitable<void>()> body)
{
    // The body is kept alive by the completion handler: a lambda coroutine refers to its captures.
    auto kept = std::make_shared<std::function<awaitable<void>()>>(std::move(body));
    Asio::co_spawn(
        executor,
        [kept] { return (*kept)(); },
        [kept, name](const std::exception_ptr &failure) {
            if (!failure) {
                return;
            }
            try {
                std::rethrow_exception(failure);
            } catch (const std::exception &e) {
                LOG(ERROR) << "event=coroutine_failed name=" << name << " reason=\"" << e.what() << "\"";
            }
        });
}

} // namespace Trefoilhoist

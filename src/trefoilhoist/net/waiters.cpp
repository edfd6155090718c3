#include "trefoilhoist/net/waiters.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace Trefoilhoist {

awaitable<void> Waiters::wait(std::string name, Duration timeout)
{
    auto timer = std::make_shared<Asio::steady_timer>(co_await Asio::this_coro::executor, timeout);
    m_timers[name].push_back(timer);
    boost::system::error_code ec;
    co_await timer->async_wait(Asio::redirect_error(Asio::use_awaitable, ec));
    const auto it = m_timers.find(name);
    if (it == m_timers.end()) {
        co_return;
    }
    std::erase(it->second, timer);
    if (it->second.empty()) {
        m_timers.erase(it);
    }
}

void Waiters::notify(const std::string &name)
{
    const auto it = m_timers.find(name);
    if (it == m_timers.end()) {
        return;
    }
    const auto timers = std::move(it->second);
    m_timers.erase(it);
    for (const auto &timer : timers) {
        timer->cancel();
    }
}

void Waiters::notifyAll()
{
    const auto all = std::move(m_timers);
    m_timers.clear();
    for (const auto &[name, timers] : all) {
        for (const auto &timer : timers) {
            timer->cancel();
        }
    }
}

} // namespace Trefoilhoist

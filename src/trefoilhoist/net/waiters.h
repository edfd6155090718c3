#pragma once

#include "trefoilhoist/net/asio.h"
#include "trefoilhoist/world/clock.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Trefoilhoist {

/// Coroutines that wait until something with a name happens. Not thread-safe.
class Waiters
{
public:
    /// Returns after notify() of the same name, or after `timeout`.
    awaitable<void> wait(std::string name, Duration timeout);
    void notify(const std::string &name);
    void notifyAll();

private:
    std::map<std::string, std::vector<std::shared_ptr<Asio::steady_timer>>> m_timers;
};

} // namespace Trefoilhoist

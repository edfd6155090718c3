#pragma once

#include <chrono>
#include <thread>

namespace Trefoilhoist::Testing {

template <typename Condition>
bool eventually(Condition condition, int limitMs)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(limitMs);
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
}

} // namespace Trefoilhoist::Testing

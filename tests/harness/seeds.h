#pragma once

#include <cstdint>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <string>

namespace Trefoilhoist::Testing {

/// Runs `body` once per seed: `count` seeds from 1, or TREFOILHOIST_SEEDS of them from TREFOILHOIST_SEED. Stops and
/// prints the seed when `failed` holds after a run.
inline void forEachSeed(int count, const std::function<void(std::uint64_t)> &body, const std::function<bool()> &failed)
{
    const char *first = std::getenv("TREFOILHOIST_SEED");
    const char *many = std::getenv("TREFOILHOIST_SEEDS");
    std::uint64_t seed = first == nullptr ? 1 : std::stoull(first);
    const int runs = many != nullptr ? std::stoi(many) : (first != nullptr ? 1 : count);
    for (int i = 0; i < runs; ++i, ++seed) {
        body(seed);
        if (failed()) {
            std::cout << "failed with TREFOILHOIST_SEED=" << seed << '\n';
            return;
        }
    }
}

} // namespace Trefoilhoist::Testing

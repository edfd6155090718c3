#pragma once

#include <cstdint>

namespace Trefoilhoist {

/// CPU (thousandths of a core), memory (megabytes) and accelerators (number of devices).
struct Resources {
    std::int64_t milliCpu = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    bool operator==(const Resources &) const = default;
    Resources &operator+=(const Resources &other);
    Resources &operator-=(const Resources &other);
};

[[nodiscard]] Resources operator+(Resources left, const Resources &right);
[[nodiscard]] Resources operator-(Resources left, const Resources &right);

/// True when `part` is at most `whole` in each of the three resources.
[[nodiscard]] bool fits(const Resources &part, const Resources &whole);

} // namespace Trefoilhoist

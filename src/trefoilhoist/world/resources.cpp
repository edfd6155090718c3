#include "trefoilhoist/world/resources.h"

namespace Trefoilhoist {

Resources &Resources::operator+=(const Resources &other)
{
    milliCpu += other.milliCpu;
    memoryMb += other.memoryMb;
    accelerators += other.accelerators;
    return *this;
}

Resources &Resources::operator-=(const Resources &other)
{
    milliCpu -= other.milliCpu;
    memoryMb -= other.memoryMb;
    accelerators -= other.accelerators;
    return *this;
}

Resources operator+(Resources left, const Resources &right)
{
    left += right;
    return left;
}

Resources operator-(Resources left, const Resources &right)
{
    left -= right;
    return left;
}

bool fits(const Resources &part, const Resources &whole)
{
    return part.milliCpu <= whole.milliCpu && part.memoryMb <= whole.memoryMb
        && part.accelerators <= whole.accelerators;
}

} // namespace Trefoilhoist

#pragma once

#include <map>
#include <string>

namespace Trefoilhoist {

/// Label keys and values of one object.
using Labels = std::map<std::string, std::string>;

} // namespace Trefoilhoist

#include "trefoilhoist/claims/claim.h"

namespace Trefoilhoist {

std::string ClaimKey::str() const
{
    // The length prefixes distinguish ("a", "bc") from ("ab", "c").
    std::string text = std::to_string(caller.str().size());
    text.append(":").append(caller.str());
    text.append(std::to_string(service.str().size())).append(":").append(service.str());
    text.append(key);
    return text;
}

} // namespace Trefoilhoist

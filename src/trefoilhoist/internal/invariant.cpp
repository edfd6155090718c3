#include "trefoilhoist/internal/invariant.h"

#include <cstdio>
#include <cstdlib>

namespace Trefoilhoist::Detail {

void reportBrokenInvariant(const char *expression, const char *file, int line, const char *invariant)
{
    std::fprintf(stderr,
                 "event=invariant_broken promise=\"%s\" expression=\"%s\" at=%s:%d\n",
                 invariant,
                 expression,
                 file,
                 line);
    std::fflush(stderr);
    std::abort();
}

} // namespace Trefoilhoist::Detail

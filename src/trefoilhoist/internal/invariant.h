#pragma once

namespace Trefoilhoist::Detail {

/// Logs the broken invariant with its place and ends the process.
[[noreturn]] void reportBrokenInvariant(const char *expression, const char *file, int line, const char *promise);

} // namespace Trefoilhoist::Detail

/// Ends the process when `expression` is false. `promise` names what it guards, for example "P1 capacity".
#define TREFOILHOIST_INVARIANT(expression, promise)                                                                    \
    do {                                                                                                               \
        if (!(expression)) {                                                                                           \
            ::Trefoilhoist::Detail::reportBrokenInvariant(#expression, __FILE__, __LINE__, promise);                   \
        }                                                                                                              \
    } while (false)

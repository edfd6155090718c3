#pragma once

namespace Trefoilhoist::Detail {

/// Logs the broken invariant with its source location and aborts the process.
[[noreturn]] void reportBrokenInvariant(const char *expression, const char *file, int line, const char *invariant);

} // namespace Trefoilhoist::Detail

/// Aborts the process when `expression` is false. `invariant` names the invariant, for example "P1 capacity".
#define TREFOILHOIST_INVARIANT(expression, invariant)                                                                  \
    do {                                                                                                               \
        if (!(expression)) {                                                                                           \
            ::Trefoilhoist::Detail::reportBrokenInvariant(#expression, __FILE__, __LINE__, invariant);                 \
        }                                                                                                              \
    } while (false)

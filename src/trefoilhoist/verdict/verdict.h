#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Trefoilhoist {

/// Whether a request may have run on a minion.
enum class Verdict { NotRun, MayHaveRun, Ran };

/// The value of the Trefoilhoist-Verdict header, for example "not-run".
[[nodiscard]] std::string_view verdictName(Verdict verdict);
[[nodiscard]] std::optional<Verdict> verdictFromName(std::string_view name);

/// A failed call: why, and whether the callee may have acted on it.
struct CallError {
    Verdict verdict = Verdict::NotRun;
    std::string reason;
    /// Nothing listens at the address: the callee's process is not running.
    bool connectionRefused = false;
};

} // namespace Trefoilhoist

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

/// Why a call failed, and whether the callee may have run it.
struct CallError {
    Verdict verdict = Verdict::NotRun;
    std::string reason;
    /// The connection was refused: nothing listens at the address, so the callee's process is not running.
    bool connectionRefused = false;
};

} // namespace Trefoilhoist

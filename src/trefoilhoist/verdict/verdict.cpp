#include "trefoilhoist/verdict/verdict.h"

#include <array>
#include <utility>

namespace Trefoilhoist {

namespace {

constexpr std::array<std::pair<Verdict, std::string_view>, 3> verdictNames{{
    {Verdict::NotRun, "not-run"},
    {Verdict::MayHaveRun, "may-have-run"},
    {Verdict::Ran, "ran"},
}};

}

std::string_view verdictName(Verdict verdict)
{
    for (const auto &[value, name] : verdictNames) {
        if (value == verdict) {
            return name;
        }
    }
    return "unknown";
}

std::optional<Verdict> verdictFromName(std::string_view name)
{
    for (const auto &[value, text] : verdictNames) {
        if (text == name) {
            return value;
        }
    }
    return std::nullopt;
}

} // namespace Trefoilhoist

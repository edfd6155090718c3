#include "trefoilhoist/config/labelkeys.h"

#include "trefoilhoist/config/routes.h"
#include "trefoilhoist/config/selector.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <numeric>

namespace Trefoilhoist {

namespace {

constexpr std::size_t maxTextLength = 253;
// A key this close to a known one is taken for a slip.
constexpr std::size_t slipDistance = 2;

bool wordChar(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.' || c == '/';
}

std::optional<LabelProblem> checkWord(std::string_view text, const std::string &what)
{
    if (text.empty()) {
        return LabelProblem{1, what + " is empty"};
    }
    const auto it = std::find_if_not(text.begin(), text.end(), wordChar);
    if (it != text.end()) {
        return LabelProblem{static_cast<std::size_t>(it - text.begin()) + 1,
                            what + " may hold only letters, digits and \"-_./\", not \"" + *it + "\""};
    }
    if (text.size() > maxTextLength) {
        return LabelProblem{maxTextLength + 1, what + " is longer than " + std::to_string(maxTextLength)};
    }
    return std::nullopt;
}

// Insertions, removals and replacements that turn one text into the other.
std::size_t editDistance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 1; i <= left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= right.size(); ++j) {
            const std::size_t replaced = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
        }
    }
    return row.back();
}

std::optional<LabelProblem> checkNumber(std::string_view value, double limit)
{
    double number = 0;
    const auto [end, ec] = std::from_chars(value.data(), value.data() + value.size(), number);
    const auto read = static_cast<std::size_t>(end - value.data());
    if (ec != std::errc() || read != value.size() || !std::isfinite(number)) {
        return LabelProblem{ec == std::errc() ? read + 1 : 1, "the value is not a number"};
    }
    if (number < 0 || number > limit) {
        return LabelProblem{1, limit == 1 ? "the value is not from 0 to 1" : "the value is below 0"};
    }
    return std::nullopt;
}

std::optional<LabelProblem> checkInteger(std::string_view value)
{
    std::int64_t number = 0;
    const auto [end, ec] = std::from_chars(value.data(), value.data() + value.size(), number);
    const auto read = static_cast<std::size_t>(end - value.data());
    if (ec != std::errc() || read != value.size()) {
        return LabelProblem{ec == std::errc() ? read + 1 : 1, "the value is not a whole number"};
    }
    return number < 0 ? std::optional(LabelProblem{1, "the value is below 0"}) : std::nullopt;
}

std::optional<LabelProblem> checkRoutes(std::string_view value)
{
    const auto routes = parseRoutes(value);
    return routes ? std::nullopt : std::optional(LabelProblem{routes.error().column, routes.error().reason});
}

std::optional<LabelProblem> checkValue(LabelType type, std::string_view value)
{
    switch (type) {
    case LabelType::Integer:
        return checkInteger(value);
    case LabelType::Number:
        return checkNumber(value, HUGE_VAL);
    case LabelType::Share:
        return checkNumber(value, 1);
    case LabelType::Routes:
        return checkRoutes(value);
    case LabelType::Boolean:
        break;
    }
    const bool known = value == "true" || value == "false";
    return known ? std::nullopt : std::optional(LabelProblem{1, "the value is neither true nor false"});
}

} // namespace

std::string_view labelTypeName(LabelType type)
{
    switch (type) {
    case LabelType::Integer:
        return "whole number";
    case LabelType::Number:
        return "number";
    case LabelType::Share:
        return "0 to 1";
    case LabelType::Boolean:
        return "true or false";
    case LabelType::Routes:
        return "routes";
    }
    return {};
}

const std::vector<LabelKey> &labelKeys()
{
    static const std::vector<LabelKey> keys{
        {ObjectKind::Service, "latency-target-ms", LabelType::Number, "answers slower than this count as slow"},
        {ObjectKind::Service, "latency-objective", LabelType::Share, "share of answers within the latency target"},
        {ObjectKind::Service, "answer-objective", LabelType::Share, "share of requests that get an answer"},
        {ObjectKind::Service, "tail-latency-weight", LabelType::Number, "how much tail latency counts in placement"},
        {ObjectKind::Service, "idempotent", LabelType::Boolean, "whether every request may run more than once"},
        {ObjectKind::Service, "idempotent-routes", LabelType::Routes, "requests that may run more than once"},
        {ObjectKind::Service, "hedging", LabelType::Boolean, "false: no second attempt beside a slow one"},
        {ObjectKind::BatchClass, "yield-rank", LabelType::Integer, "tasks of the higher rank yield first"},
        {ObjectKind::Worker, "drain", LabelType::Boolean, "true: nothing is started, and what runs is moved"},
        {ObjectKind::BatchClass, "throughput-weight", LabelType::Number, "how much finished work counts in placement"},
        {ObjectKind::BatchClass, "evictions-weight", LabelType::Number, "how much evictions count in placement"},
        {ObjectKind::Team, "share", LabelType::Number, "the team's weight in the fair share of the workers"},
        {ObjectKind::Team, "limit", LabelType::Share, "the team's quota: the largest share of any resource"},
    };
    return keys;
}

const std::vector<SelectorKey> &selectorKeys()
{
    static const std::vector<SelectorKey> keys{
        {ObjectKind::BatchClass, "where", "labels of the workers that may run tasks of this class"},
        {ObjectKind::BatchClass, "beside", "labels of the work that may share a worker with this class"},
        {ObjectKind::Service, "beside", "labels of the work that may share a worker with this service"},
        {ObjectKind::Service, "yields", "labels of the work that yields first to this service"},
    };
    return keys;
}

std::optional<LabelProblem> checkName(std::string_view name)
{
    return checkWord(name, "the name");
}

std::optional<LabelProblem> checkLabel(ObjectKind kind, std::string_view key, std::string_view value)
{
    if (auto problem = checkWord(key, "the key")) {
        return problem;
    }
    for (const auto &known : labelKeys()) {
        if (known.kind == kind && known.key == key) {
            if (auto problem = checkValue(known.type, value)) {
                // The column counts within "key=value".
                problem->column += key.size() + 1;
                return problem;
            }
            return std::nullopt;
        }
    }
    for (const auto &known : labelKeys()) {
        const bool close = known.key.size() > 2 * slipDistance && editDistance(key, known.key) <= slipDistance;
        if (known.kind == kind && close) {
            return LabelProblem{
                1, "no label \"" + std::string(key) + "\"; did you mean \"" + std::string(known.key) + "\"?"};
        }
    }
    auto problem = checkWord(value, "the value");
    if (problem) {
        problem->column += key.size() + 1;
    }
    return problem;
}

std::optional<LabelProblem> checkSelector(ObjectKind kind, std::string_view key, const std::string &text)
{
    const auto known = std::any_of(selectorKeys().begin(), selectorKeys().end(), [&](const SelectorKey &row) {
        return row.kind == kind && row.key == key;
    });
    if (!known) {
        return LabelProblem{1,
                            "a " + std::string(objectKindName(kind)) + " has no selector \"" + std::string(key) + "\""};
    }
    const auto selector = Selector::parse(text);
    if (!selector) {
        return LabelProblem{selector.error().column, selector.error().reason};
    }
    const auto contradiction = selector->contradiction();
    return contradiction.empty() ? std::nullopt : std::optional(LabelProblem{1, contradiction});
}

} // namespace Trefoilhoist

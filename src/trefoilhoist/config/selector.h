#pragma once

#include "trefoilhoist/world/labels.h"

#include <tl/expected.hpp>

#include <cstddef>
#include <string>
#include <variant>
#include <vector>

namespace Trefoilhoist {

/// Where and why a selector text can't be read. Columns count from 1.
struct SelectorError {
    std::size_t column = 1;
    std::string reason;
};

/// What one condition asks of a label.
enum class SelectorOperator { Equals, NotEquals, In, NotIn, Exists, NotExists };

struct SelectorCondition {
    std::string key;
    SelectorOperator op = SelectorOperator::Exists;
    std::vector<std::string> values;
};

/// Conditions on labels that must all hold, for example `rack=r1, zone in (a, b), !old, gpu`.
class Selector
{
public:
    /// An empty selector matches everything.
    Selector() = default;

    [[nodiscard]] static tl::expected<Selector, SelectorError> parse(const std::string &text);

    [[nodiscard]] bool matches(const Labels &labels) const;
    /// A reason why no labels can ever match, or an empty text.
    [[nodiscard]] std::string contradiction() const;
    [[nodiscard]] const std::vector<SelectorCondition> &conditions() const;

private:
    std::vector<SelectorCondition> m_conditions;
};

} // namespace Trefoilhoist

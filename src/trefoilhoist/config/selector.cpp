#include "trefoilhoist/config/selector.h"

#include <algorithm>
#include <cctype>
#include <map>
#include <optional>
#include <set>

namespace Trefoilhoist {

namespace {

using ConditionResult = tl::expected<SelectorCondition, SelectorError>;

bool wordChar(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.' || c == '/';
}

// Reads one selector text from left to right.
class Parser
{
public:
    explicit Parser(const std::string &text) : m_text(text) { }

    tl::expected<std::vector<SelectorCondition>, SelectorError> all()
    {
        std::vector<SelectorCondition> conditions;
        skipSpace();
        if (atEnd()) {
            return conditions;
        }
        while (true) {
            auto next = condition();
            if (!next) {
                return tl::unexpected(next.error());
            }
            conditions.push_back(std::move(*next));
            skipSpace();
            if (atEnd()) {
                return conditions;
            }
            if (!take(',')) {
                return error("expected \",\" between conditions");
            }
        }
    }

private:
    ConditionResult condition()
    {
        skipSpace();
        const bool negated = take('!');
        skipSpace();
        SelectorCondition condition;
        condition.key = word();
        if (condition.key.empty()) {
            return error("expected a label key");
        }
        if (negated) {
            condition.op = SelectorOperator::NotExists;
            return condition;
        }
        skipSpace();
        if (take('=')) {
            take('=');
            condition.op = SelectorOperator::Equals;
            return withValue(std::move(condition));
        }
        if (take('!')) {
            if (!take('=')) {
                return error("expected \"=\" after \"!\"");
            }
            condition.op = SelectorOperator::NotEquals;
            return withValue(std::move(condition));
        }
        if (wordChar(peek())) {
            return withSet(std::move(condition));
        }
        return condition;
    }

    ConditionResult withValue(SelectorCondition condition)
    {
        skipSpace();
        auto value = word();
        if (value.empty()) {
            return error("expected a label value");
        }
        condition.values.push_back(std::move(value));
        return condition;
    }

    ConditionResult withSet(SelectorCondition condition)
    {
        const std::size_t start = m_at;
        const auto name = word();
        if (name != "in" && name != "notin") {
            m_at = start;
            return error("expected \"in\", \"notin\", \"=\", \"!=\" or \",\"");
        }
        condition.op = name == "in" ? SelectorOperator::In : SelectorOperator::NotIn;
        skipSpace();
        if (!take('(')) {
            return error("expected \"(\" after \"" + name + "\"");
        }
        do {
            skipSpace();
            auto value = word();
            if (value.empty()) {
                return error("expected a label value");
            }
            condition.values.push_back(std::move(value));
            skipSpace();
        } while (take(','));
        if (!take(')')) {
            return error("expected \",\" or \")\"");
        }
        return condition;
    }

    std::string word()
    {
        const std::size_t start = m_at;
        while (wordChar(peek())) {
            ++m_at;
        }
        return m_text.substr(start, m_at - start);
    }
    [[nodiscard]] char peek() const
    {
        return atEnd() ? '\0' : m_text[m_at];
    }
    [[nodiscard]] bool atEnd() const
    {
        return m_at >= m_text.size();
    }
    bool take(char c)
    {
        if (peek() != c || atEnd()) {
            return false;
        }
        ++m_at;
        return true;
    }
    void skipSpace()
    {
        while (peek() == ' ' || peek() == '\t') {
            ++m_at;
        }
    }
    [[nodiscard]] tl::unexpected<SelectorError> error(std::string reason) const
    {
        return tl::unexpected(SelectorError{m_at + 1, std::move(reason)});
    }

    const std::string &m_text;
    std::size_t m_at = 0;
};

bool contains(const std::vector<std::string> &values, const std::string &value)
{
    return std::find(values.begin(), values.end(), value) != values.end();
}

bool holds(const SelectorCondition &condition, const Labels &labels)
{
    const auto it = labels.find(condition.key);
    const bool present = it != labels.end();
    switch (condition.op) {
    case SelectorOperator::Equals:
    case SelectorOperator::In:
        return present && contains(condition.values, it->second);
    case SelectorOperator::NotEquals:
    case SelectorOperator::NotIn:
        return !present || !contains(condition.values, it->second);
    case SelectorOperator::Exists:
        return present;
    case SelectorOperator::NotExists:
        return !present;
    }
    return false;
}

// What the conditions on one key leave possible.
struct KeyBounds {
    bool mustExist = false;
    bool mustNotExist = false;
    std::optional<std::set<std::string>> allowed;
    std::set<std::string> forbidden;

    void add(const SelectorCondition &condition)
    {
        const std::set<std::string> values(condition.values.begin(), condition.values.end());
        switch (condition.op) {
        case SelectorOperator::Equals:
        case SelectorOperator::In:
            mustExist = true;
            if (allowed) {
                std::erase_if(*allowed, [&](const auto &value) { return values.count(value) == 0; });
            } else {
                allowed = values;
            }
            break;
        case SelectorOperator::NotEquals:
        case SelectorOperator::NotIn:
            forbidden.insert(values.begin(), values.end());
            break;
        case SelectorOperator::Exists:
            mustExist = true;
            break;
        case SelectorOperator::NotExists:
            mustNotExist = true;
            break;
        }
    }

    [[nodiscard]] std::string contradiction(const std::string &key) const
    {
        if (mustExist && mustNotExist) {
            return "\"" + key + "\" must both exist and not exist";
        }
        const bool none = allowed && std::all_of(allowed->begin(), allowed->end(), [&](const auto &value) {
                              return forbidden.count(value) != 0;
                          });
        return none ? "no value of \"" + key + "\" meets all conditions" : std::string();
    }
};

} // namespace

tl::expected<Selector, SelectorError> Selector::parse(const std::string &text)
{
    auto conditions = Parser(text).all();
    if (!conditions) {
        return tl::unexpected(conditions.error());
    }
    Selector selector;
    selector.m_conditions = std::move(*conditions);
    return selector;
}

bool Selector::matches(const Labels &labels) const
{
    return std::all_of(
        m_conditions.begin(), m_conditions.end(), [&](const auto &condition) { return holds(condition, labels); });
}

std::string Selector::contradiction() const
{
    std::map<std::string, KeyBounds> bounds;
    for (const auto &condition : m_conditions) {
        bounds[condition.key].add(condition);
    }
    for (const auto &[key, bound] : bounds) {
        auto reason = bound.contradiction(key);
        if (!reason.empty()) {
            return reason;
        }
    }
    return {};
}

const std::vector<SelectorCondition> &Selector::conditions() const
{
    return m_conditions;
}

} // namespace Trefoilhoist

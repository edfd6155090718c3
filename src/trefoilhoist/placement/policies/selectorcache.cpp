#include "trefoilhoist/placement/policies/selectorcache.h"

namespace Trefoilhoist::Detail {

namespace {

/// Maximum number of cached selectors; above it the cache is cleared.
constexpr std::size_t maxSelectors = 4096;

ParsedSelector parseSelector(const std::string &text)
{
    auto parsed = Selector::parse(text);
    if (!parsed) {
        return {Selector(),
                "selector \"" + text + "\" can't be read at column " + std::to_string(parsed.error().column) + ": "
                    + parsed.error().reason};
    }
    auto contradiction = parsed->contradiction();
    if (!contradiction.empty()) {
        contradiction = "selector \"" + text + "\" can never match: " + contradiction;
    }
    return {std::move(*parsed), std::move(contradiction)};
}

} // namespace

const ParsedSelector &SelectorCache::lookup(const std::string &text)
{
    const auto it = m_selectors.find(text);
    if (it != m_selectors.end()) {
        return it->second;
    }
    if (m_selectors.size() >= maxSelectors) {
        m_selectors.clear();
    }
    return m_selectors.emplace(text, parseSelector(text)).first->second;
}

} // namespace Trefoilhoist::Detail

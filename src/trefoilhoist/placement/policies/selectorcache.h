#pragma once

#include "trefoilhoist/config/selector.h"

#include <string>
#include <unordered_map>

namespace Trefoilhoist::Detail {

/// A parsed selector. `problem` says why the selector is invalid or can never match, and is empty otherwise.
struct ParsedSelector {
    Selector selector;
    std::string problem;
};

/// Caches parsed selectors by their text. Not thread-safe.
class SelectorCache
{
public:
    /// Returns the parsed form of `text`. The reference is valid until the next call.
    const ParsedSelector &lookup(const std::string &text);

private:
    std::unordered_map<std::string, ParsedSelector> m_selectors;
};

} // namespace Trefoilhoist::Detail

#pragma once

#include "trefoilhoist/config/selector.h"

#include <string>
#include <unordered_map>

namespace Trefoilhoist::Detail {

/// A selector text, read once. `problem` says why it can never match; it is empty otherwise.
struct ParsedSelector {
    Selector selector;
    std::string problem;
};

/// Keeps selector texts in their parsed form. Not thread-safe.
class SelectorCache
{
public:
    /// The reference holds until the next call.
    const ParsedSelector &lookup(const std::string &text);

private:
    std::unordered_map<std::string, ParsedSelector> m_selectors;
};

} // namespace Trefoilhoist::Detail

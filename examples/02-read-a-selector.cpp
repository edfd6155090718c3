// Reads selectors and matches labels; a bad selector says where it is wrong.
#include "trefoilhoist/config/selector.h"

#include <iostream>

using namespace Trefoilhoist;

int main()
{
    const Labels labels{{"zone", "radom"}, {"rack", "rack1"}};
    for (const char *text : {"zone in (radom, plock), !draining", "rack=rack2", "zone in (radom"}) {
        const auto selector = Selector::parse(text);
        if (selector) {
            std::cout << text << ": " << (selector->matches(labels) ? "matches" : "does not match") << '\n';
        } else {
            std::cout << text << ": column " << selector.error().column << ": " << selector.error().reason << '\n';
        }
    }
    return 0;
}

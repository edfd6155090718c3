// Random faults of the links of a site.
#pragma once

#include "review/standins/site.h"

#include <cstdint>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Trefoilhoist::Soak {

/// What a fault does to a link.
enum class LinkFault {
    Delay,
    /// Open connections are reset, and new ones once they are accepted.
    Reset,
    /// Open connections are reset, and new ones are refused.
    Refuse,
    Silence,
    SilenceRequests,
    SilenceAnswers,
    LoseAnswers
};

/// A kind of fault of one kind of link, with the name by which it is selected, such as `refuse-minion`.
struct LinkFaultKind {
    std::string name;
    LinkFault fault = LinkFault::Delay;
    /// How the names of the links begin.
    std::string linkPrefix;
};

/// Brings about one fault at a time on each link.
class LinkChaos
{
public:
    LinkChaos(Review::Site &site, Review::Record &record) : m_site(site), m_record(record) { }

    [[nodiscard]] static std::vector<LinkFaultKind> kinds();
    /// Lets one link of the kind have the fault for some time, and heals it. Does nothing while it has another fault.
    void breakAny(const LinkFaultKind &kind, std::mt19937_64 &random);

private:
    Review::Site &m_site;
    Review::Record &m_record;
    std::mutex m_mutex;
    std::set<std::string> m_broken;
};

} // namespace Trefoilhoist::Soak

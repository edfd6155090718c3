#include "soak/linkchaos.h"

#include <array>
#include <utility>

namespace Trefoilhoist::Soak {

namespace {

using Random = std::mt19937_64;

constexpr std::array<std::pair<LinkFault, const char *>, 7> faultNames = {{{LinkFault::Delay, "delay"},
                                                                           {LinkFault::Reset, "reset"},
                                                                           {LinkFault::Refuse, "refuse"},
                                                                           {LinkFault::Silence, "silence"},
                                                                           {LinkFault::SilenceRequests, "silence-to"},
                                                                           {LinkFault::SilenceAnswers, "silence-from"},
                                                                           {LinkFault::LoseAnswers, "lose-answers"}}};

constexpr std::array<const char *, 5> linkNames = {"minion", "heartbeats", "orders", "reports", "store"};

std::int64_t between(Random &random, std::int64_t least, std::int64_t most)
{
    return std::uniform_int_distribution<std::int64_t>(least, most)(random);
}

/// The settings of the fault proxy for a fault.
Review::Json proxyFaults(LinkFault fault, Random &random)
{
    constexpr std::int64_t maxDelayMs = 1500;
    switch (fault) {
    case LinkFault::Delay:
        return {{"connectDelayMs", between(random, 0, maxDelayMs)},
                {"requestDelayMs", between(random, 0, maxDelayMs)},
                {"answerDelayMs", between(random, 0, maxDelayMs)}};
    case LinkFault::Reset:
        return {{"reset", true}, {"cut", true}};
    case LinkFault::Refuse:
        return {{"refuse", true}};
    case LinkFault::Silence:
        return {{"silent", true}};
    case LinkFault::SilenceRequests:
        return {{"silentRequests", true}};
    case LinkFault::SilenceAnswers:
        return {{"silentAnswers", true}};
    case LinkFault::LoseAnswers:
        return {{"dropAnswers", true}};
    }
    return Review::Json::object();
}

} // namespace

std::vector<LinkFaultKind> LinkChaos::kinds()
{
    std::vector<LinkFaultKind> all;
    for (const auto &[fault, faultName] : faultNames) {
        for (const char *link : linkNames) {
            all.push_back({std::string(faultName) + "-" + link, fault, std::string(link) + "-"});
        }
    }
    return all;
}

void LinkChaos::breakAny(const LinkFaultKind &kind, Random &random)
{
    constexpr std::int64_t minMs = 200;
    constexpr std::int64_t maxMs = 8000;
    const auto links = m_site.links().names(kind.linkPrefix);
    const auto &link = links.at(static_cast<std::size_t>(between(random, 0, std::ssize(links) - 1)));
    {
        std::lock_guard lock(m_mutex);
        if (!m_broken.insert(link).second) {
            return;
        }
    }
    const auto faults = proxyFaults(kind.fault, random);
    const auto ms = between(random, minMs, maxMs);
    m_record.add("fault", "link " + link + ": " + faults.dump() + " for " + std::to_string(ms) + " ms");
    bool answered = m_site.links().setFaults(link, faults);
    Review::sleepMs(ms);
    answered = m_site.links().setFaults(link, Review::Json::object()) && answered;
    m_record.add("fault", "link " + link + (answered ? ": healed" : ": the proxy did not answer"));
    std::lock_guard lock(m_mutex);
    m_broken.erase(link);
}

} // namespace Trefoilhoist::Soak

#include "trefoilhoist/jobs/crashhistory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Trefoilhoist::Jobs {

namespace {

/// A crash is counted if the task has at least this part in it. Its blame is added in any case.
constexpr double minPartOfCause = 0.1;
/// A part from which the task is likelier to be the cause than everything else together.
constexpr double dominantPart = 0.55;

/// What makes a task the cause. A machine may fail at any time, so one crash proves nothing.
struct Evidence {
    std::size_t crashes = 0;
    double blame = 0;
};
/// Where the task had a dominant part in a crash.
constexpr Evidence clearEvidence = {2, 0.7};
/// Where it never had, or where all crashes were of one machine.
constexpr Evidence weakEvidence = {3, 1.2};

/// From this blame, or this number of crashes, a task starts alone.
constexpr double minBlameToStartAlone = 0.1;
constexpr std::size_t minCrashesToStartAlone = 2;
/// Two ages are similar if neither exceeds the other by this factor and by this time.
constexpr int similarAgeFactor = 3;
constexpr Duration similarAgeMargin = milliseconds(200);
/// What remains of the blame after a run that was observed and did no harm.
constexpr double blameAfterSurvival = 0.5;

bool areSimilar(Duration a, Duration b)
{
    return a < similarAgeFactor * b + similarAgeMargin && b < similarAgeFactor * a + similarAgeMargin;
}

} // namespace

CrashHistory::CrashHistory(std::vector<Wire::RunCrash> crashes) : m_crashes(std::move(crashes)) { }

bool CrashHistory::add(Wire::RunCrash crash)
{
    const bool known
        = std::any_of(m_crashes.begin(), m_crashes.end(), [&](const auto &it) { return it.run == crash.run; });
    if (!known) {
        m_crashes.push_back(std::move(crash));
    }
    return !known;
}

void CrashHistory::observeSurvival()
{
    for (auto &it : m_crashes) {
        it.blame *= blameAfterSurvival;
    }
}

bool CrashHistory::containsAgent(const std::string &agent) const
{
    return std::any_of(m_crashes.begin(), m_crashes.end(), [&](const auto &it) { return it.agent == agent; });
}

double CrashHistory::blame() const
{
    double sum = 0;
    for (const auto &it : m_crashes) {
        sum += it.blame;
    }
    return sum;
}

double CrashHistory::blameAtAge(Duration age) const
{
    double sum = 0;
    for (const auto &it : m_crashes) {
        sum += areSimilar(milliseconds(it.ageMs), age) ? it.blame : 0;
    }
    return sum;
}

bool CrashHistory::startsAlone() const
{
    return count() >= minCrashesToStartAlone || blame() >= minBlameToStartAlone;
}

bool CrashHistory::isCause() const
{
    std::set<std::string> agents;
    std::size_t crashes = 0;
    bool dominant = false;
    for (const auto &it : m_crashes) {
        if (it.blame >= minPartOfCause) {
            agents.insert(it.agent);
            ++crashes;
        }
        dominant = dominant || it.blame >= dominantPart;
    }
    const auto &needed = dominant && agents.size() > 1 ? clearEvidence : weakEvidence;
    return crashes >= needed.crashes && blame() >= needed.blame;
}

} // namespace Trefoilhoist::Jobs

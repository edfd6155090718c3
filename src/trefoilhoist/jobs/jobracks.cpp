// Part of JobScheduler: decides whether tasks wait for a place on a rack, and places gangs by rack.
#include "trefoilhoist/jobs/jobscheduler.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace Trefoilhoist::Jobs {

namespace {

// True if the rack is one on which the gang should be.
bool mayHoldGang(const Wire::StepSpec &step, const std::string &rack)
{
    return !rack.empty() && (step.inputRack.empty() || rack == step.inputRack);
}

// True if the places of `a` are expected to be free first, or if fewer are missing where that is not known.
bool isFreeSooner(const AwaitedPlaces &a, const AwaitedPlaces &b)
{
    if (a.expectedWait && b.expectedWait) {
        return *a.expectedWait < *b.expectedWait;
    }
    return a.expectedWait || b.expectedWait ? a.expectedWait.has_value() : a.count < b.count;
}

// The racks that can take all members now, those with the least room first.
std::vector<std::string> racksByFit(const std::map<std::string, RackRoom> &rooms, std::size_t members)
{
    std::vector<std::pair<std::size_t, std::string>> fits;
    for (const auto &[rack, room] : rooms) {
        if (!rack.empty() && room.now >= members) {
            fits.emplace_back(room.now, rack);
        }
    }
    std::sort(fits.begin(), fits.end());
    std::vector<std::string> racks;
    racks.reserve(fits.size());
    for (auto &[room, rack] : fits) {
        racks.push_back(std::move(rack));
    }
    return racks;
}

} // namespace

bool JobScheduler::awaitPlaces(const PendingStep &pending,
                               std::size_t index,
                               const AwaitedPlaces &places,
                               TimePoint now)
{
    const auto &step = m_jobs.at(pending.job).job.step(pending.step);
    auto &awaitedSince = m_pending.at({pending.job, pending.occurrence, pending.step}).rackAwaitedSince;
    const auto since = awaitedSince.find(index);
    PlacementChoice choice;
    choice.runTime = m_jobs.at(pending.job).job.expectedRunTime(static_cast<std::size_t>(pending.step));
    choice.waited = since == awaitedSince.end() ? Duration{} : now - since->second;
    if (step.usesIdleCpu) {
        // A best-effort task may have waited for a place without interference before, also while there was capacity.
        choice.waited = now - pending.pendingSince;
    }
    choice.untilLatestStart = pending.rank.latestStart - now;
    choice.longRunning = step.longRunning;
    if (!m_rackWaits.await(pending.job, places, choice, m_epoch, now)) {
        return false;
    }
    m_placementWaits += awaitedSince.try_emplace(index, now).second ? 1 : 0;
    return true;
}

bool JobScheduler::taskAwaitsRack(const PendingStep &pending,
                                  std::size_t index,
                                  const WorkerSelector &selector,
                                  TimePoint now)
{
    if (!selector.mayWaitForRack()) {
        return false;
    }
    AwaitedPlaces places{m_jobs.at(pending.job).job.step(pending.step).inputRack, pending.rank.usesIdleCpu, 1, {}};
    // An excluded worker can take the task in the next plan.
    const std::size_t missing = selector.hasExcludedOnRack() ? 0 : 1;
    places.expectedWait = m_rackWaits.expectedWait(places.rack, places.idleCpu, missing, now);
    return awaitPlaces(pending, index, places, now);
}

// A gang waits for the rack that is expected to have room for all its members first.
bool JobScheduler::gangAwaitsRack(const PendingStep &pending,
                                  const std::map<std::string, RackRoom> &rooms,
                                  TimePoint now)
{
    const auto &step = m_jobs.at(pending.job).job.step(pending.step);
    const auto members = static_cast<std::size_t>(step.count);
    std::optional<AwaitedPlaces> best;
    for (const auto &[rack, room] : rooms) {
        if (!mayHoldGang(step, rack) || room.later < members) {
            continue;
        }
        AwaitedPlaces places{rack, pending.rank.usesIdleCpu, members - std::min(members, room.now), {}};
        places.expectedWait = m_rackWaits.expectedWait(rack, places.idleCpu, places.count, now);
        if (!best || isFreeSooner(places, *best)) {
            best = std::move(places);
        }
    }
    return best && awaitPlaces(pending, 0, *best, now);
}

void JobScheduler::placeGangByRack(Entry &entry,
                                   const PendingStep &pending,
                                   std::map<std::string, Wire::WorkerOrders> &orders,
                                   TimePoint now)
{
    const auto &step = entry.job.step(pending.step);
    const auto &state = entry.job.occurrences().at(pending.occurrence).steps[static_cast<std::size_t>(pending.step)];
    const bool maySpread = !step.gangOnOneRack && step.inputRack.empty();
    const bool canStartAll = std::all_of(
        state.tasks.begin(), state.tasks.end(), [&](const auto &it) { return canStart(entry, step, it, now); });
    if (!m_rackWaits.isEnabled() || maySpread || !canStartAll) {
        placeGang(entry, pending, orders, now);
        return;
    }
    const auto members = state.tasks.size();
    const auto rooms = selectorFor(entry, pending, now).roomByRack(members);
    const auto racks = racksByFit(rooms, members);
    const auto startsOn = [&](const auto &rack) {
        return placeGang(entry, pending, orders, now, rack);
    };
    if (std::any_of(
            racks.begin(), racks.end(), [&](const auto &it) { return mayHoldGang(step, it) && startsOn(it); })) {
        return;
    }
    const auto room = std::accumulate(rooms.begin(), rooms.end(), std::size_t{0}, [](std::size_t sum, const auto &it) {
        return sum + it.second.now;
    });
    if (room >= members && gangAwaitsRack(pending, rooms, now)) {
        return;
    }
    // Any other single rack is better than several.
    if (step.gangOnOneRack && !step.inputRack.empty() && std::any_of(racks.begin(), racks.end(), startsOn)) {
        return;
    }
    placeGang(entry, pending, orders, now);
}

} // namespace Trefoilhoist::Jobs

// Routes one request over two minions, without sockets and without a clock.
#include "trefoilhoist/routing/router.h"

#include <iostream>

using namespace Trefoilhoist;

namespace {

Minion minionAt(const char *id, const char *zone)
{
    Minion minion;
    minion.id = MinionId(id);
    minion.zone = ZoneId(zone);
    minion.service = ServiceId("lending");
    minion.slots = 8;
    minion.connections = 64;
    return minion;
}

} // namespace

int main()
{
    const TimePoint now{seconds(1)};
    RouterSettings settings;
    settings.zone = ZoneId("plock");
    Router router(settings);
    (void)router.setMinions({minionAt("m1", "radom"), minionAt("m2", "plock")}, now);

    RouteRequest request;
    request.number = 1;
    request.caller = CallerId("kitchen");
    request.service = ServiceId("lending");
    request.deadline = now + milliseconds(500);
    for (const auto &action : router.admit(request, now)) {
        if (const auto *dispatch = std::get_if<Dispatch>(&action)) {
            std::cout << "request " << dispatch->request << " goes to " << dispatch->minion.id << '\n';
            (void)router.finishAttempt({1, dispatch->minion.id, AttemptEnd::Answered, milliseconds(5)},
                                       now + milliseconds(5));
        }
    }
    return router.inFlight()[MinionId("m2")] == 0 ? 0 : 1;
}

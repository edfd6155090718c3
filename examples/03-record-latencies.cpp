// Records latencies, prints the Prometheus text, and what one record costs here.
#include "trefoilhoist/metrics/burntable.h"
#include "trefoilhoist/metrics/metrics.h"

#include <chrono>
#include <iostream>

using namespace Trefoilhoist;

namespace {

constexpr int records = 1000000;

template <typename Body>
double nanosecondsEach(Body body)
{
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < records; ++i) {
        body(i);
    }
    const std::chrono::duration<double, std::nano> elapsed = std::chrono::steady_clock::now() - start;
    return elapsed.count() / records;
}

} // namespace

int main()
{
    Clock clock;
    MetricsRegistry metrics(clock);
    BurnTable burn;
    auto &counter = metrics.counter("requests_total", {{"service", "lending"}});
    auto &latency = metrics.latency("request_latency_us", {{"service", "lending"}});
    const auto now = clock.now();
    const BurnSample sample{ServiceId("lending"), CallerId("kitchen"), MinionId("m1"), true, milliseconds(3)};

    std::cout << "counter: " << nanosecondsEach([&](int) { counter.add(); }) << " ns\n"
              << "latency: " << nanosecondsEach([&](int i) { latency.record(Duration(i % 9000), now); }) << " ns\n"
              << "burn: " << nanosecondsEach([&](int) { burn.record(sample, now); }) << " ns\n"
              << metrics.exposition();
    return 0;
}

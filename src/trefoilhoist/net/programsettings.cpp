#include "trefoilhoist/net/programsettings.h"

#include "trefoilhoist/log/eventlog.h"

namespace Trefoilhoist {

namespace {

constexpr std::size_t bytesPerMegabyte = 1'000'000;
constexpr Duration flushEvery = milliseconds(20);

} // namespace

Endpoint endpointFromSetting(const Runtime &runtime, const std::string &place, const std::string &text)
{
    try {
        return endpointFromText(text);
    } catch (const std::exception &e) {
        runtime.failStart(place, e.what());
    }
}

Endpoint endpointAt(const Runtime &runtime, const std::string &key)
{
    return endpointFromSetting(runtime, "/" + key, runtime.settings().at(key));
}

Endpoint optionalEndpointAt(const Runtime &runtime, const std::string &key)
{
    return runtime.settings().value(key, "").empty() ? Endpoint{} : endpointAt(runtime, key);
}

Duration millisAt(const Runtime &runtime, const std::string &key, Duration fallback)
{
    return milliseconds(runtime.settings().value(key, duration_cast<milliseconds>(fallback).count()));
}

std::size_t megabytesAt(const Runtime &runtime, const std::string &key, std::size_t fallbackBytes)
{
    return runtime.settings().value(key, fallbackBytes / bytesPerMegabyte) * bytesPerMegabyte;
}

void openEventLog(Runtime &runtime)
{
    EventLog::instance().open([executor = runtime.executor()] {
        spawnOn(executor, "log flush", []() -> awaitable<void> {
            co_await sleepFor(flushEvery);
            EventLog::instance().flush();
        });
    });
}

} // namespace Trefoilhoist

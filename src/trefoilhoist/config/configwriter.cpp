#include "trefoilhoist/config/configwriter.h"

#include "trefoilhoist/store/backoff.h"
#include "trefoilhoist/store/keys.h"

#include <xxhash.h>

#include <array>
#include <cstdio>
#include <random>

namespace Trefoilhoist {

namespace {

constexpr milliseconds firstBackoff(20);
constexpr milliseconds maxBackoff(1000);

template <typename Value>
bool failed(const StoreResult<Value> &result)
{
    return !result;
}

} // namespace

std::string configSegmentKey(int segment)
{
    return StoreKeys::configSegments + std::to_string(segment);
}

std::string freshWriteId()
{
    std::random_device device;
    std::array<char, 33> buf{};
    std::snprintf(buf.data(), buf.size(), "%08x%08x%08x%08x", device(), device(), device(), device());
    return {buf.data()};
}

awaitable<ChangeOutcome> writeConfigChange(StoreClient &store, ConfigChangeRequest request, Duration limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    const auto key = configSegmentKey(configSegmentOf(request.edit.kind, request.edit.name));
    Backoff backoff(firstBackoff, maxBackoff, XXH64(request.writeId.data(), request.writeId.size(), 0));
    ConfigChange change(std::move(request));
    auto action = change.start();
    std::string trouble = "the time for the change is over";
    while (!std::holds_alternative<ChangeOutcome>(action)) {
        if (std::chrono::steady_clock::now() >= end) {
            co_return change.giveUp(trouble);
        }
        bool pause = false;
        if (const auto *write = std::get_if<WriteSegment>(&action)) {
            const auto result = co_await store.compareAndSet(key, write->value, write->modifyIndex);
            pause = failed(result);
            trouble = pause ? result.error().reason : trouble;
            action = change.written(result);
        } else {
            const auto result = co_await store.get(key);
            pause = failed(result);
            trouble = pause ? result.error().reason : trouble;
            action = change.read(result);
        }
        if (pause && !std::holds_alternative<ChangeOutcome>(action)) {
            co_await sleepFor(backoff.next());
        }
    }
    co_return std::get<ChangeOutcome>(action);
}

} // namespace Trefoilhoist

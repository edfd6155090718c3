#include "trefoilhoist/store/meteredstoreclient.h"

#include "trefoilhoist/store/backoff.h"
#include "trefoilhoist/store/callbudget.h"

#include <atomic>
#include <mutex>

namespace Trefoilhoist {

namespace {

constexpr milliseconds firstBackoff(20);
constexpr milliseconds maxBackoff(500);

enum class CallKind { Read, Write };

} // namespace

struct MeteredStoreClient::State {
    std::shared_ptr<StoreClient> inner;
    StoreBudget budget;
    const Clock &clock;
    MetricsRegistry &metrics;
    std::mutex mutex;
    CallBudget reads;
    CallBudget writes;
    std::mt19937_64 random;
    std::atomic<int> waitingWatches = 0;

    State(std::shared_ptr<StoreClient> client,
          const StoreBudget &given,
          const Clock &runtime,
          MetricsRegistry &registry)
        : inner(std::move(client))
        , budget(given)
        , clock(runtime)
        , metrics(registry)
        , reads(given.readsPerSecond, given.burst)
        , writes(given.writesPerSecond, given.burst)
        , random(given.seed)
    {
    }

    std::optional<Duration> reserve(CallKind kind, Duration maxWait)
    {
        std::lock_guard lock(mutex);
        return (kind == CallKind::Read ? reads : writes).reserve(clock.now(), maxWait);
    }

    Backoff freshBackoff()
    {
        std::lock_guard lock(mutex);
        return {firstBackoff, maxBackoff, random()};
    }

    void count(const char *kind, const char *result)
    {
        metrics.counter("trefoilhoist_store_calls", {{"role", budget.role}, {"kind", kind}, {"result", result}}).add();
    }

    template <typename Value>
    void count(const char *kind, const StoreResult<Value> &result)
    {
        if (result) {
            count(kind, "ok");
        } else {
            count(kind, result.error().failure == StoreFailure::Unknown ? "unknown" : "not_done");
        }
    }

    // Calls until there is an effect, an unknown effect, or no time left.
    template <typename Value>
    static awaitable<StoreResult<Value>>
    repeat(std::shared_ptr<State> state, CallKind kind, std::function<awaitable<StoreResult<Value>>()> call)
    {
        const char *name = kind == CallKind::Read ? "read" : "write";
        const auto end = state->clock.now() + state->budget.deadline;
        auto backoff = state->freshBackoff();
        while (true) {
            const auto wait = state->reserve(kind, std::max(Duration{}, end - state->clock.now()));
            if (!wait) {
                state->count(name, "over_budget");
                co_return tl::unexpected(StoreError{StoreFailure::NotDone, "the role's call budget is used up"});
            }
            if (*wait > Duration{}) {
                co_await sleepFor(*wait);
            }
            auto result = co_await call();
            state->count(name, result);
            if (result || result.error().failure == StoreFailure::Unknown) {
                co_return result;
            }
            const auto pause = backoff.next();
            if (state->clock.now() + pause >= end) {
                co_return result;
            }
            co_await sleepFor(pause);
        }
    }

    // Counts a call that its owner paces.
    template <typename Value>
    static awaitable<StoreResult<Value>>
    once(std::shared_ptr<State> state, const char *kind, awaitable<StoreResult<Value>> call)
    {
        auto result = co_await std::move(call);
        state->count(kind, result);
        co_return result;
    }
};

MeteredStoreClient::MeteredStoreClient(std::shared_ptr<StoreClient> inner,
                                       const StoreBudget &budget,
                                       const Clock &clock,
                                       MetricsRegistry &metrics)
    : m_state(std::make_shared<State>(std::move(inner), budget, clock, metrics))
{
}

MeteredStoreClient::~MeteredStoreClient() = default;

awaitable<StoreResult<std::optional<StoreEntry>>> MeteredStoreClient::get(std::string key)
{
    return State::repeat<std::optional<StoreEntry>>(
        m_state, CallKind::Read, [inner = m_state->inner, key] { return inner->get(key); });
}

awaitable<StoreResult<StoreListing>> MeteredStoreClient::list(std::string prefix)
{
    return State::repeat<StoreListing>(
        m_state, CallKind::Read, [inner = m_state->inner, prefix] { return inner->list(prefix); });
}

awaitable<StoreResult<StoreListing>> MeteredStoreClient::watch(std::string prefix, std::uint64_t index, Duration wait)
{
    auto state = m_state;
    const Labels role{{"role", state->budget.role}};
    auto &waiting = state->metrics.gauge("trefoilhoist_store_watches_waiting", role);
    waiting.set(++state->waitingWatches);
    auto result = co_await State::once(state, "watch", state->inner->watch(std::move(prefix), index, wait));
    waiting.set(--state->waitingWatches);
    co_return result;
}

awaitable<StoreResult<bool>>
MeteredStoreClient::compareAndSet(std::string key, std::string value, std::uint64_t modifyIndex)
{
    return State::repeat<bool>(m_state, CallKind::Write, [inner = m_state->inner, key, value, modifyIndex] {
        return inner->compareAndSet(key, value, modifyIndex);
    });
}

awaitable<StoreResult<bool>> MeteredStoreClient::compareAndDelete(std::string key, std::uint64_t modifyIndex)
{
    return State::repeat<bool>(m_state, CallKind::Write, [inner = m_state->inner, key, modifyIndex] {
        return inner->compareAndDelete(key, modifyIndex);
    });
}

awaitable<StoreResult<std::string>> MeteredStoreClient::createSession(Duration ttl)
{
    return State::once(m_state, "lease", m_state->inner->createSession(ttl));
}

awaitable<StoreResult<bool>> MeteredStoreClient::renewSession(std::string session)
{
    return State::once(m_state, "lease", m_state->inner->renewSession(std::move(session)));
}

awaitable<StoreResult<bool>> MeteredStoreClient::destroySession(std::string session)
{
    return State::once(m_state, "lease", m_state->inner->destroySession(std::move(session)));
}

awaitable<StoreResult<bool>> MeteredStoreClient::acquire(std::string key, std::string value, std::string session)
{
    return State::once(m_state, "lease", m_state->inner->acquire(std::move(key), std::move(value), std::move(session)));
}

awaitable<StoreResult<bool>> MeteredStoreClient::release(std::string key, std::string session)
{
    return State::once(m_state, "lease", m_state->inner->release(std::move(key), std::move(session)));
}

} // namespace Trefoilhoist

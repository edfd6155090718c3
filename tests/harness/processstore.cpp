#include "harness/processstore.h"

#include "trefoilhoist/jobs/recordkeys.h"

#include <algorithm>
#include <utility>

namespace Trefoilhoist {

namespace {

constexpr Duration stallPollInterval = milliseconds(5);

bool writesJob(const RecordCommit &commit)
{
    return std::any_of(
        commit.writes.begin(), commit.writes.end(), [](const auto &it) { return it.key.starts_with(Jobs::jobPrefix); });
}

} // namespace

awaitable<StoreResult<std::optional<StoredRecord>>> ProcessStore::read(std::string key)
{
    return m_shared.read(std::move(key));
}

awaitable<StoreResult<RecordPage>> ProcessStore::list(std::string prefix, std::string after)
{
    if (hidesPeers && prefix == Jobs::peerPrefix) {
        co_return RecordPage{};
    }
    co_return co_await m_shared.list(std::move(prefix), std::move(after));
}

awaitable<StoreResult<RecordChanges>> ProcessStore::watch(std::string prefix, std::int64_t revision, Duration wait)
{
    return m_shared.watch(std::move(prefix), revision, wait);
}

awaitable<StoreResult<CommitOutcome>> ProcessStore::commit(RecordCommit commit)
{
    if (!writesJob(commit)) {
        co_return co_await m_shared.commit(std::move(commit));
    }
    if (withholdsJobWrites && !m_withheld) {
        m_withheld = std::move(commit);
        co_return tl::unexpected(StoreError{StoreFailure::Unknown, "no answer"});
    }
    co_await sleepFor(jobWriteDelay);
    if (withholdsJobWrites || refusesJobWrites) {
        co_return tl::unexpected(StoreError{StoreFailure::NotDone, "refused"});
    }
    co_return co_await m_shared.commit(std::move(commit));
}

awaitable<void> ProcessStore::executeWithheldJobWrite()
{
    withholdsJobWrites = false;
    auto commit = std::exchange(m_withheld, std::nullopt);
    co_await m_shared.commit(std::move(*commit));
}

awaitable<StoreResult<std::int64_t>> ProcessStore::openLease(Duration ttl)
{
    return m_shared.openLease(ttl);
}

awaitable<StoreResult<bool>> ProcessStore::renewLease(std::int64_t lease)
{
    while (stallsRenewals) {
        co_await sleepFor(stallPollInterval);
    }
    co_return co_await m_shared.renewLease(lease);
}

awaitable<StoreResult<bool>> ProcessStore::endLease(std::int64_t lease)
{
    return m_shared.endLease(lease);
}

} // namespace Trefoilhoist

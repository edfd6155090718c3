#include "trefoilhoist/placement/caseditor.h"

namespace Trefoilhoist {

CasEditor::CasEditor(std::string key, Duration retryAfter) : m_key(std::move(key)), m_retryAfter(retryAfter) { }

void CasEditor::request()
{
    m_requested = true;
}

std::optional<StoreCommand> CasEditor::poll(TimePoint now)
{
    if (!m_requested || m_step != Step::Idle || now < m_notBefore) {
        return std::nullopt;
    }
    m_requested = false;
    m_step = Step::Reading;
    return ReadValue{m_key};
}

std::optional<StoreCommand>
CasEditor::applyRead(TimePoint now, const ValueRead &value, const Edit &edit, bool &resolved)
{
    resolved = false;
    if (m_step != Step::Reading) {
        return std::nullopt;
    }
    if (!value.ok) {
        retry(now);
        return std::nullopt;
    }
    auto newValue = edit(value);
    if (!newValue) {
        m_step = Step::Idle;
        m_hasUnresolvedWrite = false;
        resolved = true;
        return std::nullopt;
    }
    m_step = Step::Writing;
    m_hasUnresolvedWrite = true;
    return WriteValue{m_key, std::move(*newValue), value.modifyIndex};
}

bool CasEditor::applyWritten(TimePoint now, WriteOutcome outcome)
{
    if (m_step != Step::Writing) {
        return false;
    }
    if (outcome == WriteOutcome::Written) {
        m_step = Step::Idle;
        m_hasUnresolvedWrite = false;
        return true;
    }
    // After a lost answer the write may still take effect until a read returns a newer value.
    m_hasUnresolvedWrite = outcome == WriteOutcome::Unknown;
    retry(now);
    return false;
}

bool CasEditor::busy() const
{
    return m_requested || m_step != Step::Idle;
}

bool CasEditor::hasUnresolvedWrite() const
{
    return m_hasUnresolvedWrite;
}

const std::string &CasEditor::key() const
{
    return m_key;
}

void CasEditor::retry(TimePoint now)
{
    m_step = Step::Idle;
    m_requested = true;
    m_notBefore = now + m_retryAfter;
}

awaitable<StoreReply> runStoreCommand(StoreClient &store, StoreCommand command)
{
    if (const auto *readCommand = std::get_if<ReadValue>(&command)) {
        const auto result = co_await store.get(readCommand->key);
        ValueRead reply{readCommand->key, result.has_value(), {}, 0};
        if (result && *result) {
            reply.value = (*result)->value;
            reply.modifyIndex = (*result)->modifyIndex;
        }
        co_return reply;
    }
    const auto &write = std::get<WriteValue>(command);
    const auto result = co_await store.compareAndSet(write.key, write.value, write.modifyIndex);
    if (result) {
        co_return ValueWritten{write.key, *result ? WriteOutcome::Written : WriteOutcome::Conflict};
    }
    const bool unknown = result.error().failure == StoreFailure::Unknown;
    co_return ValueWritten{write.key, unknown ? WriteOutcome::Unknown : WriteOutcome::NotDone};
}

} // namespace Trefoilhoist

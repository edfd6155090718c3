#include "trefoilhoist/wire/internal/boundedprotocol.h"

#include "idl/gen/messages_types.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Trefoilhoist::Detail {

namespace {

using apache::thrift::protocol::TProtocolException;
using apache::thrift::protocol::TType;

constexpr std::size_t maxRecordBytes = std::numeric_limits<std::int32_t>::max();

/// Room for containers, whatever the size of the message: small messages may be mostly structure.
constexpr std::size_t baseBytes = std::size_t{16} << 10U;

/// At least the size of any struct that a list holds.
constexpr std::size_t structBytes = 320;
constexpr std::size_t containerBytes = 48;
constexpr std::size_t numberBytes = 8;
/// What a map takes for an entry beside key and value.
constexpr std::size_t mapEntryBytes = 48;

static_assert(sizeof(Wire::StartOrder) <= structBytes);
static_assert(sizeof(Wire::MinionRecord) <= structBytes);
static_assert(sizeof(Wire::ClaimRecord) <= structBytes);
static_assert(sizeof(Wire::WorkerDescription) <= structBytes);

std::size_t elementBytes(TType type)
{
    switch (type) {
    case TType::T_STRUCT:
        return structBytes;
    case TType::T_STRING:
    case TType::T_LIST:
    case TType::T_SET:
    case TType::T_MAP:
        return containerBytes;
    default:
        return numberBytes;
    }
}

// Every element of a container and every byte of a text takes at least one byte. A limit of 0 is none.
std::int32_t recordLimit(std::size_t messageBytes)
{
    return static_cast<std::int32_t>(std::clamp<std::size_t>(messageBytes, 1, maxRecordBytes));
}

} // namespace

BoundedProtocol::BoundedProtocol(std::shared_ptr<Buffer> buf, std::size_t messageBytes, std::size_t bytesPerMessageByte)
    : TCompactProtocolT(std::move(buf), recordLimit(messageBytes), recordLimit(messageBytes))
    , m_bytesLeft(baseBytes + bytesPerMessageByte * messageBytes)
{
}

std::uint32_t BoundedProtocol::readListBegin_virt(TType &elemType, std::uint32_t &size)
{
    const auto read = readListBegin(elemType, size);
    take(size, elementBytes(elemType));
    return read;
}

std::uint32_t BoundedProtocol::readSetBegin_virt(TType &elemType, std::uint32_t &size)
{
    const auto read = readSetBegin(elemType, size);
    take(size, mapEntryBytes + elementBytes(elemType));
    return read;
}

std::uint32_t BoundedProtocol::readMapBegin_virt(TType &keyType, TType &valType, std::uint32_t &size)
{
    const auto read = readMapBegin(keyType, valType, size);
    take(size, mapEntryBytes + elementBytes(keyType) + elementBytes(valType));
    return read;
}

void BoundedProtocol::take(std::size_t elements, std::size_t elementBytes)
{
    const auto bytes = elements * elementBytes;
    if (bytes > m_bytesLeft) {
        throw TProtocolException(TProtocolException::SIZE_LIMIT);
    }
    m_bytesLeft -= bytes;
}

} // namespace Trefoilhoist::Detail

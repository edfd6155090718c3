#pragma once

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstddef>
#include <cstdint>
#include <memory>

namespace Trefoilhoist::Detail {

/// Thrift's compact protocol for bytes that a peer sent. The generated code makes room for all elements of a container
/// before it reads the first; here the sum of that room is bounded by the size of the message. Reading ends with a
/// TProtocolException where the bound is met.
class BoundedProtocol : public apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer>
{
public:
    using Buffer = apache::thrift::transport::TMemoryBuffer;

    /// Reads `messageBytes` bytes from `buf`. Containers may take `bytesPerMessageByte` bytes for each.
    BoundedProtocol(std::shared_ptr<Buffer> buf, std::size_t messageBytes, std::size_t bytesPerMessageByte);

    std::uint32_t readListBegin_virt(apache::thrift::protocol::TType &elemType, std::uint32_t &size) override;
    std::uint32_t readSetBegin_virt(apache::thrift::protocol::TType &elemType, std::uint32_t &size) override;
    std::uint32_t readMapBegin_virt(apache::thrift::protocol::TType &keyType,
                                    apache::thrift::protocol::TType &valType,
                                    std::uint32_t &size) override;

private:
    void take(std::size_t elements, std::size_t elementBytes);

    /// Room that containers may still take.
    std::size_t m_bytesLeft;
};

} // namespace Trefoilhoist::Detail

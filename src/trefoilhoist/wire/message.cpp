#include "trefoilhoist/wire/message.h"

#include "trefoilhoist/wire/internal/boundedprotocol.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>

namespace Trefoilhoist::Wire {

namespace {

using Buffer = apache::thrift::transport::TMemoryBuffer;
using Protocol = apache::thrift::protocol::TCompactProtocolT<Buffer>;

/// What the containers of a message may take for each of its bytes. Their elements hold at least a text or a few
/// numbers.
template <typename Message>
constexpr std::size_t containerBytesPerByte = 12;
/// An occurrence that has finished is a short number and an empty list.
template <>
constexpr std::size_t containerBytesPerByte<JobProgress> = 64;

} // namespace

template <typename Message>
std::string encode(const Message &message)
{
    auto buf = std::make_shared<Buffer>();
    Protocol protocol(buf);
    message.write(&protocol);
    return buf->getBufferAsString();
}

template <typename Message>
std::optional<Message> decode(const std::string &bytes)
{
    // The buffer only reads the bytes where they are.
    auto *data = reinterpret_cast<std::uint8_t *>(const_cast<char *>(bytes.data()));
    auto buf = std::make_shared<Buffer>(data, static_cast<std::uint32_t>(bytes.size()), Buffer::OBSERVE);
    Detail::BoundedProtocol protocol(buf, bytes.size(), containerBytesPerByte<Message>);
    Message message;
    try {
        message.read(&protocol);
    } catch (const apache::thrift::TException &) {
        return std::nullopt;
    }
    return message;
}

#define TREFOILHOIST_WIRE_MESSAGE(Message)                                                                             \
    template std::string encode<Message>(const Message &);                                                             \
    template std::optional<Message> decode<Message>(const std::string &);

TREFOILHOIST_WIRE_MESSAGE(Envelope)
TREFOILHOIST_WIRE_MESSAGE(MembershipDelta)
TREFOILHOIST_WIRE_MESSAGE(MembershipDigest)
TREFOILHOIST_WIRE_MESSAGE(MembershipRequest)
TREFOILHOIST_WIRE_MESSAGE(LoadReport)
TREFOILHOIST_WIRE_MESSAGE(ClaimRequest)
TREFOILHOIST_WIRE_MESSAGE(ClaimReply)
TREFOILHOIST_WIRE_MESSAGE(ClaimFinish)
TREFOILHOIST_WIRE_MESSAGE(ClaimPageRequest)
TREFOILHOIST_WIRE_MESSAGE(ClaimPage)
TREFOILHOIST_WIRE_MESSAGE(ConfigDigest)
TREFOILHOIST_WIRE_MESSAGE(ConfigSegments)
TREFOILHOIST_WIRE_MESSAGE(JobForward)
TREFOILHOIST_WIRE_MESSAGE(JobReply)
TREFOILHOIST_WIRE_MESSAGE(Ack)
TREFOILHOIST_WIRE_MESSAGE(JobSpec)
TREFOILHOIST_WIRE_MESSAGE(JobProgress)
TREFOILHOIST_WIRE_MESSAGE(WorkerReport)
TREFOILHOIST_WIRE_MESSAGE(WorkerReportReply)
TREFOILHOIST_WIRE_MESSAGE(WorkerOrders)
TREFOILHOIST_WIRE_MESSAGE(WorkerOrdersReply)
TREFOILHOIST_WIRE_MESSAGE(SubmitJob)
TREFOILHOIST_WIRE_MESSAGE(JobQuery)
TREFOILHOIST_WIRE_MESSAGE(CancelJob)
TREFOILHOIST_WIRE_MESSAGE(QueueQuery)
TREFOILHOIST_WIRE_MESSAGE(JobAnswer)
TREFOILHOIST_WIRE_MESSAGE(OwnerRecord)
TREFOILHOIST_WIRE_MESSAGE(WorkerRoster)

} // namespace Trefoilhoist::Wire

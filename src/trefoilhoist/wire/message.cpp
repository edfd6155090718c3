#include "trefoilhoist/wire/message.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <limits>
#include <memory>

namespace Trefoilhoist::Wire {

namespace {

using Buffer = apache::thrift::transport::TMemoryBuffer;
using Protocol = apache::thrift::protocol::TCompactProtocolT<Buffer>;

constexpr std::size_t maxRecordBytes = std::numeric_limits<std::int32_t>::max();

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
    auto buf = std::make_shared<Buffer>();
    buf->write(reinterpret_cast<const std::uint8_t *>(bytes.data()), static_cast<std::uint32_t>(bytes.size()));
    // Every element of a list and every byte of a text takes at least one byte. Without limits their memory is taken
    // before they are read. A limit of 0 is none.
    const auto limit = static_cast<std::int32_t>(std::clamp<std::size_t>(bytes.size(), 1, maxRecordBytes));
    Protocol protocol(buf, limit, limit);
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

#pragma once

#include "trefoilhoist/net/asio.h"
#include "trefoilhoist/world/world.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace Trefoilhoist::StandIns {

/// What a link does to its connections. Directions: a request goes to the target, an answer comes from it.
struct LinkFaults {
    /// Breaks all connections, and each new one once it is accepted.
    bool cut = false;
    /// Resets all connections and closes the listening socket, so that new connections are refused.
    bool refuse = false;
    /// Resets all open connections once. New ones are forwarded.
    bool reset = false;
    /// Takes bytes and connections and passes nothing on.
    bool silent = false;
    /// Like silent, in one direction. Without requests, new connections reach the target once the link is healed.
    bool silentRequests = false;
    bool silentAnswers = false;
    /// New connections reach the target after this time, which may be another process there by then.
    Duration connectDelay{};
    /// Added to each chunk on its way to the target, and from it.
    Duration requestDelay{};
    Duration answerDelay{};
    /// Breaks a connection after this many bytes of answers; 0 for never.
    std::int64_t truncateAnswersAfter = 0;
    /// Every chunk of an answer is sent twice.
    bool duplicateAnswers = false;
    /// An answer chunk is held and goes to the next connection that has one.
    bool crossAnswers = false;
    /// Drops answers: the target acts, and the connection breaks with no byte of the answer.
    bool dropAnswers = false;
};

/// What a link does while nobody listens at its target.
enum class ClosedTarget {
    /// Accepts connections and closes them.
    Accept,
    /// Closes its own listening socket, so that connections are refused as they would be without the link.
    Refuse
};

/// Forwards TCP connections from one address to another with faults.
class FaultLink
{
public:
    FaultLink(Asio::any_io_executor executor,
              Endpoint listen,
              Endpoint target,
              ClosedTarget closedTarget = ClosedTarget::Accept);

    /// Binds. Returns the bound address or why it can't be bound.
    tl::expected<Endpoint, std::string> start();
    void setFaults(const LinkFaults &faults);
    [[nodiscard]] LinkFaults faults() const;
    /// Connections taken and bytes passed on so far.
    [[nodiscard]] std::uint64_t connections() const;
    [[nodiscard]] std::uint64_t bytes() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Trefoilhoist::StandIns

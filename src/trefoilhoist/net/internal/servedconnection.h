#pragma once

#include "trefoilhoist/net/internal/heldbody.h"
#include "trefoilhoist/net/internal/httpserving.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <tl/expected.hpp>

#include <memory>

namespace Trefoilhoist::Detail {

/// One accepted connection of an HttpServer. All members are used on the stream's strand only.
class ServedConnection : public std::enable_shared_from_this<ServedConnection>
{
public:
    ServedConnection(Asio::ip::tcp::socket socket, std::shared_ptr<HttpServing> serving);

    /// Enters the connection into the table of its server. Call once, before run().
    void join();
    /// Serves requests until either side closes the connection.
    awaitable<void> run();
    [[nodiscard]] Asio::any_io_executor executor();
    /// Closes the connection if it is still in that phase. May be called from any thread.
    void closeIf(ConnectionPhase phase);

private:
    struct ReadRequest {
        HttpRequest request;
        bool keepAlive = false;
        unsigned version = 0;
    };

    /// Takes the connection out of its server's table at the end of its scope.
    struct Leaving {
        ServedConnection &connection;
        ~Leaving();
    };

    void enter(ConnectionPhase phase);
    awaitable<void> serveAll();
    /// Waits for the first byte, so that an idle connection is told from a slow request.
    awaitable<bool> waitForRequest();
    awaitable<bool> serveOne();
    awaitable<bool> readAndAnswer();
    /// Reads a whole request. After an error the connection is to be closed.
    awaitable<tl::expected<ReadRequest, boost::system::error_code>> readRequest();
    /// Reserves what the part of a request takes that has been read.
    boost::system::error_code holdRequest(const boost::beast::http::request<HeldBody> &message);
    awaitable<HttpResponse> answerOf(HttpRequest request);
    /// Reserves what is kept while an answer is written; answers with an error if there is no room.
    void holdAnswer(HttpResponse &response);
    awaitable<void> refuse(boost::system::error_code reason);
    awaitable<bool> write(HttpResponse response, bool keepAlive, unsigned version);

    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    std::shared_ptr<HttpServing> m_serving;
    /// For the request that is read or served, then for its answer.
    MemoryBudget::Reservation m_reservation;
    ConnectionTable::Place m_place;
    ConnectionPhase m_phase = ConnectionPhase::Idle;
};

} // namespace Trefoilhoist::Detail

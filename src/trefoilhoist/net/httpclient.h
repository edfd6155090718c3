#pragma once

#include "trefoilhoist/net/asio.h"
#include "trefoilhoist/net/httpmessage.h"
#include "trefoilhoist/verdict/verdict.h"
#include "trefoilhoist/world/clock.h"
#include "trefoilhoist/world/world.h"

#include <tl/expected.hpp>

#include <cstddef>
#include <memory>
#include <string>

namespace Trefoilhoist {

/// How one call is made.
struct HttpCallOptions {
    /// For connecting, sending and the whole answer together.
    Duration timeout = seconds(5);
    /// For connecting alone; never above `timeout`.
    Duration connectTimeout = seconds(1);
    std::size_t maxBodyBytes = std::size_t{4} << 20U;
    /// When set, sent as Trefoilhoist-Correlation, and an answer with another value is an error.
    std::string correlation;
    /// Connections kept idle to one endpoint; more are closed after their answer.
    int maxIdle = 64;
    /// Opens a fresh connection and closes it after the answer.
    bool freshConnection = false;
};

/// Calls HTTP/1.1 servers over kept-alive connections, one request in flight on each.
///
/// A connection is kept only after a whole answer with nothing behind it; one with a late, crossed or cut
/// answer is closed. Errors say whether the request may have run: NotRun until the first byte is handed to
/// the socket. Thread-safe.
class HttpClient
{
public:
    /// Bodies of answers that are being read may take `maxAnswerBytes` in sum; a call whose answer exceeds it fails.
    explicit HttpClient(Asio::any_io_executor executor, std::size_t maxAnswerBytes = std::size_t{64} << 20U);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    awaitable<tl::expected<HttpResponse, CallError>>
    call(Endpoint endpoint, HttpRequest request, HttpCallOptions options);

    /// Closes the idle connections to `endpoint`.
    void forget(const Endpoint &endpoint);

private:
    struct Pool;
    std::shared_ptr<Pool> m_pool;
};

} // namespace Trefoilhoist

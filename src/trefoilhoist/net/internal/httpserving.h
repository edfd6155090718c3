#pragma once

#include "trefoilhoist/net/httpserver.h"

#include <atomic>

namespace Trefoilhoist::Detail {

/// What the connections of one HttpServer share.
struct HttpServing {
    HttpLimits limits;
    HttpServer::Handler handler;
    MemoryBudget memory;
    std::atomic<int> inFlight = 0;
    std::atomic<bool> draining = false;
    std::atomic<bool> closed = false;

    HttpServing(HttpLimits httpLimits, HttpServer::Handler handle, MemoryBudget budget)
        : limits(httpLimits), handler(std::move(handle)), memory(std::move(budget))
    {
    }
};

} // namespace Trefoilhoist::Detail

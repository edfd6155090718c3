#include "standins/store/storeservice.h"
#include "trefoilhoist/net/httpserver.h"
#include "trefoilhoist/net/program.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

using namespace Trefoilhoist;

namespace {

const char *const schema = R"({
    "type": "object",
    "additionalProperties": false,
    "required": ["listen"],
    "properties": {
        "listen": {"description": "address of the store", "type": "string"},
        "threads": {"description": "threads of the pool", "type": "integer", "minimum": 1},
        "seed": {"description": "seed of the faults", "type": "integer", "minimum": 0},
        "dataFile": {"description": "file that keeps the data over a kill", "type": "string"}
    }
})";

// How often lapsed sessions are looked for.
constexpr milliseconds tickPeriod(50);

awaitable<void> tickLoop(std::shared_ptr<Standin::StoreService> service)
{
    while (true) {
        co_await sleepFor(tickPeriod);
        service->tick();
    }
}

void start(Runtime &runtime)
{
    const auto &settings = runtime.settings();
    const Asio::any_io_executor strand = Asio::make_strand(runtime.executor());
    auto service = std::make_shared<Standin::StoreService>(
        strand, runtime.clock(), settings.value("seed", std::uint64_t{1}), settings.value("dataFile", std::string()));
    HttpLimits limits;
    limits.maxBodyBytes = std::size_t{2} << 20U;
    auto server = std::make_shared<HttpServer>(
        runtime.executor(), limits, [service, strand](HttpRequest request) -> awaitable<HttpResponse> {
            co_return co_await Asio::co_spawn(strand, service->handle(std::move(request)), Asio::use_awaitable);
        });
    const auto listen = endpointFromText(settings.at("listen"));
    const auto port = server->listen(listen);
    if (!port) {
        runtime.failStart("/listen", port.error());
    }
    spawnOn(strand, "store tick", [service] { return tickLoop(service); });
    runtime.onStop([server]() -> awaitable<void> {
        server->close();
        co_return;
    });
    runtime.ready("http=" + Endpoint{listen.host, *port}.str());
}

} // namespace

int main(int argc, char **argv)
{
    return runProgram(argc, argv, {"standin-store", "A stand-in for the platform's key-value service", schema}, start);
}

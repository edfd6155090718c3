#include "burnrender.h"

#include "trefoilhoist/net/httpclient.h"
#include "trefoilhoist/net/tool.h"

#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace Trefoilhoist;

constexpr int exitFastBurn = 3;

struct Options {
    std::vector<std::string> entries;
    std::vector<std::string> snapshots;
    std::string saveFile;
    std::string svgFile;
    bool json = false;
    bool failOnFastBurn = false;
};

Options parseOptions(int argc, char **argv)
{
    TCLAP::CmdLine command("Reports how fast services burn their error budgets", ' ', TREFOILHOIST_VERSION);
    TCLAP::MultiArg<std::string> entries("e", "entry", "Address of a running entry", false, "host:port", command);
    TCLAP::MultiArg<std::string> snapshots("f", "snapshot", "File of a saved snapshot", false, "file", command);
    TCLAP::ValueArg<std::string> save(
        "w", "save", "Save the entries' snapshots to FILE.1, FILE.2, ...", false, "", "file", command);
    TCLAP::ValueArg<std::string> svg("g", "svg", "Write an SVG chart to this file", false, "", "file", command);
    TCLAP::SwitchArg json("j", "json", "Print JSON", command);
    TCLAP::SwitchArg failOption("x", "fail-on-fast-burn", "Exit with code 3 when a budget burns fast", command);
    parseCommandLine(command, argc, argv);
    if (entries.getValue().empty() && snapshots.getValue().empty()) {
        throw std::invalid_argument("at least one --entry or --snapshot is required");
    }
    return {entries.getValue(),
            snapshots.getValue(),
            save.getValue(),
            svg.getValue(),
            json.getValue(),
            failOption.getValue()};
}

// Fetches /-/burn from one entry. Throws std::runtime_error when the entry does not answer with status 200.
std::string fetchSnapshot(const std::string &entry)
{
    Asio::io_context context;
    HttpClient client(context.get_executor());
    tl::expected<HttpResponse, CallError> response = tl::unexpected(CallError{});
    const auto endpoint = endpointFromText(entry);
    spawn(context.get_executor(), "burn", [&]() -> awaitable<void> {
        HttpRequest request;
        request.target = "/-/burn";
        HttpCallOptions options;
        response = co_await client.call(endpoint, std::move(request), std::move(options));
    });
    context.run();
    if (!response) {
        throw std::runtime_error("entry " + entry + ": " + response.error().reason);
    }
    if (response->status != 200) {
        throw std::runtime_error("entry " + entry + " answered with status " + std::to_string(response->status));
    }
    return response->body;
}

std::string readSnapshot(const std::string &file)
{
    std::ifstream in(file);
    if (!in) {
        throw std::runtime_error(file + ": cannot open the file");
    }
    std::ostringstream buf;
    buf << in.rdbuf();
    return buf.str();
}

void addToReport(BurnReport &report, const std::string &source, const std::string &snapshot)
{
    const auto added = report.addSnapshot(snapshot);
    if (!added) {
        throw std::runtime_error(source + ": " + added.error());
    }
}

int runBurn(const Options &options)
{
    BurnReport report;
    int number = 0;
    for (const auto &entry : options.entries) {
        const auto snapshot = fetchSnapshot(entry);
        if (!options.saveFile.empty()) {
            std::ofstream(options.saveFile + "." + std::to_string(++number)) << snapshot;
        }
        addToReport(report, entry, snapshot);
    }
    for (const auto &file : options.snapshots) {
        addToReport(report, file, readSnapshot(file));
    }
    std::cout << (options.json ? burnJson(report) + "\n" : burnText(report));
    if (!options.svgFile.empty()) {
        std::ofstream(options.svgFile) << burnSvg(report);
    }
    return options.failOnFastBurn && report.worstLevel() == BurnLevel::Fast ? exitFastBurn : exitOk;
}

} // namespace

int main(int argc, char **argv)
{
    return runTool("trefoilhoist-burn", [&] { return runBurn(parseOptions(argc, argv)); });
}

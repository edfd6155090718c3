#include "ctlinforce.h"

#include "trefoilhoist/net/program.h"

#include <algorithm>

namespace Trefoilhoist::Ctl {

namespace {

using Json = nlohmann::ordered_json;

constexpr milliseconds waitPollInterval(100);

// In how many segments a process is behind the versions read from the store, and in how many it is ahead.
struct Lag {
    int behind = 0;
    int ahead = 0;
};

Lag computeLag(const std::vector<std::int64_t> &versions, const std::vector<std::int64_t> &accepted)
{
    Lag lag;
    for (std::size_t i = 0; i < accepted.size(); ++i) {
        lag.behind += versions[i] < accepted[i] ? 1 : 0;
        lag.ahead += versions[i] > accepted[i] ? 1 : 0;
    }
    return lag;
}

std::int64_t countChanges(const std::vector<std::int64_t> &versions)
{
    std::int64_t sum = 0;
    for (const auto version : versions) {
        sum += version;
    }
    return sum;
}

bool hasAll(const std::vector<std::int64_t> &versions, const std::map<int, std::int64_t> &wanted)
{
    return std::all_of(wanted.begin(), wanted.end(), [&](const auto &item) {
        return versions[static_cast<std::size_t>(item.first)] >= item.second;
    });
}

Json pendingRecords(const StoredSegments &segments, const std::vector<std::int64_t> &versions, const Endpoint &process)
{
    Json rows = Json::array();
    for (std::size_t i = 0; i < segments.size(); ++i) {
        for (const auto &record : segments[i].history) {
            if (record.version > versions[i]) {
                Json row{{"process", process.str()}};
                row.update(recordJson(record));
                rows.push_back(std::move(row));
            }
        }
    }
    return rows;
}

const char *stateName(const Lag &lag)
{
    if (lag.behind > 0) {
        return "behind";
    }
    // A process is ahead if it has received a change that was accepted after the store was read.
    return lag.ahead > 0 ? "ahead" : "in force";
}

Json statusRow(const std::string &process, const char *state, const std::vector<std::int64_t> &versions)
{
    return {
        {"process", process}, {"state", state}, {"changes", versions.empty() ? Json() : Json(countChanges(versions))}};
}

Report waitReport(std::ptrdiff_t inForce, std::size_t processes, std::chrono::nanoseconds elapsed)
{
    const bool all = inForce == static_cast<std::ptrdiff_t>(processes);
    const Json json{
        {"inForce", inForce}, {"processes", processes}, {"waitedMs", duration_cast<milliseconds>(elapsed).count()}};
    return {all ? exitOk : exitUnresolved, json, {}};
}

} // namespace

awaitable<Report> waitForVersions(Session &session, std::map<int, std::int64_t> wanted)
{
    const auto &processes = session.options().processes;
    const auto start = std::chrono::steady_clock::now();
    std::vector<bool> done(processes.size(), false);
    std::string lastError;
    while (true) {
        for (std::size_t i = 0; i < processes.size(); ++i) {
            if (done[i]) {
                continue;
            }
            const auto versions = co_await session.fetchVersions(processes[i]);
            done[i] = versions && hasAll(*versions, wanted);
            lastError = done[i] ? lastError : (versions ? processes[i].str() + " is behind" : versions.error());
        }
        const auto inForce = std::count(done.begin(), done.end(), true);
        const auto elapsed = std::chrono::steady_clock::now() - start;
        const bool all = inForce == static_cast<std::ptrdiff_t>(processes.size());
        if (all || elapsed >= session.options().timeout) {
            auto report = waitReport(inForce, processes.size(), elapsed);
            report.problem = all ? std::string() : lastError;
            co_return report;
        }
        co_await sleepFor(waitPollInterval);
    }
}

awaitable<Report> pendingChanges(Session &session, const StoredSegments &segments)
{
    auto report = rowsReport();
    for (const auto &process : session.options().processes) {
        const auto versions = co_await session.fetchVersions(process);
        if (!versions) {
            report.code = exitFailed;
            report.problem += (report.problem.empty() ? "" : "; ") + versions.error();
            continue;
        }
        for (auto &row : pendingRecords(segments, *versions, process)) {
            report.json.push_back(std::move(row));
        }
    }
    co_return report;
}

awaitable<Report> statusCommand(Session &session)
{
    const auto segments = co_await session.readSegments();
    auto report = rowsReport();
    report.problem = segments ? std::string() : segments.error();
    std::vector<std::int64_t> accepted;
    if (segments) {
        accepted = storedVersions(*segments);
        report.json.push_back(statusRow("store", "accepted", accepted));
    }
    for (const auto &process : session.options().processes) {
        const auto versions = co_await session.fetchVersions(process);
        if (!versions) {
            report.json.push_back(statusRow(process.str(), "unreachable", {}));
            report.code = exitFailed;
            continue;
        }
        const char *state = segments ? stateName(computeLag(*versions, accepted)) : "store unknown";
        report.json.push_back(statusRow(process.str(), state, *versions));
    }
    report.code = segments ? report.code : exitFailed;
    co_return report;
}

awaitable<Report> waitCommand(Session &session)
{
    if (session.options().processes.empty()) {
        co_return problemReport(exitBadSettings,
                                "wait needs at least one process, for example --process 127.0.0.1:8080");
    }
    const auto segments = co_await session.readSegments();
    if (!segments) {
        co_return problemReport(exitFailed, segments.error());
    }
    std::map<int, std::int64_t> wanted;
    for (int i = 0; i < configSegmentCount; ++i) {
        wanted[i] = (*segments)[static_cast<std::size_t>(i)].version;
    }
    co_return co_await waitForVersions(session, std::move(wanted));
}

} // namespace Trefoilhoist::Ctl

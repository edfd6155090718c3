#include "trefoilhoist/jobs/configcheck.h"

#include "trefoilhoist/net/httpserver.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>
#include <set>
#include <utility>

namespace Trefoilhoist::Jobs {

namespace {

using Severity = FindingSeverity;

const std::string wholeDocument = "/";

std::string quoted(const std::string &text)
{
    return '"' + text + '"';
}

/// A value as the document has it.
struct ValueText {
    std::string operator()(bool value) const
    {
        return value ? "true" : "false";
    }
    std::string operator()(const std::string &value) const
    {
        return quoted(value);
    }
    template <typename Number>
    std::string operator()(Number value) const
    {
        constexpr std::size_t maxDigits = 32;
        std::array<char, maxDigits> buf{};
        return {buf.data(), std::to_chars(buf.data(), buf.data() + buf.size(), value).ptr};
    }
};

std::string textOf(const ConfigValue &value)
{
    return std::visit(ValueText(), value);
}

bool isUsableNumber(const ConfigValue &value)
{
    if (const auto *real = std::get_if<double>(&value)) {
        return std::isfinite(*real) && *real >= 0;
    }
    const auto *whole = std::get_if<std::int64_t>(&value);
    return whole == nullptr || *whole >= 0;
}

const std::string &nameOf(const ConfiguredRoute &route)
{
    return route.queue.policy.name;
}

const std::string &nameOf(const ConfiguredService &service)
{
    return service.name;
}

template <typename Entry>
std::map<std::string, const Entry *> byName(const std::vector<Entry> &entries)
{
    std::map<std::string, const Entry *> result;
    for (const auto &it : entries) {
        result.emplace(nameOf(it), &it);
    }
    return result;
}

class ConfigurationCheck
{
public:
    explicit ConfigurationCheck(const ConfigDocument &document) : m_document(document) { }

    void checkDocument();
    void compareWith(const ConfigDocument &inForce);

    std::vector<ConfigFinding> takeFindings()
    {
        std::stable_sort(
            m_findings.begin(), m_findings.end(), [](const auto &a, const auto &b) { return a.severity < b.severity; });
        return std::move(m_findings);
    }

private:
    void add(Severity severity, const std::string &path, std::string text)
    {
        m_findings.push_back({severity, path, std::move(text)});
    }
    void checkNumbers(const ConfigEntry &entry);
    template <typename Entry>
    void checkNames(const std::vector<Entry> &entries, const std::string &kind);
    void checkRoute(const ConfiguredRoute &route);
    void checkHost(const ConfiguredRoute &route);
    void checkPrefix(const ConfiguredRoute &route);
    void checkServices();
    void checkLimits();
    void checkReachable(const std::optional<std::int64_t> &limit, std::int64_t most, const std::string &what);
    template <typename Entry>
    void compareEntries(const std::vector<Entry> &before, const std::vector<Entry> &after, const std::string &kind);
    void compareFields(const ConfigEntry &before, const ConfigEntry &after, const std::string &what);

    const ConfigDocument &m_document;
    std::vector<ConfigFinding> m_findings;
    /// Name of the route that is used for a host and prefix.
    std::map<std::pair<std::string, std::string>, std::string> m_usedRoutes;
};

void ConfigurationCheck::checkDocument()
{
    for (const auto &it : m_document.unreadable) {
        add(Severity::Error, it.path, it.reason);
    }
    if (m_document.version <= 0) {
        add(Severity::Error, wholeDocument, "the version is missing or not above 0");
    }
    if (m_document.routes.empty() && m_document.unreadable.empty()) {
        add(Severity::Warning, wholeDocument, "there is no route, so every request is answered as not found");
    }
    for (const auto &it : m_document.routes) {
        checkRoute(it);
    }
    checkNames(m_document.routes, "route");
    for (const auto &it : m_document.services) {
        checkNumbers(it.entry);
    }
    checkNames(m_document.services, "service");
    if (m_document.unreadable.empty()) {
        checkServices();
    }
    checkLimits();
}

void ConfigurationCheck::checkNumbers(const ConfigEntry &entry)
{
    for (const auto &it : entry.fields) {
        if (!isUsableNumber(it.value)) {
            add(Severity::Error, entry.path, it.name + " is negative or not finite: " + textOf(it.value));
        }
    }
}

template <typename Entry>
void ConfigurationCheck::checkNames(const std::vector<Entry> &entries, const std::string &kind)
{
    const auto first = byName(entries);
    for (const auto &it : entries) {
        const auto *other = first.at(nameOf(it));
        if (other != &it) {
            add(Severity::Error,
                it.entry.path,
                kind + ' ' + quoted(nameOf(it)) + " has the name of the one at " + other->entry.path);
        }
    }
}

void ConfigurationCheck::checkRoute(const ConfiguredRoute &route)
{
    const auto &path = route.entry.path;
    const auto &policy = route.queue.policy;
    checkNumbers(route.entry);
    if (policy.serviceName.empty()) {
        add(Severity::Error, path, "the route has no service");
    }
    if (policy.maxAttempts < 1) {
        add(Severity::Error, path, "maxAttempts is missing or below 1");
    }
    // A negative or non-finite stretch was reported with the other numbers.
    if (policy.stretch >= 0 && policy.stretch < 1) {
        add(Severity::Error, path, "stretch is missing or below 1: " + textOf(policy.stretch));
    }
    checkHost(route);
    checkPrefix(route);
    if (policy.needsPermit) {
        add(Severity::Warning, path, "jobs are refused: queues with advice are not supported yet");
    }
}

// Callers::request() removes the port from a request's host; QueueTable::match() compares hosts byte by byte.
void ConfigurationCheck::checkHost(const ConfiguredRoute &route)
{
    const auto &host = route.queue.host;
    if (host.empty()) {
        add(Severity::Warning, route.entry.path, "never matches: the route has no host");
    } else if (host.find(':') != std::string::npos) {
        add(Severity::Warning,
            route.entry.path,
            "never matches: host " + quoted(host) + " contains a colon, and requests are compared without their port");
    }
    if (std::any_of(host.begin(), host.end(), [](char it) { return it >= 'A' && it <= 'Z'; })) {
        add(Severity::Warning,
            route.entry.path,
            "host " + quoted(host) + " matches only requests with the same upper-case letters");
    }
}

void ConfigurationCheck::checkPrefix(const ConfiguredRoute &route)
{
    const auto &prefix = route.queue.prefix;
    const auto &path = route.entry.path;
    if (!prefix.starts_with('/')) {
        add(Severity::Warning, path, "never matches: prefix " + quoted(prefix) + " does not begin with \"/\"");
    } else if (prefix.find('?') != std::string::npos) {
        add(Severity::Warning, path, "never matches: prefix " + quoted(prefix) + " contains a query");
    } else if (!prefix.ends_with('/')) {
        add(Severity::Note,
            path,
            "prefix " + quoted(prefix) + " does not end with \"/\", so a job's id has to follow it without one");
    }
    const auto [it, isFirst] = m_usedRoutes.try_emplace({route.queue.host, prefix}, route.queue.policy.name);
    if (!isFirst) {
        add(Severity::Warning, path, "never matches: route " + quoted(it->second) + " has the same host and prefix");
    }
}

void ConfigurationCheck::checkServices()
{
    const auto defined = byName(m_document.services);
    std::set<std::string> named;
    for (const auto &it : m_document.routes) {
        const auto &name = it.queue.policy.serviceName;
        if (named.insert(name).second && !name.empty() && defined.count(name) == 0) {
            add(Severity::Error, it.entry.path, "service " + quoted(name) + " is not defined");
        }
    }
    for (const auto &it : m_document.services) {
        if (named.count(it.name) == 0) {
            add(Severity::Note, it.entry.path, "no route names service " + quoted(it.name));
        }
    }
}

// Header and body limits apply to different parts of a request, so either may be the larger one.
void ConfigurationCheck::checkLimits()
{
    const auto &limits = m_document.limits;
    const auto &path = limits.entry.path;
    checkNumbers(limits.entry);
    if (limits.maxHeaderBytes == 0) {
        add(Severity::Error, path, "the largest header is 0 bytes");
    }
    if (limits.maxBodyBytes == 0) {
        add(Severity::Error, path, "the largest body is 0 bytes");
    }
    if (limits.idleMs > 0 && limits.requestHeaderMs > limits.idleMs) {
        add(Severity::Warning, path, "the timeout for a header is longer than the one for an idle connection");
    }
    const HttpLimits product;
    checkReachable(limits.maxHeaderBytes, static_cast<std::int64_t>(product.maxHeaderBytes), "header, in bytes,");
    checkReachable(limits.maxBodyBytes, static_cast<std::int64_t>(product.maxBodyBytes), "body, in bytes,");
    checkReachable(limits.requestHeaderMs,
                   duration_cast<milliseconds>(product.requestTimeout).count(),
                   "time for a whole request, in milliseconds,");
    checkReachable(limits.idleMs,
                   duration_cast<milliseconds>(product.idleTimeout).count(),
                   "time of an idle connection, in milliseconds,");
}

void ConfigurationCheck::checkReachable(const std::optional<std::int64_t> &limit,
                                        std::int64_t most,
                                        const std::string &what)
{
    if (limit > most) {
        add(Severity::Note,
            m_document.limits.entry.path,
            "the largest " + what + " is " + std::to_string(*limit) + ", but the dispatcher's own limit is "
                + std::to_string(most));
    }
}

void ConfigurationCheck::compareWith(const ConfigDocument &inForce)
{
    if (m_document.version <= inForce.version) {
        add(Severity::Error,
            wholeDocument,
            "version " + std::to_string(m_document.version) + " is not above the one in force, "
                + std::to_string(inForce.version) + ", so it is ignored");
    }
    if (!m_document.unreadable.empty()) {
        return;
    }
    const auto before = m_findings.size();
    compareEntries(inForce.routes, m_document.routes, "route");
    compareEntries(inForce.services, m_document.services, "service");
    compareFields(inForce.limits.entry, m_document.limits.entry, "limits");
    if (m_findings.size() == before) {
        add(Severity::Note, wholeDocument, "nothing differs from the version in force apart from the version");
    }
}

template <typename Entry>
void ConfigurationCheck::compareEntries(const std::vector<Entry> &before,
                                        const std::vector<Entry> &after,
                                        const std::string &kind)
{
    const auto old = byName(before);
    const auto current = byName(after);
    for (const auto &[name, it] : current) {
        const auto what = kind + ' ' + quoted(name);
        if (const auto found = old.find(name); found != old.end()) {
            compareFields(found->second->entry, it->entry, what);
        } else {
            add(Severity::Note, it->entry.path, what + " is added");
        }
    }
    for (const auto &[name, it] : old) {
        if (current.count(name) == 0) {
            add(Severity::Note, it->entry.path, kind + ' ' + quoted(name) + " of the version in force is removed");
        }
    }
}

void ConfigurationCheck::compareFields(const ConfigEntry &before, const ConfigEntry &after, const std::string &what)
{
    for (std::size_t i = 0; i < std::min(before.fields.size(), after.fields.size()); ++i) {
        const auto &old = before.fields[i];
        const auto &current = after.fields[i];
        if (old.value != current.value) {
            add(Severity::Note,
                after.path,
                what + ": " + current.name + " changes from " + textOf(old.value) + " to " + textOf(current.value));
        }
    }
}

} // namespace

std::vector<ConfigFinding> checkConfiguration(const ConfigDocument &document, const ConfigDocument *inForce)
{
    ConfigurationCheck check(document);
    check.checkDocument();
    if (inForce != nullptr) {
        check.compareWith(*inForce);
    }
    return check.takeFindings();
}

} // namespace Trefoilhoist::Jobs

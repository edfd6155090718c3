#include "ctlchanges.h"

#include "ctlinforce.h"

#include "trefoilhoist/config/configwriter.h"
#include "trefoilhoist/config/labelkeys.h"
#include "trefoilhoist/config/selector.h"
#include "trefoilhoist/net/program.h"

namespace Trefoilhoist::Ctl {

namespace {

using Json = nlohmann::ordered_json;

std::string problemText(const std::string &text, const LabelProblem &problem)
{
    return "\"" + text + "\", column " + std::to_string(problem.column) + ": " + problem.reason;
}

struct OutcomeReport {
    const ConfigChangeRequest &request;

    [[nodiscard]] Json base(const char *outcome) const
    {
        return {{"outcome", outcome},
                {"object", objectText(request.edit.kind, request.edit.name)},
                {"writeId", request.writeId}};
    }
    Report operator()(const ChangeAccepted &accepted) const
    {
        auto json = base("accepted");
        json["version"] = accepted.version;
        json["repeated"] = accepted.repeated;
        return {exitOk, json, {}};
    }
    Report operator()(const ChangeRefused &refused) const
    {
        auto json = base("refused");
        json["reason"] = refused.reason;
        if (refused.other) {
            json["other"] = recordJson(*refused.other);
        }
        return {exitRefused, json, refused.reason};
    }
    Report operator()(const ChangeUnsettled &unsettled) const
    {
        auto json = base("unsettled");
        json["reason"] = unsettled.reason;
        json["seen"] = unsettled.seenVersion;
        return {exitUnresolved,
                json,
                "the change may have taken effect; repeat it with --write-id " + request.writeId + " --seen "
                    + std::to_string(unsettled.seenVersion)};
    }
};

awaitable<Report> submitChange(Session &session, ConfigEdit edit)
{
    const auto &options = session.options();
    ConfigChangeRequest request;
    request.edit = std::move(edit);
    request.writeId = options.writeId.empty() ? freshWriteId() : options.writeId;
    request.author = options.author;
    request.atMs = wallMilliseconds();
    request.seenVersion = options.seenVersion;
    const auto outcome = co_await writeConfigChange(session.store(), request, options.timeout);
    auto report = std::visit(OutcomeReport{request}, outcome);
    const auto *accepted = std::get_if<ChangeAccepted>(&outcome);
    if (accepted != nullptr && options.wait) {
        std::map<int, std::int64_t> wanted;
        wanted[configSegmentOf(request.edit.kind, request.edit.name)] = accepted->version;
        const auto waited = co_await waitForVersions(session, std::move(wanted));
        report.code = waited.code;
        report.problem = waited.problem;
        report.json["inForce"] = waited.json;
    }
    co_return report;
}

tl::expected<ObjectName, std::string>
parseNamedObject(const Options &options, std::size_t minArguments, const char *usage)
{
    if (options.arguments.size() < minArguments) {
        return tl::unexpected(std::string("usage: ") + usage);
    }
    auto object = parseObjectName(options.arguments.front());
    if (!object) {
        return object;
    }
    if (const auto problem = checkName(object->name)) {
        return tl::unexpected(problemText(object->name, *problem));
    }
    return object;
}

// Says that none of the workers known to the processes matches; empty if one does or if no worker's labels are known.
awaitable<std::string> unmatchedReason(Session &session, const Selector &selector)
{
    std::size_t known = 0;
    for (const auto &process : session.options().processes) {
        const auto json = co_await session.fetchJson(process, "/-/workers");
        if (!json || !json->is_object() || !json->contains("workers")) {
            continue;
        }
        for (const auto &worker : json->at("workers")) {
            const auto labels = worker.value("labels", Labels());
            known += labels.empty() ? 0 : 1;
            if (!labels.empty() && selector.matches(labels)) {
                co_return std::string();
            }
        }
    }
    co_return known == 0 ? std::string() : "none of the " + std::to_string(known) + " known workers matches";
}

} // namespace

awaitable<Report> labelCommand(Session &session)
{
    const auto &options = session.options();
    const auto object = parseNamedObject(options, 2, "label KIND/NAME KEY=VALUE... KEY-...");
    if (!object) {
        co_return problemReport(exitBadSettings, object.error());
    }
    auto edits = parseLabelEdits({options.arguments.begin() + 1, options.arguments.end()});
    if (!edits) {
        co_return problemReport(exitBadSettings, edits.error());
    }
    for (const auto &[key, value] : *edits) {
        const auto problem = value ? checkLabel(object->kind, key, *value) : checkName(key);
        if (problem) {
            co_return problemReport(exitBadSettings, problemText(value ? key + "=" + *value : key, *problem));
        }
    }
    // A named variable, because this compiler destroys a braced temporary in a co_await argument twice.
    ConfigEdit edit{object->kind, object->name, std::move(*edits), {}};
    co_return co_await submitChange(session, std::move(edit));
}

awaitable<Report> selectCommand(Session &session)
{
    const auto &options = session.options();
    const auto object = parseNamedObject(options, 2, "select KIND/NAME where|beside|yields TEXT, or where-");
    if (!object) {
        co_return problemReport(exitBadSettings, object.error());
    }
    auto key = options.arguments[1];
    LabelEdits edits;
    if (options.arguments.size() == 2 && key.size() > 1 && key.back() == '-') {
        key.pop_back();
        edits[key] = std::nullopt;
    } else if (options.arguments.size() == 3) {
        edits[key] = options.arguments[2];
    } else {
        co_return problemReport(exitBadSettings, "usage: select KIND/NAME where|beside|yields TEXT, or where-");
    }
    const std::string text = edits[key].value_or("");
    if (const auto problem = checkSelector(object->kind, key, text)) {
        co_return problemReport(exitBadSettings, problemText(text.empty() ? key : text, *problem));
    }
    if (key == "where" && !options.force) {
        const auto reason = co_await unmatchedReason(session, *Selector::parse(text));
        if (!reason.empty()) {
            co_return problemReport(exitBadSettings, problemText(text, {1, reason + "; --force writes it anyway"}));
        }
    }
    ConfigEdit edit{object->kind, object->name, {}, std::move(edits)};
    co_return co_await submitChange(session, std::move(edit));
}

} // namespace Trefoilhoist::Ctl

#include "ctlcommands.h"

#include "trefoilhoist/config/configwriter.h"
#include "trefoilhoist/net/program.h"
#include "trefoilhoist/store/consulstoreclient.h"
#include "trefoilhoist/store/keys.h"

#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <iostream>

namespace Trefoilhoist::Ctl {

namespace {

int usageError(const std::string &reason)
{
    std::cerr << "trefoilhoist-ctl: " << reason << '\n';
    return exitBadSettings;
}

nlohmann::json objectJson(const ConfigObject &object)
{
    return {{"kind", objectKindName(object.kind)},
            {"name", object.name},
            {"labels", object.labels},
            {"selectors", object.selectors}};
}

struct OutcomePrinter {
    const Options &options;
    std::string writeId;

    int operator()(const ChangeAccepted &accepted) const
    {
        print({{"outcome", "accepted"}, {"version", accepted.version}, {"repeated", accepted.repeated}});
        return exitOk;
    }
    int operator()(const ChangeRefused &refused) const
    {
        nlohmann::json json{{"outcome", "refused"}, {"reason", refused.reason}};
        if (refused.other) {
            json["other"] = {{"author", refused.other->author}, {"version", refused.other->version}};
            for (const auto &[key, value] : refused.other->edit.labels) {
                json["other"]["labels"][key] = value ? nlohmann::json(*value) : nlohmann::json();
            }
            for (const auto &[key, value] : refused.other->edit.selectors) {
                json["other"]["selectors"][key] = value ? nlohmann::json(*value) : nlohmann::json();
            }
        }
        print(json);
        return exitRefused;
    }
    int operator()(const ChangeUnsettled &unsettled) const
    {
        print({{"outcome", "unsettled"}, {"reason", unsettled.reason}, {"seen", unsettled.seenVersion}});
        return exitUnsettled;
    }
    void print(nlohmann::json json) const
    {
        json["writeId"] = writeId;
        if (options.json) {
            std::cout << json.dump() << '\n';
            return;
        }
        std::cout << json.at("outcome").get<std::string>();
        for (const auto &[key, value] : json.items()) {
            if (key != "outcome") {
                std::cout << ' ' << key << '=' << value.dump();
            }
        }
        std::cout << '\n';
    }
};

awaitable<int> label(const Options &options, StoreClient &store)
{
    if (options.arguments.size() < 2) {
        co_return usageError(
            "label needs an object and labels, for example label service/counter latency-target-ms=200");
    }
    const auto object = parseObjectName(options.arguments.front());
    if (!object || object->name.empty()) {
        co_return usageError(object ? "the object has no name" : object.error());
    }
    auto edits = parseLabelEdits({options.arguments.begin() + 1, options.arguments.end()});
    if (!edits) {
        co_return usageError(edits.error());
    }
    ConfigChangeRequest request;
    request.edit = {object->kind, object->name, std::move(*edits), {}};
    request.writeId = options.writeId.empty() ? freshWriteId() : options.writeId;
    request.author = options.author;
    request.atMs = wallMilliseconds();
    request.seenVersion = options.seenVersion;
    const auto outcome = co_await writeConfigChange(store, request, options.limit);
    co_return std::visit(OutcomePrinter{options, request.writeId}, outcome);
}

awaitable<int> get(const Options &options, StoreClient &store)
{
    const auto wanted = options.arguments.empty() ? tl::expected<ObjectName, std::string>(ObjectName{})
                                                  : parseObjectName(options.arguments.front());
    if (!wanted) {
        co_return usageError(wanted.error());
    }
    const auto listing = co_await store.list(StoreKeys::configSegments);
    if (!listing) {
        std::cerr << "trefoilhoist-ctl: " << listing.error().reason << '\n';
        co_return exitFailed;
    }
    auto found = nlohmann::json::array();
    for (const auto &entry : listing->entries) {
        const auto segment = ConfigSegment::parse(entry.value);
        if (!segment) {
            std::cerr << "trefoilhoist-ctl: " << entry.key << ": " << segment.error() << '\n';
            co_return exitFailed;
        }
        for (const auto &object : segment->objects) {
            const bool kindFits = options.arguments.empty() || object.kind == wanted->kind;
            if (kindFits && (wanted->name.empty() || object.name == wanted->name)) {
                found.push_back(objectJson(object));
            }
        }
    }
    if (options.json) {
        std::cout << found.dump(2) << '\n';
        co_return exitOk;
    }
    for (const auto &object : found) {
        std::cout << object.at("kind").get<std::string>() << '/' << object.at("name").get<std::string>();
        for (const auto &[key, value] : object.at("labels").items()) {
            std::cout << ' ' << key << '=' << value.get<std::string>();
        }
        for (const auto &[key, value] : object.at("selectors").items()) {
            std::cout << ' ' << key << ": " << value.dump();
        }
        std::cout << '\n';
    }
    co_return exitOk;
}

} // namespace

awaitable<int> runCommand(Options options)
{
    ConsulStoreOptions storeOptions;
    storeOptions.addresses = options.stores;
    storeOptions.caller = "ctl/" + options.author;
    ConsulStoreClient store(co_await Asio::this_coro::executor, storeOptions);
    if (options.command == "label") {
        co_return co_await label(options, store);
    }
    if (options.command == "get") {
        co_return co_await get(options, store);
    }
    co_return usageError("unknown command \"" + options.command + "\"");
}

} // namespace Trefoilhoist::Ctl

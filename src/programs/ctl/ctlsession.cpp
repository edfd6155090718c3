#include "ctlsession.h"

#include "trefoilhoist/config/configwriter.h"
#include "trefoilhoist/store/keys.h"

namespace Trefoilhoist::Ctl {

namespace {

constexpr int statusOk = 200;

ConsulStoreOptions storeOptions(const Options &options)
{
    ConsulStoreOptions out;
    out.addresses = options.stores;
    out.caller = "ctl/" + options.author;
    return out;
}

} // namespace

Session::Session(const Asio::any_io_executor &executor, const Options &options)
    : m_options(options), m_http(executor), m_store(executor, storeOptions(options))
{
}

const Options &Session::options() const
{
    return m_options;
}

StoreClient &Session::store()
{
    return m_store;
}

awaitable<tl::expected<StoredSegments, std::string>> Session::readSegments()
{
    const auto listing = co_await m_store.list(StoreKeys::configSegments);
    if (!listing) {
        co_return tl::unexpected("the store can't be read: " + listing.error().reason);
    }
    StoredSegments segments;
    for (const auto &entry : listing->entries) {
        auto segment = ConfigSegment::parse(entry.value);
        if (!segment) {
            co_return tl::unexpected(entry.key + " is unreadable: " + segment.error());
        }
        for (int i = 0; i < configSegmentCount; ++i) {
            if (entry.key == configSegmentKey(i)) {
                segments[static_cast<std::size_t>(i)] = std::move(*segment);
                break;
            }
        }
    }
    co_return segments;
}

awaitable<tl::expected<nlohmann::json, std::string>> Session::fetchJson(Endpoint process, std::string path)
{
    HttpCallOptions callOptions;
    callOptions.timeout = seconds(2);
    HttpRequest request;
    request.target = std::move(path);
    const auto response = co_await m_http.call(process, std::move(request), callOptions);
    if (!response) {
        co_return tl::unexpected(response.error().reason);
    }
    if (response->status != statusOk) {
        co_return tl::unexpected(process.str() + " answered with status " + std::to_string(response->status));
    }
    auto json = nlohmann::json::parse(response->body, nullptr, false);
    if (json.is_discarded()) {
        co_return tl::unexpected(process.str() + " did not answer with JSON");
    }
    co_return json;
}

awaitable<tl::expected<std::vector<std::int64_t>, std::string>> Session::fetchVersions(Endpoint process)
{
    const auto json = co_await fetchJson(process, "/-/config");
    if (!json) {
        co_return tl::unexpected(json.error());
    }
    const bool readable = json->is_object() && json->contains("versions") && json->at("versions").is_array()
        && json->at("versions").size() == configSegmentCount;
    if (!readable) {
        co_return tl::unexpected(process.str() + " did not report the versions of all segments");
    }
    std::vector<std::int64_t> versions;
    for (const auto &version : json->at("versions")) {
        versions.push_back(version.is_number_integer() ? version.get<std::int64_t>() : 0);
    }
    co_return versions;
}

std::vector<std::int64_t> storedVersions(const StoredSegments &segments)
{
    std::vector<std::int64_t> versions;
    versions.reserve(segments.size());
    for (const auto &segment : segments) {
        versions.push_back(segment.version);
    }
    return versions;
}

} // namespace Trefoilhoist::Ctl

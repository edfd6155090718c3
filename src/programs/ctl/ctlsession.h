#pragma once

#include "ctloptions.h"
#include "ctlreport.h"

#include "trefoilhoist/config/configsegment.h"
#include "trefoilhoist/net/httpclient.h"
#include "trefoilhoist/store/consulstoreclient.h"

#include <array>
#include <map>

namespace Trefoilhoist::Ctl {

/// The configuration as the store holds it; a segment never written has version 0.
using StoredSegments = std::array<ConfigSegment, configSegmentCount>;

/// The connections of one command.
class Session
{
public:
    Session(const Asio::any_io_executor &executor, const Options &options);

    [[nodiscard]] const Options &options() const;
    [[nodiscard]] StoreClient &store();

    /// All segments, or why they can't be read.
    awaitable<tl::expected<StoredSegments, std::string>> readSegments();
    /// The JSON answer of a process, or why there is none.
    awaitable<tl::expected<nlohmann::json, std::string>> fetchJson(Endpoint process, std::string path);
    /// The versions in force in a process, or why they are not known.
    awaitable<tl::expected<std::vector<std::int64_t>, std::string>> fetchVersions(Endpoint process);

private:
    Options m_options;
    HttpClient m_http;
    ConsulStoreClient m_store;
};

/// The versions of all segments.
[[nodiscard]] std::vector<std::int64_t> storedVersions(const StoredSegments &segments);

} // namespace Trefoilhoist::Ctl

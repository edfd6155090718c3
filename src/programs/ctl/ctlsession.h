#pragma once

#include "ctloptions.h"
#include "ctlreport.h"

#include "trefoilhoist/config/configsegment.h"
#include "trefoilhoist/net/httpclient.h"
#include "trefoilhoist/store/consulstoreclient.h"

#include <array>
#include <map>

namespace Trefoilhoist::Ctl {

/// The configuration in the store, by segment index; a segment that was never written has version 0.
using StoredSegments = std::array<ConfigSegment, configSegmentCount>;

/// The options of one command and its connections to the store and the processes.
class Session
{
public:
    Session(const Asio::any_io_executor &executor, const Options &options);

    [[nodiscard]] const Options &options() const;
    [[nodiscard]] StoreClient &store();

    /// Reads all segments from the store; the error says why they can't be read.
    awaitable<tl::expected<StoredSegments, std::string>> readSegments();
    /// Gets a JSON document from a process over HTTP; the error says why there is none.
    awaitable<tl::expected<nlohmann::json, std::string>> fetchJson(Endpoint process, std::string path);
    /// Gets the versions in force in a process, by segment index; the error says why they are not known.
    awaitable<tl::expected<std::vector<std::int64_t>, std::string>> fetchVersions(Endpoint process);

private:
    Options m_options;
    HttpClient m_http;
    ConsulStoreClient m_store;
};

/// The versions of all segments in the store, by segment index.
[[nodiscard]] std::vector<std::int64_t> storedVersions(const StoredSegments &segments);

} // namespace Trefoilhoist::Ctl

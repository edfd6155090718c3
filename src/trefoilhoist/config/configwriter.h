#pragma once

#include "trefoilhoist/config/configchange.h"
#include "trefoilhoist/net/asio.h"
#include "trefoilhoist/store/storeclient.h"

#include <string>

namespace Trefoilhoist {

/// The store key of a segment.
[[nodiscard]] std::string configSegmentKey(int segment);

/// A write id that no other writer draws.
[[nodiscard]] std::string freshWriteId();

/// Runs a change against the store until its outcome is known or `limit` is over.
awaitable<ChangeOutcome> writeConfigChange(StoreClient &store, ConfigChangeRequest request, Duration limit);

} // namespace Trefoilhoist

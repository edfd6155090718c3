#pragma once

#include "ctlsession.h"

#include <map>

namespace Trefoilhoist::Ctl {

/// Waits until the processes have at least these versions (by segment) in force.
awaitable<Report> waitForVersions(Session &session, std::map<int, std::int64_t> wanted);

/// Per process, what is accepted and not yet in force there.
awaitable<Report> pendingChanges(Session &session, const StoredSegments &segments);

/// status: the versions in force per process.
awaitable<Report> statusCommand(Session &session);
/// wait: until everything accepted so far is in force at all processes.
awaitable<Report> waitCommand(Session &session);

} // namespace Trefoilhoist::Ctl

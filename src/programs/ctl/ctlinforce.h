#pragma once

#include "ctlsession.h"

#include <map>

namespace Trefoilhoist::Ctl {

/// Waits until every process of the options has at least these versions in force, given by segment index, or until the
/// timeout of the options has passed.
awaitable<Report> waitForVersions(Session &session, std::map<int, std::int64_t> wanted);

/// Lists, for each process, the changes that the store has accepted and the process does not have in force yet.
awaitable<Report> pendingChanges(Session &session, const StoredSegments &segments);

/// status: shows for each process whether it is up to date with the store, and how many changes it has in force.
awaitable<Report> statusCommand(Session &session);
/// wait: waits until all changes accepted so far are in force in all processes.
awaitable<Report> waitCommand(Session &session);

} // namespace Trefoilhoist::Ctl

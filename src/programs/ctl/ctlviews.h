#pragma once

#include "ctlsession.h"

namespace Trefoilhoist::Ctl {

/// get [KIND[/NAME]]: lists the objects with their labels and selectors.
awaitable<Report> getCommand(Session &session);
/// history [KIND/NAME]: lists the accepted changes by time.
awaitable<Report> historyCommand(Session &session);
/// diff KIND/NAME VERSION: shows what has changed in the object since that version.
/// diff: shows the accepted changes that are not in force yet, for each process.
awaitable<Report> diffCommand(Session &session);
/// jobs [ID]: lists the tasks, or shows one job.
awaitable<Report> jobsCommand(Session &session);
/// owners CELL...: shows who holds the lease of each cell, and its epoch.
awaitable<Report> ownersCommand(Session &session);
/// keys: lists the labels and selectors that the programs read.
awaitable<Report> keysCommand(Session &session);

} // namespace Trefoilhoist::Ctl

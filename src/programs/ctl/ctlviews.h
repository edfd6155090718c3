#pragma once

#include "ctlsession.h"

namespace Trefoilhoist::Ctl {

/// get [KIND[/NAME]]
awaitable<Report> getCommand(Session &session);
/// history [KIND/NAME]
awaitable<Report> historyCommand(Session &session);
/// diff KIND/NAME VERSION: what has changed since; diff: what is accepted and not yet in force.
awaitable<Report> diffCommand(Session &session);
/// jobs [ID]
awaitable<Report> jobsCommand(Session &session);
/// owners CELL...
awaitable<Report> ownersCommand(Session &session);
/// keys: the labels and selectors that the programs read.
awaitable<Report> keysCommand(Session &session);

} // namespace Trefoilhoist::Ctl

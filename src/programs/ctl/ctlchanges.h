#pragma once

#include "ctlsession.h"

namespace Trefoilhoist::Ctl {

/// label OBJECT KEY=VALUE... KEY-...
awaitable<Report> labelCommand(Session &session);
/// select OBJECT SELECTOR TEXT, or SELECTOR- to remove it.
awaitable<Report> selectCommand(Session &session);

} // namespace Trefoilhoist::Ctl

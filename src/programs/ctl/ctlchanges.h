#pragma once

#include "ctlsession.h"

namespace Trefoilhoist::Ctl {

/// label OBJECT KEY=VALUE... KEY-...: sets and removes labels of an object.
awaitable<Report> labelCommand(Session &session);
/// select OBJECT SELECTOR TEXT: sets a selector of an object; select OBJECT SELECTOR- removes it.
awaitable<Report> selectCommand(Session &session);

} // namespace Trefoilhoist::Ctl

#pragma once

/** @file Derives the settings of the gateway engine from the settings of the process. */

#include <gateway/gateway.h>
#include <settings/settings.h>

namespace chivelock {

[[nodiscard]] gateway_settings engineSettings(const gateway_daemon_settings &from);

} // namespace chivelock

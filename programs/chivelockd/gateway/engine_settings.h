#pragma once

/** @file What the decisions are told, from what the process is told. */

#include <gateway/gateway.h>
#include <settings/settings.h>

namespace chivelock {

[[nodiscard]] gateway_settings engineSettings(const gateway_daemon_settings &from);

} // namespace chivelock

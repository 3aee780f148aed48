#pragma once

/** @file The process as a gateway: settings, signals, start and stop. */

#include <settings/settings.h>

#include <string>

namespace chivelock {

/** Runs until a signal asks for the end. @param signals descriptor from which signals are read. @return exit code. */
int serveGateway(const gateway_daemon_settings &settings, const std::string &settingsPath, int signals);

/** @return the settings in the file, or the problems as text. */
[[nodiscard]] tl::expected<gateway_daemon_settings, std::string> loadGatewaySettings(const std::string &path);

} // namespace chivelock

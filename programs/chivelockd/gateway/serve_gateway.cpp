#include "serve_gateway.h"

#include "gateway_service.h"

#include "../process_signals.h"
#include "../settings_file.h"

#include <kernel/kernel.h>

#include <poll.h>
#include <sys/signalfd.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <iostream>

namespace chivelock {

namespace {

constexpr int settingsPollMillis = 1000; // the settings file may change without a SIGHUP

/** Detects changes of the settings file by its modification time. */
class file_watch
{
public:
    explicit file_watch(std::string path)
        : m_path(std::move(path))
        , m_lastModified(modificationTime())
    {
    }

    [[nodiscard]] bool changed()
    {
        const auto now = modificationTime();
        return std::exchange(m_lastModified, now) != now;
    }

private:
    [[nodiscard]] std::pair<std::int64_t, std::int64_t> modificationTime() const
    {
        struct stat fileStatus {
        };
        if (stat(m_path.c_str(), &fileStatus) != 0) {
            return {};
        }
        return {fileStatus.st_mtim.tv_sec, fileStatus.st_mtim.tv_nsec};
    }

    std::string m_path;
    std::pair<std::int64_t, std::int64_t> m_lastModified;
};

void reloadSettings(gateway_service &service, const std::string &path, std::string_view reason)
{
    auto settings = loadGatewaySettings(path);
    if (!settings) {
        logEvent(
            log_level::Error,
            "settings_refused",
            {{"reason", std::string(reason)}, {"cause", settings.error()}, {"outcome", std::string("old_ones_kept")}});
        return;
    }
    logEvent(log_level::Info, "settings_reloaded", {{"reason", std::string(reason)}});
    service.changeSettings(*std::move(settings));
}

int readSignal(int signals)
{
    signalfd_siginfo info {};
    if (read(signals, &info, sizeof info) != static_cast<ssize_t>(sizeof info)) {
        return 0;
    }
    return static_cast<int>(info.ssi_signo);
}

void runUntilStopped(gateway_service &service, const std::string &settingsPath, int signals)
{
    file_watch settingsFile(settingsPath);
    std::array<pollfd, 2> pollFds = {pollfd {signals, POLLIN, 0}, pollfd {service.finishedFd(), POLLIN, 0}};
    while (true) {
        poll(pollFds.data(), pollFds.size(), settingsPollMillis);
        if ((pollFds[1].revents & POLLIN) != 0) {
            return;
        }
        const int signal = (pollFds[0].revents & POLLIN) != 0 ? readSignal(signals) : 0;
        if (signal == SIGTERM || signal == SIGINT) {
            service.beginStop();
        }
        const bool changed = settingsFile.changed();
        if (signal == SIGHUP || changed) {
            reloadSettings(service, settingsPath, signal == SIGHUP ? "signal" : "file_changed");
        }
    }
}

} // namespace

tl::expected<gateway_daemon_settings, std::string> loadGatewaySettings(const std::string &path)
{
    return readFile(path).and_then(
        [](const std::string &text) { return readGatewaySettings(text).map_error(formatProblems); });
}

int serveGateway(const gateway_daemon_settings &settings, const std::string &settingsPath, int signals)
{
    const log_writer writer(settings.logLinesPerSecond);
    if (isStopPending()) {
        logEvent(log_level::Info, "ended", {{"cause", std::string("stopped_before_start")}});
        return 0;
    }
    kernel services;
    services.add(std::make_unique<gateway_service>(settings));
    if (const auto started = services.start(); !started) {
        std::cerr << "could not start " << started.error().service << ": " << started.error().reason << '\n';
        return 1;
    }
    logEvent(log_level::Info,
             "started",
             {{"vm", settings.vmName},
              {"zone", settings.zone.value},
              {"callers", settings.callers.address + ":" + std::to_string(settings.callers.port)},
              {"store", settings.storeAddress}});
    runUntilStopped(services.find<gateway_service>(gateway_service::serviceName), settingsPath, signals);
    services.stop();
    logEvent(log_level::Info, "ended", {});
    return 0;
}

} // namespace chivelock

/**
 * @file
 * chivelockd: a process of the query tier. Reads its settings, starts its services and runs until SIGTERM or SIGINT.
 */

#include "answer_writer.h"
#include "caller_http.h"
#include "decision_service.h"
#include "gateway/serve_gateway.h"
#include "leaf_client.h"
#include "peer_link.h"
#include "platform_watch.h"
#include "process_signals.h"
#include "settings_file.h"

#include <kernel/kernel.h>
#include <platform/platform.h>
#include <settings/settings.h>

#include <openssl/rand.h>
#include <tclap/CmdLine.h>

#include <poll.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

using namespace chivelock;

constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int exitBadSettings = 2;

struct options {
    std::string settingsPath;
    bool checkOnly = false;
    bool gateway = false;
};

options readOptions(int argc, char **argv)
{
    TCLAP::CmdLine line("chivelockd answers lookups over many shards.\n"
                        "Example: chivelockd --settings entry-1.json\n"
                        "With --gateway it passes requests through to leafs and needs no other process;\n"
                        "the settings file is then the one that the platform names, if --settings is not given.\n"
                        "Exit codes: 0 ended as asked, 1 could not start, 2 settings refused",
                        ' ',
                        "0.1.0");
    TCLAP::ValueArg<std::string> settings(
        "s", "settings", "JSON file with this process's settings", false, "", "FILE", line);
    TCLAP::SwitchArg gateway("g", "gateway", "run as the gateway on the platform", line);
    TCLAP::SwitchArg check("c", "check-settings", "check the settings, say what is wrong, and end", line);
    line.setExceptionHandling(false);
    line.parse(argc, argv);
    if (!settings.isSet() && !gateway.getValue()) {
        throw TCLAP::CmdLineParseException("a settings file is required", "--settings");
    }
    return {settings.getValue(), check.getValue(), gateway.getValue()};
}

tl::expected<daemon_settings, std::string> loadSettings(const std::string &path)
{
    return readFile(path).and_then(
        [](const std::string &text) { return readSettings(text).map_error(formatProblems); });
}

/** @return a number that is new for each start and, taken from the wall clock, increases over restarts of the VM. */
std::uint64_t makeIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

/** Sets the ticket key, the random seed and the incarnation. @return false if no random bytes are available. */
bool initializeIdentity(entry_settings &entry)
{
    constexpr std::size_t keyBytes = 32;
    std::array<unsigned char, keyBytes> key {};
    if (RAND_bytes(key.data(), keyBytes) != 1
        || RAND_bytes(reinterpret_cast<unsigned char *>(&entry.seed), sizeof entry.seed) != 1) {
        return false;
    }
    entry.ticketKey.assign(key.begin(), key.end());
    entry.incarnation = makeIncarnation();
    return true;
}

/** Waits for SIGTERM or SIGINT. SIGHUP is ignored, because these settings are read only at the start. */
void waitForStopSignal(int signals)
{
    signalfd_siginfo info {};
    do {
        info = {};
        (void)!read(signals, &info, sizeof info);
    } while (info.ssi_signo != SIGTERM && info.ssi_signo != SIGINT);
}

void waitUntilReadable(int fd)
{
    pollfd readable {fd, POLLIN, 0};
    while (poll(&readable, 1, -1) < 1) { }
}

int serve(const daemon_settings &settings, int signals)
{
    if (isStopPending()) {
        return exitOk;
    }
    kernel services;
    // Services stop in reverse order: caller_http stops last, after every answer has been written.
    services.add(std::make_unique<caller_http>(settings));
    services.add(std::make_unique<answer_writer>(settings));
    services.add(std::make_unique<leaf_client>(settings));
    services.add(std::make_unique<peer_link>(settings));
    services.add(std::make_unique<decision_service>(settings));
    services.add(std::make_unique<platform_watch>(settings));
    if (const auto started = services.start(); !started) {
        std::cerr << "could not start " << started.error().service << ": " << started.error().reason << '\n';
        return exitFailed;
    }
    logEvent(log_level::Info,
             "started",
             {{"vm", std::uint64_t {settings.vm.value}}, {"incarnation", settings.entry.incarnation}});
    auto &decision = services.find<decision_service>(decision_service::serviceName);
    waitForStopSignal(signals);
    while (!decision.offer(stop_requested {})) {
        poll(nullptr, 0, 1);
    }
    waitUntilReadable(decision.finishedFd());
    services.find<caller_http>(caller_http::serviceName).refuseNewAndDrain();
    services.stop();
    logEvent(log_level::Info, "ended", {});
    return exitOk;
}

/** @return the path given by --settings, otherwise the one in the environment variable that the platform sets. */
std::string gatewaySettingsPath(const options &commandLine)
{
    const char *named = std::getenv(platform::settingsVariable);
    return commandLine.settingsPath.empty() && named != nullptr ? named : commandLine.settingsPath;
}

int runGateway(const options &commandLine, int signals)
{
    const std::string path = gatewaySettingsPath(commandLine);
    const auto settings = loadGatewaySettings(path);
    if (!settings) {
        std::cerr << settings.error() << '\n';
        return exitBadSettings;
    }
    if (commandLine.checkOnly) {
        std::cout << "settings are valid\n";
        return exitOk;
    }
    startLogging(settings->log);
    return serveGateway(*settings, path, signals);
}

} // namespace

int main(int argc, char **argv)
{
    const int signals = openSignalFd();
    options commandLine;
    try {
        commandLine = readOptions(argc, argv);
    } catch (const TCLAP::ExitException &exitRequest) {
        return exitRequest.getExitStatus();
    } catch (const TCLAP::ArgException &problem) {
        std::cerr << "chivelockd: " << problem.error() << " " << problem.argId() << "; see --help\n";
        return exitBadSettings;
    }
    if (commandLine.gateway) {
        return runGateway(commandLine, signals);
    }
    auto settings = loadSettings(commandLine.settingsPath);
    if (!settings) {
        std::cerr << settings.error();
        return exitBadSettings;
    }
    if (commandLine.checkOnly) {
        std::cout << "settings are valid\n";
        return exitOk;
    }
    if (!initializeIdentity(settings->entry)) {
        std::cerr << "chivelockd: OpenSSL returned no random bytes for the ticket key and the seed; exiting\n";
        return exitFailed;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    startLogging(settings->log);
    const int code = serve(*settings, signals);
    curl_global_cleanup();
    return code;
}

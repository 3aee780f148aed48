/**
 * @file
 * chivelockd: one process of the query tier. Reads its settings, starts the services, ends on SIGTERM.
 */

#include "answer_writer.h"
#include "caller_http.h"
#include "decision_service.h"
#include "leaf_client.h"
#include "peer_link.h"
#include "platform_watch.h"

#include <kernel/kernel.h>
#include <settings/settings.h>

#include <openssl/rand.h>
#include <tclap/CmdLine.h>

#include <poll.h>
#include <sys/signalfd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace chivelock;

constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int exitBadSettings = 2;

struct options {
    std::string settingsPath;
    bool checkOnly = false;
};

options readOptions(int argc, char **argv)
{
    TCLAP::CmdLine line("chivelockd answers lookups over many shards.\n"
                        "Example: chivelockd --settings entry-1.json\n"
                        "Exit codes: 0 ended as asked, 1 could not start, 2 settings refused",
                        ' ',
                        "0.1.0");
    TCLAP::ValueArg<std::string> settings(
        "s", "settings", "JSON file with this process's settings", true, "", "FILE", line);
    TCLAP::SwitchArg check("c", "check-settings", "check the settings, say what is wrong, and end", line);
    line.setExceptionHandling(false);
    line.parse(argc, argv);
    return {settings.getValue(), check.getValue()};
}

tl::expected<daemon_settings, std::string> loadSettings(const std::string &path)
{
    const std::ifstream file(path);
    if (!file) {
        return tl::unexpected("can't read " + path);
    }
    std::ostringstream text;
    text << file.rdbuf();
    return readSettings(text.str()).map_error([](const document_error &error) {
        std::string lines;
        for (const document_problem &problem : error.problems) {
            lines += problem.path + ": " + problem.message + " (value: " + problem.value + ")\n";
        }
        return lines;
    });
}

/** Fresh for each start; the wall clock makes it rise over restarts of the same VM. */
std::uint64_t newIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

bool fillSecrets(entry_settings &entry)
{
    constexpr std::size_t keyBytes = 32;
    std::array<unsigned char, keyBytes> key {};
    if (RAND_bytes(key.data(), keyBytes) != 1
        || RAND_bytes(reinterpret_cast<unsigned char *>(&entry.seed), sizeof entry.seed) != 1) {
        return false;
    }
    entry.ticketKey.assign(key.begin(), key.end());
    entry.incarnation = newIncarnation();
    return true;
}

/** Blocks the signals before any thread starts, so that all of them reach this descriptor only. */
int openSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signalfd(-1, &signals, SFD_CLOEXEC);
}

void awaitReadable(int fd)
{
    pollfd readable {fd, POLLIN, 0};
    while (poll(&readable, 1, -1) < 1) { }
}

int serve(const daemon_settings &settings, int signals)
{
    kernel services;
    // Stopped in reverse: the door to callers closes last, when every answer has been written.
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
    awaitReadable(signals);
    while (!decision.offer(stop_wanted {})) {
        poll(nullptr, 0, 1);
    }
    awaitReadable(decision.finishedFd());
    services.find<caller_http>(caller_http::serviceName).refuseNew();
    services.stop();
    logEvent(log_level::Info, "ended", {});
    return exitOk;
}

} // namespace

int main(int argc, char **argv)
{
    options chosen;
    try {
        chosen = readOptions(argc, argv);
    } catch (const TCLAP::ExitException &wanted) {
        return wanted.getExitStatus();
    } catch (const TCLAP::ArgException &problem) {
        std::cerr << "chivelockd: " << problem.error() << " " << problem.argId() << "; see --help\n";
        return exitBadSettings;
    }
    auto settings = loadSettings(chosen.settingsPath);
    if (!settings) {
        std::cerr << settings.error();
        return exitBadSettings;
    }
    if (chosen.checkOnly) {
        std::cout << "settings are valid\n";
        return exitOk;
    }
    if (!fillSecrets(settings->entry)) {
        std::cerr << "no random numbers to be had\n";
        return exitFailed;
    }
    const int signals = openSignals();
    curl_global_init(CURL_GLOBAL_DEFAULT);
    startLogging(settings->log);
    const int code = serve(*settings, signals);
    curl_global_cleanup();
    return code;
}

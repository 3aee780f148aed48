#pragma once

/**
 * @file
 * The commands of the command line program. Each returns the exit code; errors go to standard error.
 */

#include <base/base.h>

#include <span>
#include <string>
#include <vector>

namespace chivelock {

/** Documented in --help and docs/CLI.md; scripts rely on them. */
namespace exit_code {
inline constexpr int ok = 0;
inline constexpr int failed = 1; ///< no entry answered, or the lookup was not answered whole or partially
inline constexpr int usage = 2; ///< the command line is wrong
inline constexpr int refused = 3; ///< the document is refused, or something in the fleet is not well
} // namespace exit_code

struct lookup_command {
    std::string entry; ///< http://address:port
    std::string kind;
    std::string query = "null"; ///< JSON
    std::string key;
    std::string requestId;
    std::string ticket;
    millis timeLimit {1000};
    bool fetchTicket = false; ///< asks for a ticket first and uses it
};

struct status_command {
    std::vector<std::string> entries;
    bool asJson = false;
};

struct load_command {
    std::vector<std::string> entries;
    std::vector<std::string> kinds; ///< taken in turn
    double perSecond = 100;
    millis duration {10000};
    millis timeLimit {1000};
    std::uint32_t connections = 64; ///< requests out at once, at most
    bool quiet = false; ///< no progress lines
};

[[nodiscard]] int runLookup(const lookup_command &command);
[[nodiscard]] int runStatus(const status_command &command);
[[nodiscard]] int runAudit(const std::string &entry);
[[nodiscard]] int runCatalogueCheck(const std::string &path);
[[nodiscard]] int runLoad(const load_command &command);

} // namespace chivelock

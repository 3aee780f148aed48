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

/** Exit codes, documented in --help and docs/CLI.md; scripts rely on their values. */
namespace exit_code {
inline constexpr int ok = 0;
inline constexpr int failed = 1; ///< no entry answered, or the lookup got neither a complete nor a partial answer
inline constexpr int usage = 2; ///< the command line is wrong
inline constexpr int refused = 3; ///< the document was refused, or an entry is unreachable, reports a problem
                                  ///< or has another catalogue revision than the first entry
} // namespace exit_code

struct lookup_command {
    std::string entry; ///< http://address:port
    std::string kind;
    std::string query = "null"; ///< JSON
    std::string key;
    std::string requestId;
    std::string ticket;
    millis timeLimit {1000};
    bool fetchTicket = false; ///< requests a ticket first and sends the lookup with it
};

struct status_command {
    std::vector<std::string> entries;
    bool asJson = false;
};

struct load_command {
    std::vector<std::string> entries;
    std::vector<std::string> kinds; ///< used round-robin
    double perSecond = 100;
    millis duration {10000};
    millis timeLimit {1000};
    std::uint32_t connections = 64; ///< maximum number of concurrent requests
    bool quiet = false; ///< suppresses the progress lines
};

[[nodiscard]] int runLookup(const lookup_command &command);
[[nodiscard]] int runStatus(const status_command &command);
[[nodiscard]] int runAudit(const std::string &entry);
[[nodiscard]] int runCatalogueCheck(const std::string &path);
[[nodiscard]] int runLoad(const load_command &command);

} // namespace chivelock

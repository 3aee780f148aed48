/**
 * @file
 * chivelock: the command line program for operators and testers.
 */

#include "commands.h"

#include <curl/curl.h>
#include <tclap/CmdLine.h>

#include <iostream>

namespace {

using namespace chivelock;

constexpr std::string_view usageText = R"(chivelock COMMAND [OPTIONS]

commands
  lookup KIND          one lookup; prints the answer
  status               the fleet: readiness, revisions, what is not well and why
  audit                the audit trail of one entry
  catalogue check FILE whether entries would accept a catalogue, and if not, why
  load                 open-loop load; prints progress, then the distribution

chivelock COMMAND --help tells the options of a command.

examples
  chivelock lookup changeover-recipes --entry http://127.0.1.1:18080 --query '{"line":7}'
  chivelock lookup changeover-log-entry --entry http://127.0.1.1:18080 --key line-7 --fetch-ticket
  chivelock status --entry http://127.0.1.1:18080 --entry http://127.0.1.2:18080
  chivelock catalogue check examples/new-england/catalogue.json
  chivelock load --entry http://127.0.1.1:18080 --kind changeover-recipes --rate 50 --seconds 10

exit codes
  0 done   1 no answer   2 wrong command line   3 document refused, or something is not well
)";

/** Parses the command line. Errors are thrown, so that the program exits with its own documented exit code and not
 *  with that of TCLAP. */
void parse(TCLAP::CmdLine &line, int argc, char **argv)
{
    line.setExceptionHandling(false);
    line.parse(argc, argv);
}

using string_list_arg = TCLAP::MultiArg<std::string>;

int lookupMain(int argc, char **argv)
{
    TCLAP::CmdLine line(
        "One lookup; prints the answer. Exit codes: 0 whole or partial, 1 no answer, 2 wrong command line",
        ' ',
        "0.1.0");
    TCLAP::UnlabeledValueArg<std::string> kind("kind", "kind of lookup, as in the catalogue", true, "", "KIND", line);
    TCLAP::ValueArg<std::string> entry("e", "entry", "entry to ask", true, "", "URL", line);
    TCLAP::ValueArg<std::string> query("q", "query", "query as JSON", false, "null", "JSON", line);
    TCLAP::ValueArg<std::string> key("k", "key", "key, for kinds that go to one shard", false, "", "TEXT", line);
    TCLAP::ValueArg<std::string> requestId(
        "r", "request-id", "name of this request in logs and answer", false, "", "TEXT", line);
    TCLAP::ValueArg<std::string> ticket("t", "ticket", "ticket of an unrepeatable lookup", false, "", "TICKET", line);
    TCLAP::SwitchArg fetch("f", "fetch-ticket", "ask for a ticket first and use it", line);
    TCLAP::ValueArg<double> limit("l", "limit-ms", "time limit in milliseconds", false, 1000, "MS", line);
    parse(line, argc, argv);
    return runLookup({entry.getValue(),
                      kind.getValue(),
                      query.getValue(),
                      key.getValue(),
                      requestId.getValue(),
                      ticket.getValue(),
                      millis(limit.getValue()),
                      fetch.getValue()});
}

int statusMain(int argc, char **argv)
{
    TCLAP::CmdLine line(
        "The fleet's state. Exit codes: 0 all well, 2 wrong command line, 3 something is not well", ' ', "0.1.0");
    string_list_arg entries("e", "entry", "entry to ask; may be given several times", true, "URL", line);
    TCLAP::SwitchArg asJson("j", "json", "JSON instead of a table", line);
    parse(line, argc, argv);
    return runStatus({entries.getValue(), asJson.getValue()});
}

int auditMain(int argc, char **argv)
{
    TCLAP::CmdLine line(
        "The audit trail of one entry, oldest first. Exit codes: 0 done, 1 no answer, 2 wrong command line",
        ' ',
        "0.1.0");
    TCLAP::ValueArg<std::string> entry("e", "entry", "entry to ask", true, "", "URL", line);
    parse(line, argc, argv);
    return runAudit(entry.getValue());
}

int catalogueMain(int argc, char **argv)
{
    TCLAP::CmdLine line(
        "Checks a catalogue as entries do. Exit codes: 0 would be accepted, 2 wrong command line, 3 refused",
        ' ',
        "0.1.0");
    TCLAP::UnlabeledValueArg<std::string> action("action", "check", true, "", "check", line);
    TCLAP::UnlabeledValueArg<std::string> path("file", "catalogue document", true, "", "FILE", line);
    parse(line, argc, argv);
    if (action.getValue() != "check") {
        std::cerr << "chivelock: catalogue knows only: check FILE\n";
        return exit_code::usage;
    }
    return runCatalogueCheck(path.getValue());
}

int loadMain(int argc, char **argv)
{
    TCLAP::CmdLine line("Open-loop load; latency counts from the intended send time. Exit codes: 0 done, 1 nothing "
                        "answered, 2 wrong command line",
                        ' ',
                        "0.1.0");
    string_list_arg entries("e", "entry", "entry to ask; several are taken in turn", true, "URL", line);
    string_list_arg kinds("k", "kind", "kind to ask for; several are taken in turn", true, "KIND", line);
    TCLAP::ValueArg<double> rate("r", "rate", "lookups per second", false, 100, "N", line);
    TCLAP::ValueArg<double> seconds("s", "seconds", "how long", false, 10, "S", line);
    TCLAP::ValueArg<double> limit("l", "limit-ms", "time limit of each lookup", false, 1000, "MS", line);
    TCLAP::ValueArg<std::uint32_t> connections("c", "connections", "most requests out at once", false, 256, "N", line);
    TCLAP::SwitchArg quiet("q", "quiet", "no progress", line);
    parse(line, argc, argv);
    constexpr double millisPerSecond = 1000;
    if (rate.getValue() <= 0 || seconds.getValue() <= 0) {
        std::cerr << "chivelock: --rate and --seconds must be above 0\n";
        return exit_code::usage;
    }
    return runLoad({entries.getValue(),
                    kinds.getValue(),
                    rate.getValue(),
                    millis(seconds.getValue() * millisPerSecond),
                    millis(limit.getValue()),
                    connections.getValue(),
                    quiet.getValue()});
}

struct subcommand {
    std::string_view name;
    int (*run)(int, char **);
};

constexpr subcommand commands[] = {{"lookup", lookupMain},
                                   {"status", statusMain},
                                   {"audit", auditMain},
                                   {"catalogue", catalogueMain},
                                   {"load", loadMain}};

int runCommand(const subcommand &command, int argc, char **argv)
{
    try {
        // Skips argv[0], so that TCLAP shows the command's name as the program name.
        return command.run(argc - 1, argv + 1);
    } catch (const TCLAP::ExitException &exitRequest) {
        return exitRequest.getExitStatus() == 0 ? exit_code::ok : exit_code::usage;
    } catch (const TCLAP::ArgException &problem) {
        std::cerr << "chivelock: " << problem.error() << " " << problem.argId() << "; see --help\n";
        return exit_code::usage;
    } catch (const std::exception &problem) {
        std::cerr << "chivelock: the answer can't be read: " << problem.what() << '\n';
        return exit_code::failed;
    }
}

} // namespace

int main(int argc, char **argv)
{
    const std::string_view name = argc > 1 ? argv[1] : "";
    if (name == "--help" || name == "-h") {
        std::cout << usageText;
        return exit_code::ok;
    }
    for (const subcommand &command : commands) {
        if (command.name == name) {
            curl_global_init(CURL_GLOBAL_DEFAULT);
            const int code = runCommand(command, argc, argv);
            curl_global_cleanup();
            return code;
        }
    }
    std::cerr << usageText;
    return exit_code::usage;
}

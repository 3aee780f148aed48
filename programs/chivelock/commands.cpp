#include "commands.h"

#include "http_client.h"

#include <catalogue/catalogue.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace chivelock {

namespace {

using nlohmann::json;

constexpr millis pageTimeout {2000};
constexpr millis replyMargin {2000}; ///< added to the lookup's time limit, by which the entry has to answer
constexpr long okStatus = 200;

void printError(const http_error &error)
{
    std::cerr << "chivelock: " << error.url << ": " << error.reason << '\n';
}

tl::expected<json, std::string> makeLookupBody(const lookup_command &command, const std::string &ticket)
{
    const json query = json::parse(command.query, nullptr, false);
    if (query.is_discarded()) {
        return tl::unexpected("--query is not JSON: " + command.query);
    }
    json body = {{"query", query}, {"time_limit_ms", command.timeLimit.ceiled()}};
    if (!command.key.empty()) {
        body["key"] = command.key;
    }
    if (!command.requestId.empty()) {
        body["request_id"] = command.requestId;
    }
    if (!ticket.empty()) {
        body["ticket"] = ticket;
    }
    return body;
}

/** Returns @p body indented if it is JSON, otherwise unchanged. */
std::string formatJson(const std::string &body)
{
    const json parsed = json::parse(body, nullptr, false);
    return parsed.is_discarded() ? body : parsed.dump(1);
}

struct entry_status_page {
    std::string entry;
    json page; ///< null if the entry did not return a status page
    std::string problem;
};

bool isStatusPage(const json &page)
{
    const auto isNumber = [&page](const char *key) { return page.contains(key) && page[key].is_number_unsigned(); };
    return page.is_object() && page.contains("ready") && page["ready"].is_boolean() && isNumber("catalogue_revision")
        && isNumber("topology_revision") && isNumber("lookups_in_flight") && page.contains("troubles")
        && page["troubles"].is_array()
        && std::ranges::all_of(page["troubles"], [](const json &trouble) { return trouble.is_string(); });
}

entry_status_page readStatus(const std::string &entry)
{
    const auto result = httpGet(entry + "/v1/status", pageTimeout);
    if (!result) {
        return {entry, json(), result.error().reason};
    }
    json page = json::parse(result->body, nullptr, false);
    return isStatusPage(page) ? entry_status_page {entry, std::move(page), ""}
                              : entry_status_page {entry, json(), "not a status page"};
}

std::string joinTroubles(const entry_status_page &page)
{
    std::string text;
    for (const json &trouble : page.page.at("troubles")) {
        text += (text.empty() ? "" : "; ") + trouble.get<std::string>();
    }
    return text.empty() ? "-" : text;
}

void printTable(std::span<const entry_status_page> pages)
{
    constexpr int entryWidth = 26;
    constexpr int numberWidth = 11;
    std::cout << std::left << std::setw(entryWidth) << "ENTRY" << std::setw(numberWidth) << "READY"
              << std::setw(numberWidth) << "CATALOGUE" << std::setw(numberWidth) << "TOPOLOGY" << std::setw(numberWidth)
              << "LOOKUPS"
              << "NOT WELL\n";
    for (const entry_status_page &page : pages) {
        std::cout << std::setw(entryWidth) << page.entry;
        if (page.page.is_null()) {
            std::cout << "no answer: " << page.problem << '\n';
            continue;
        }
        std::cout << std::setw(numberWidth) << (page.page.at("ready").get<bool>() ? "yes" : "no")
                  << std::setw(numberWidth) << page.page.at("catalogue_revision").get<std::uint64_t>()
                  << std::setw(numberWidth) << page.page.at("topology_revision").get<std::uint64_t>()
                  << std::setw(numberWidth) << page.page.at("lookups_in_flight").get<std::uint64_t>()
                  << joinTroubles(page) << '\n';
    }
}

bool allHealthy(std::span<const entry_status_page> pages)
{
    return std::ranges::all_of(pages, [&pages](const entry_status_page &page) {
        return !page.page.is_null() && page.page.at("troubles").empty()
            && page.page.at("catalogue_revision") == pages.front().page.value("catalogue_revision", json());
    });
}

} // namespace

int runLookup(const lookup_command &command)
{
    const std::string url = command.entry + "/v1/lookups/" + command.kind;
    const millis timeout = command.timeLimit + replyMargin;
    std::string ticket = command.ticket;
    if (command.fetchTicket && ticket.empty()) {
        const auto ticketResponse =
            makeLookupBody(command, "").map([&](const json &body) { return httpPost(url, body.dump(), timeout); });
        const json reply =
            ticketResponse && *ticketResponse ? json::parse((*ticketResponse)->body, nullptr, false) : json();
        ticket = reply.is_object() ? reply.value("ticket", "") : "";
    }
    const auto body = makeLookupBody(command, ticket);
    if (!body) {
        std::cerr << "chivelock: " << body.error() << '\n';
        return exit_code::usage;
    }
    const auto result = httpPost(url, body->dump(), timeout);
    if (!result) {
        printError(result.error());
        return exit_code::failed;
    }
    std::cout << formatJson(result->body) << '\n';
    return result->status == okStatus ? exit_code::ok : exit_code::failed;
}

int runStatus(const status_command &command)
{
    std::vector<entry_status_page> pages;
    std::ranges::transform(command.entries, std::back_inserter(pages), readStatus);
    if (command.asJson) {
        json statusList = json::array();
        for (const entry_status_page &page : pages) {
            statusList.push_back({{"entry", page.entry}, {"status", page.page}, {"problem", page.problem}});
        }
        std::cout << statusList.dump(1) << '\n';
    } else {
        printTable(pages);
    }
    return allHealthy(pages) ? exit_code::ok : exit_code::refused;
}

int runAudit(const std::string &entry)
{
    const auto result = httpGet(entry + "/v1/audit", pageTimeout);
    if (!result) {
        printError(result.error());
        return exit_code::failed;
    }
    const json lines = json::parse(result->body, nullptr, false);
    if (!lines.is_array()) {
        std::cerr << "chivelock: " << entry << ": not an audit page\n";
        return exit_code::failed;
    }
    for (const json &line : lines) {
        std::cout << "age_ms=" << line.at("age_ms") << " revision=" << line.at("revision")
                  << " verdict=" << line.at("verdict").get<std::string>()
                  << " source=" << line.at("source").get<std::string>()
                  << " kind=" << line.at("kind").get<std::string>() << " owner=" << line.at("owner").get<std::string>()
                  << " old=" << line.at("old").get<std::string>() << " new=" << line.at("new").get<std::string>()
                  << " detail=" << line.at("detail").dump() << '\n';
    }
    return exit_code::ok;
}

int runCatalogueCheck(const std::string &path)
{
    const std::ifstream file(path);
    if (!file) {
        std::cerr << "chivelock: can't read " << path << '\n';
        return exit_code::usage;
    }
    std::ostringstream text;
    text << file.rdbuf();
    const auto document = readCatalogue(text.str());
    if (!document) {
        for (const document_problem &problem : document.error().problems) {
            std::cerr << problem.path << ": " << problem.message << " (value: " << problem.value << ")\n";
        }
        return exit_code::refused;
    }
    std::cout << "revision " << document->revision << ", " << document->kinds.size() << " kinds: would be accepted\n";
    return exit_code::ok;
}

} // namespace chivelock

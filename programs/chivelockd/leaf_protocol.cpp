#include "leaf_protocol.h"

#include <nlohmann/json.hpp>
#include <schema/schema.h>

#include <algorithm>

namespace chivelock::leaf_protocol {

namespace {

using nlohmann::json;

constexpr long okStatus = 200;
constexpr long conflictStatus = 409; ///< the leaf does not hold the snapshot or map version
constexpr long goneStatus = 410; ///< the leaf is leaving
constexpr long tooManyStatus = 429;
constexpr long cancelledStatus = 499;
constexpr long unavailableStatus = 503; ///< the leaf refused the request before starting it

call_status callStatusOf(long status)
{
    switch (status) {
    case okStatus:
        return call_status::Ok;
    case conflictStatus:
        return call_status::SnapshotGone;
    case goneStatus:
        return call_status::Leaving;
    case tooManyStatus:
    case unavailableStatus:
        return call_status::Shed;
    case cancelledStatus:
        return call_status::Cancelled;
    default:
        return call_status::Failed;
    }
}

result_row parseRow(const json &row)
{
    return {row.at("id").get<std::string>(),
            row.at("score").get<double>(),
            row.contains("data") ? row.at("data").dump() : "null"};
}

std::uint32_t numberField(const json &document, const char *key)
{
    return document.value(key, std::uint32_t {0});
}

void readFields(const json &document, leaf_reply &reply)
{
    reply.shard = {numberField(document, "shard")};
    reply.snapshot = {numberField(document, "snapshot")};
    reply.version = {numberField(document, "map_version")};
    reply.heldSnapshot = {numberField(document, "held_snapshot")};
    reply.incarnation = document.value("incarnation", std::uint64_t {0});
    reply.announcesLeaving = document.value("leaving", false);
    reply.retryAfter = millis(document.value("retry_after_ms", 0.0));
    if (reply.status == call_status::Ok) {
        std::ranges::transform(document.at("rows"), std::back_inserter(reply.rows), parseRow);
    }
}

} // namespace

std::string searchBody(const leaf_call &call, std::string_view name, millis remaining)
{
    // The query was validated as JSON when the caller's request was received, so its text is inserted unparsed.
    std::string body = R"({"request":")";
    body.append(name);
    body += R"(","request_id":")" + call.requestId + R"(","service":")" + call.service.value;
    body += R"(","shard":)" + std::to_string(call.shard.value);
    body += R"(,"snapshot":)" + std::to_string(call.snapshot.value);
    body += R"(,"map_version":)" + std::to_string(call.version.value);
    body += R"(,"class":")" + std::string(toString(call.priority));
    body += R"(","deadline_ms":)" + std::to_string(remaining.ceiled());
    body += R"(,"max_rows":)" + std::to_string(call.maxRows);
    body += R"(,"query":)" + (call.body && !call.body->empty() ? *call.body : std::string("null")) + "}";
    return body;
}

leaf_reply readSearchReply(const leaf_call &call, long status, std::string_view body)
{
    leaf_reply reply;
    reply.id = call.id;
    reply.shard = call.shard;
    reply.status = callStatusOf(status);
    try {
        const auto document = parseDocument(body);
        if (document && document->is_object()) {
            readFields(*document, reply);
        } else if (reply.status == call_status::Ok) {
            reply.status = call_status::Failed;
        }
    } catch (const json::exception &) {
        reply.status = reply.status == call_status::Ok ? call_status::Failed : reply.status;
        reply.rows.clear();
    }
    return reply;
}

health_report readHealth(const leaf_probe &probe, long status, std::string_view body)
{
    health_report report;
    report.leaf = probe.leaf;
    report.askedAt = probe.askedAt;
    const auto document = parseDocument(body);
    if (status != okStatus || !document || !document->is_object()) {
        return report;
    }
    const json state = document->value("state", json());
    report.reachable = true;
    report.serving = state == "serving";
    report.cold = state == "cold";
    report.leaving = state == "leaving";
    const json incarnation = document->value("incarnation", json());
    report.incarnation = incarnation.is_number_unsigned() ? incarnation.get<std::uint64_t>() : 0;
    return report;
}

} // namespace chivelock::leaf_protocol

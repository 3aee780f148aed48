#include <query/query.h>

#include <nlohmann/json.hpp>
#include <schema/schema.h>

#include <algorithm>

namespace chivelock {

namespace {

constexpr std::uint16_t okStatus = 200;
constexpr std::uint16_t badRequestStatus = 400;
constexpr std::uint16_t notFoundStatus = 404;
constexpr std::uint16_t conflictStatus = 409;
constexpr std::uint16_t preconditionRequiredStatus = 428;
constexpr std::uint16_t tooManyRequestsStatus = 429;
constexpr std::uint16_t serviceUnavailableStatus = 503;
constexpr std::uint16_t gatewayTimeoutStatus = 504;

/** Parses row data that is a JSON document; any other data becomes a JSON string. */
nlohmann::json parseRowData(const std::string &data)
{
    return parseDocument(data).value_or(nlohmann::json(data));
}

} // namespace

std::string writeAnswer(const lookup_answer &answer)
{
    nlohmann::json json = {{"request_id", answer.requestId},
                           {"kind", answer.kind.value},
                           {"outcome", toString(answer.outcome)},
                           {"snapshot", answer.snapshot.value},
                           {"map_version", answer.version.value},
                           {"catalogue_revision", answer.catalogueRevision},
                           {"covered", nlohmann::json::array()},
                           {"missing", nlohmann::json::array()},
                           {"rows", nlohmann::json::array()},
                           {"elapsed_ms", answer.elapsed.count()},
                           {"leaf_requests", answer.attempts}};
    std::ranges::transform(answer.covered, std::back_inserter(json["covered"]), &shard_id::value);
    for (const missing_shard &shard : answer.missing) {
        json["missing"].push_back({{"shard", shard.shard.value}, {"reason", toString(shard.reason)}});
    }
    for (const result_row &row : answer.rows) {
        json["rows"].push_back({{"id", row.id}, {"score", row.score}, {"data", parseRowData(row.data)}});
    }
    if (answer.reason != answer_reason::None) {
        json["reason"] = toString(answer.reason);
    }
    if (answer.retryAfter > millis()) {
        json["retry_after_ms"] = answer.retryAfter.ceiled();
    }
    if (!answer.ticket.empty()) {
        json["ticket"] = answer.ticket;
    }
    if (!answer.detail.empty()) {
        json["detail"] = answer.detail;
    }
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::uint16_t httpStatusOf(const lookup_answer &answer)
{
    if (answer.outcome == lookup_outcome::Whole || answer.outcome == lookup_outcome::Partial) {
        return okStatus;
    }
    switch (answer.reason) {
    case answer_reason::BadRequest:
        return badRequestStatus;
    case answer_reason::UnknownKind:
        return notFoundStatus;
    case answer_reason::NeedsTicket:
        return preconditionRequiredStatus;
    case answer_reason::TicketMismatch:
    case answer_reason::Running:
        return conflictStatus;
    case answer_reason::KindLimit:
        return tooManyRequestsStatus;
    case answer_reason::Expired:
        return gatewayTimeoutStatus;
    default:
        return serviceUnavailableStatus;
    }
}

} // namespace chivelock

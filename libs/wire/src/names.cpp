#include <wire/wire.h>

#include <array>

namespace chivelock {

namespace {

template<typename enumeration, std::size_t count>
std::string_view nameOf(enumeration value, const std::array<std::string_view, count> &names)
{
    const auto index = static_cast<std::size_t>(value);
    return index < count ? names.at(index) : "unknown_value";
}

} // namespace

std::string_view toString(member_state state)
{
    return nameOf(state, std::array<std::string_view, 4> {"alive", "suspect", "leaving", "gone"});
}

std::string_view toString(shard_status status)
{
    return nameOf(
        status,
        std::array<std::string_view, 6> {"ok", "overloaded", "snapshot_gone", "leaf_failed", "no_leaf", "expired"});
}

std::string_view toString(lookup_outcome outcome)
{
    return nameOf(outcome, std::array<std::string_view, 5> {"whole", "partial", "not_run", "failed", "unknown"});
}

std::string_view toString(answer_reason reason)
{
    return nameOf(reason,
                  std::array<std::string_view, 19> {"none",
                                                    "bad_request",
                                                    "unknown_kind",
                                                    "needs_ticket",
                                                    "ticket_mismatch",
                                                    "kind_limit",
                                                    "overloaded",
                                                    "no_topology",
                                                    "no_catalogue",
                                                    "snapshot_gone",
                                                    "leafs_failed",
                                                    "no_leaf",
                                                    "expired",
                                                    "issuer_unreachable",
                                                    "ticket_unknown",
                                                    "ticket_table_full",
                                                    "running",
                                                    "stopping",
                                                    "ring_full"});
}

std::string_view toString(wire_error error)
{
    return nameOf(error, std::array<std::string_view, 3> {"too_long", "malformed", "unknown_message"});
}

} // namespace chivelock

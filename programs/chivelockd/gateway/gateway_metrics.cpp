/** @file The gateway's metrics page, and the log line with the traffic between VMs. */

#include "gateway_service.h"

namespace chivelock {

namespace {

void writeOverload(std::vector<metric_value> &values, const overload_control &overload)
{
    const auto number = [](std::uint64_t value) { return static_cast<double>(value); };
    const admission_counts &counts = overload.counts();
    constexpr std::string_view refused = "chivelock_overload_refused_total";
    constexpr std::string_view refusedHelp = "Requests refused because of overload.";
    values.push_back({refused, refusedHelp, number(counts.vmOverloaded), "vm_overloaded"});
    values.push_back({refused, refusedHelp, number(counts.leafsOverloaded), "leafs_overloaded"});
    values.push_back({refused, refusedHelp, number(counts.accountAboveShare), "account_above_share"});
    values.push_back({"chivelock_overload_returned_total",
                      "Refused requests that came back and were admitted.",
                      number(counts.returned),
                      {}});
    values.push_back({"chivelock_overload_refusals_withheld_total",
                      "Requests admitted because the bound on refusals was reached.",
                      number(counts.refusalsWithheld),
                      {}});
    values.push_back({"chivelock_accounts",
                      "Client accounts with open requests.",
                      static_cast<double>(overload.accounts().accounts()),
                      {}});
}

} // namespace

/** Logs the bytes sent so far, as own zone/other zones/unknown zone. Periodic lines keep most of the counts of a
 * process that is killed. */
void gateway_service::logPeerTraffic()
{
    logEvent(log_level::Info,
             "peer_traffic",
             {{"to_other_zones", m_traffic.bytesToOtherZones()},
              {"whole_documents", m_traffic.bytesOf(peer_message_kind::FullDocuments)},
              {"document_changes", m_traffic.bytesOf(peer_message_kind::DocumentChanges)},
              {"fleet_state", m_traffic.bytesOf(peer_message_kind::FleetState)},
              {"fleet_members", m_traffic.bytesOf(peer_message_kind::FleetMembers)},
              {"leaf_reports", m_traffic.bytesOf(peer_message_kind::LeafReports)},
              {"request_news", m_traffic.bytesOf(peer_message_kind::RequestEvidence)},
              {"handed_work", m_traffic.bytesOf(peer_message_kind::DelegatedWork)},
              {"work_progress", m_traffic.bytesOf(peer_message_kind::WorkProgress)}});
}

std::string gateway_service::metricsPage() const
{
    const auto number = [](std::uint64_t value) { return static_cast<double>(value); };
    const std::uint64_t version = m_engine.config() == nullptr ? 0 : m_engine.config()->config().version;
    std::vector<metric_value> values = {
        {"chivelock_gateway_requests_total", "Requests read from callers.", number(m_counts.requests), {}},
        {"chivelock_gateway_partial_total", "Merged answers with shards missing.", number(m_counts.partial), {}},
        {"chivelock_gateway_refused_total", "Requests that were not run.", number(m_counts.refused), {}},
        {"chivelock_gateway_failed_total", "Requests given up that may have run.", number(m_counts.failed), {}},
        {"chivelock_gateway_callers_left_total",
         "Callers that left unanswered.",
         number(m_counts.disconnectedCallers),
         {}},
        {"chivelock_gateway_hedges_total", "Second requests to silent shards.", number(m_counts.hedges), {}},
        {"chivelock_gateway_retries_total", "Requests sent again after a failure.", number(m_counts.retries), {}},
        {"chivelock_gateway_second_sends_handed_total",
         "Of hedges and retries, those that other VMs sent.",
         number(m_counts.delegatedSecondSends),
         {}},
        {"chivelock_gateway_quarantined_total",
         "Of the refused, requests under which leafs end.",
         number(m_counts.quarantined),
         {}},
        {"chivelock_requests_held_against",
         "Requests under which leafs ended.",
         number(m_engine.requests().size()),
         {}},
        {"chivelock_gateway_standstills_total", "Times this process stood still.", number(m_counts.processPauses), {}},
        {"chivelock_leaf_sends_total", "Requests to leafs.", number(m_pool->counts().sent), {}},
        {"chivelock_leaf_connections_opened_total", "New connections.", number(m_pool->counts().opened), {}},
        {"chivelock_leaf_stray_answers_total", "Answers to other requests.", number(m_pool->counts().strayAnswers), {}},
        {"chivelock_work_handed_out_total",
         "Shards of a request given to another VM.",
         number(m_counts.delegationsSent),
         {}},
        {"chivelock_work_taken_in_total",
         "Shards of a request taken for another VM.",
         number(m_counts.delegationsAccepted),
         {}},
        {"chivelock_store_calls_total", "Calls to the store.", number(m_feed->storeCalls()), {}},
        {"chivelock_callers", "Open connections of callers.", number(m_callers->sessions()), {}},
        {"chivelock_exchanges", "Requests under way.", number(m_engine.openExchanges()), {}},
        {"chivelock_config_version", "Configuration in force.", number(version), {}},
    };
    writeOverload(values, m_engine.overload());
    m_traffic.write(values);
    return m_latencies.write(values);
}

} // namespace chivelock

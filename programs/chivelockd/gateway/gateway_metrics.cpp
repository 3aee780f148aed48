/** @file The gateway's metrics page, and the log line with the traffic between VMs. */

#include "gateway_service.h"
#include "status_pages.h"

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

void writeInputCutOff(std::vector<metric_value> &values, std::string_view source, std::uint64_t count)
{
    values.push_back({"chivelock_input_cut_off_total",
                      "Connections closed for input past a bound or that could not be read, by source.",
                      static_cast<double>(count),
                      source});
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

/** Logs what this VM knows of its own load and that of its helpers, and how it placed the parts of lookups so far. */
void gateway_service::logPlacement() const
{
    const millis now = m_clock.now();
    const vm_load own = currentLoad(now);
    const placement::placed_parts &placed = m_engine.placed();
    logEvent(log_level::Info,
             "placement",
             {{"own_lag_ms", own.lag.ceiled()},
              {"queued_bytes", std::uint64_t {own.queuedBytes}},
              {"known_loads", std::uint64_t {m_engine.helperLoads().known()}},
              {"behind", std::uint64_t {m_engine.helperLoads().behind(now)}},
              {"parts", placed.all},
              {"parts_large", placed.large},
              {"parts_own", placed.own}});
}

/** Logs the requests to leafs so far, if second sends were made since the last time. */
void gateway_service::logLeafSends()
{
    const millis now = m_clock.now();
    const send_counts &sends = m_engine.sendCounts();
    const silent_leafs silent = m_engine.countSilentLeafs(now);
    if (sends.second == m_loggedSecondSends && silent.down == 0 && silent.stalled == 0) {
        return;
    }
    m_loggedSecondSends = sends.second;
    logEvent(log_level::Info,
             "leaf_sends",
             {{"all", sends.all},
              {"second", sends.second},
              {"useful", sends.useful},
              {"withheld", sends.withheld},
              {"leafs_down", std::uint64_t {silent.down}},
              {"leafs_stalled", std::uint64_t {silent.stalled}},
              {"own_lag_ms", currentLoad(now).lag.ceiled()}});
}

std::string gateway_service::metricsPage() const
{
    const millis now = m_clock.now();
    const vm_load own = currentLoad(now);
    const placement::placed_parts &placed = m_engine.placed();
    const silent_leafs silent = m_engine.countSilentLeafs(now);
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
        {"chivelock_second_sends_total",
         "Hedges, and retries of requests that a leaf may have run.",
         number(m_engine.sendCounts().second),
         {}},
        {"chivelock_second_sends_useful_total",
         "Of the second sends, those that brought the part first.",
         number(m_engine.sendCounts().useful),
         {}},
        {"chivelock_second_sends_withheld_total",
         "Shards not asked again in time, because too many second sends of the lookup had no answer.",
         number(m_engine.sendCounts().withheld),
         {}},
        {"chivelock_leafs_down", "Leafs not asked after a request was given up.", number(silent.down), {}},
        {"chivelock_leafs_stalled", "Leafs not asked while a request is overdue.", number(silent.stalled), {}},
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
        {"chivelock_own_lag_ms", "How late this process handles events.", own.lag.count(), {}},
        {"chivelock_queued_bytes", "Sent to other VMs and not received yet.", number(own.queuedBytes), {}},
        {"chivelock_helper_loads_known",
         "Other VMs that reported their load.",
         number(m_engine.helperLoads().known()),
         {}},
        {"chivelock_helpers_behind", "Other VMs with a backlog.", number(m_engine.helperLoads().behind(now)), {}},
        {"chivelock_parts_placed_total", "Parts of lookups placed by load.", number(placed.all), {}},
        {"chivelock_parts_placed_large_total", "Of these, parts on large VMs.", number(placed.large), {}},
        {"chivelock_parts_placed_own_total", "Of these, parts on this VM.", number(placed.own), {}},
        {"chivelock_run_queue", "Work read and not begun.", number(m_runQueue.size()), {}},
        {"chivelock_run_queue_wait_ms_total",
         "Time that work was queued before it was begun.",
         m_counts.queueTime.count(),
         {}},
        {"chivelock_run_queue_yielded_total",
         "Work that began after work that had arrived later.",
         number(m_runQueue.yielded()),
         {}},
        {"chivelock_leaf_places_by_urgency_total",
         "Places at leafs given to a call although an older one waited.",
         number(m_engine.priorityCounts().placesGivenFirst),
         {}},
        {"chivelock_extra_sends_yielded_total",
         "Hedges and retries not sent, because the rest of the budget is left to more urgent routes.",
         number(m_engine.priorityCounts().budgetLeft),
         {}},
        {"chivelock_store_calls_total", "Calls to the store.", number(m_feed->storeCalls()), {}},
        {"chivelock_callers", "Open connections of callers.", number(m_callers->sessions()), {}},
        {"chivelock_callers_limit", "Connections of callers at a time.", number(m_callers->maxConnections()), {}},
        {"chivelock_caller_bytes", "Bytes held for callers.", number(m_callers->bytesHeld()), {}},
        {"chivelock_leaf_request_bytes", "Request bytes under way to leafs.", number(m_pool->bytesUnderWay()), {}},
        {"chivelock_leaf_sends_held_back_total",
         "Requests beyond what a leaf may hold.",
         number(m_pool->counts().heldBack),
         {}},
        {"chivelock_leaf_unread_total",
         "Connections closed as a leaf read no request.",
         number(m_pool->counts().closedUnread),
         {}},
        {"chivelock_callers_closed_not_reading_total",
         "Connections of callers that read nothing, closed for new ones.",
         number(m_callers->pressureCounts().closedUnread),
         {}},
        {"chivelock_callers_closed_idle_total",
         "Idle connections of callers, closed for new ones.",
         number(m_callers->pressureCounts().closedIdle),
         {}},
        {"chivelock_callers_closed_for_memory_total",
         "Connections of callers closed for the memory they held.",
         number(m_callers->pressureCounts().closedForMemory),
         {}},
        {"chivelock_callers_refused_total",
         "Requests refused for lack of connections or memory.",
         number(m_callers->pressureCounts().refused),
         {}},
        {"chivelock_exchanges", "Requests under way.", number(m_engine.openExchanges()), {}},
        {"chivelock_config_version", "Configuration in force.", number(version), {}},
        {"chivelock_paused_leafs",
         "Leafs that helpers reported as silent a short time ago.",
         number(m_engine.pausedLeafs(m_clock.now())),
         {}},
    };
    for (const auto &[route, state] : m_engine.hedgeStates()) {
        values.push_back({"chivelock_hedge_delay_milliseconds",
                          "Time without an answer after which a second leaf is asked, by route.",
                          state.delay.count(),
                          route});
    }
    for (const input_guard *input : {&m_callers->input(),
                                     &m_pages->readiness().input(),
                                     &m_pages->metrics().input(),
                                     &m_pool->input(),
                                     &m_feed->peerInput(),
                                     &m_helperLinks->peerInput()}) {
        writeInputCutOff(values, input->source(), input->cutOff());
    }
    writeInputCutOff(values, "store", m_feed->storeInputCutOff());
    writeOverload(values, m_engine.overload());
    m_traffic.write(values);
    return m_latencies.write(values);
}

} // namespace chivelock

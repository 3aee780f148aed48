/** @file Distribution of reports about leafs through the tree, in both directions. */

#include <fleet/fleet.h>

#include <algorithm>

namespace chivelock {

namespace {

// Older reports are of little use; the limit also ends reports that travel in a cycle of the tree.
constexpr millis maxReportAge(3000);

} // namespace

void fleet_node::report(std::span<const leaf_report> reports)
{
    std::ranges::for_each(reports, [&](const leaf_report &one) { queueReport(one, 0); });
}

void fleet_node::queueReport(const leaf_report &report, link_id from)
{
    const auto [at, added] = m_queuedReports.try_emplace(report.leaf, queued_report {report, from});
    if (!added && at->second.report.observedAt < report.observedAt) {
        at->second = {report, from};
    }
}

void fleet_node::onLeafReports(link_id link, leaf_reports_message message, millis now)
{
    if (!isNeighbour(link)) {
        return;
    }
    for (leaf_report &one : message.reports) {
        one.observedAt = now + one.observedAt;
        queueReport(one, link);
    }
    m_actions.emplace_back(reports_action {std::move(message.reports)});
}

std::vector<link_id> fleet_node::neighbours() const
{
    std::vector<link_id> links;
    std::ranges::transform(m_followers, std::back_inserter(links), [](const auto &one) { return one.first; });
    if (m_phase == phase::Following) {
        links.push_back(m_upstream);
    }
    return links;
}

/** Sends the queued reports as one message to each neighbour, however many VMs they came from. */
void fleet_node::sendReports(millis now)
{
    std::erase_if(m_queuedReports, [&](const auto &one) { return now - one.second.report.observedAt > maxReportAge; });
    if (m_queuedReports.empty() || now < m_nextReports) {
        return;
    }
    m_nextReports = now + m_settings.reportInterval;
    std::vector<queued_report> chosen;
    std::ranges::transform(m_queuedReports, std::back_inserter(chosen), [](const auto &one) { return one.second; });
    // Reports about the slowest leafs matter most; the others follow with later ticks.
    std::ranges::sort(chosen, std::ranges::greater(), [](const queued_report &one) { return one.report.slowness; });
    chosen.resize(std::min(chosen.size(), m_settings.maxReportsPerMessage));
    std::ranges::for_each(chosen, [&](const queued_report &one) { m_queuedReports.erase(one.report.leaf); });
    for (const link_id link : neighbours()) {
        leaf_reports_message message;
        for (const queued_report &one : chosen) {
            if (one.from != link) {
                message.reports.push_back(one.report);
                message.reports.back().observedAt = one.report.observedAt - now;
            }
        }
        if (!message.reports.empty()) {
            sendMessage(link, std::move(message));
        }
    }
}

} // namespace chivelock

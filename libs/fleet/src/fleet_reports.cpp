/** @file Reports about leafs on their way through the tree, in both directions. */

#include <fleet/fleet.h>

#include <algorithm>

namespace chivelock {

namespace {

constexpr millis reportLife(3000); // older word is of little use, and one that runs in a circle of the tree ends

} // namespace

void fleet_node::report(std::span<const leaf_report> reports)
{
    std::ranges::for_each(reports, [&](const leaf_report &one) { keepReport(one, 0); });
}

void fleet_node::keepReport(const leaf_report &report, link_id from)
{
    const auto [at, added] = m_reports.try_emplace(report.leaf, kept_report {report, from});
    if (!added && at->second.report.observedAt < report.observedAt) {
        at->second = {report, from};
    }
}

void fleet_node::onLeafNews(link_id link, leaf_news news, millis now)
{
    if (!isNeighbour(link)) {
        return;
    }
    for (leaf_report &one : news.reports) {
        one.observedAt = now + one.observedAt;
        keepReport(one, link);
    }
    m_actions.emplace_back(reports_action {std::move(news.reports)});
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

/** Gathers what came since the last tick: one message for each neighbour, however many VMs had something to say. */
void fleet_node::tellReports(millis now)
{
    std::erase_if(m_reports, [&](const auto &one) { return now - one.second.report.observedAt > reportLife; });
    if (m_reports.empty() || now < m_nextReports) {
        return;
    }
    m_nextReports = now + m_settings.reportInterval;
    std::vector<kept_report> chosen;
    std::ranges::transform(m_reports, std::back_inserter(chosen), [](const auto &one) { return one.second; });
    // The slowest matter most; the others follow with later ticks.
    std::ranges::sort(chosen, std::ranges::greater(), [](const kept_report &one) { return one.report.slowness; });
    chosen.resize(std::min(chosen.size(), m_settings.mostReports));
    std::ranges::for_each(chosen, [&](const kept_report &one) { m_reports.erase(one.report.leaf); });
    for (const link_id link : neighbours()) {
        leaf_news news;
        for (const kept_report &one : chosen) {
            if (one.from != link) {
                news.reports.push_back(one.report);
                news.reports.back().observedAt = one.report.observedAt - now;
            }
        }
        if (!news.reports.empty()) {
            tell(link, std::move(news));
        }
    }
}

} // namespace chivelock

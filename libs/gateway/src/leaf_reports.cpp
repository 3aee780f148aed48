/** @file Reports on leafs that VMs exchange. */

#include "exchange.h"

#include <algorithm>

namespace chivelock {

namespace {

constexpr double minReportedSlowness = 1.7; // two slow answers: one may be a pause that ends before the report arrives
constexpr double reportFactor = 1.3; // factor between reports: about one more slow answer
constexpr double minRetractedSlowness = 1.5; // reported slowness from which a recovery is reported; otherwise single
                                             // pauses that are reported and never retracted add up to slowness
constexpr millis ownZonePrecedence(1000); // observations of the own zone override those of other zones for this long

bool isWorthReporting(double slowness, double reported)
{
    const bool slower = slowness >= minReportedSlowness && slowness > reported * reportFactor;
    const bool asUsual = reported >= minRetractedSlowness && reported > slowness * reportFactor;
    return slower || asUsual;
}

} // namespace

void gateway_engine::reportIfChanged(leaf &about, millis now)
{
    const bool unreachable = about.downUntil > now;
    about.fleetSlowness = 1 + decayed(about.fleetSlowness - 1, now - about.fleetSlownessAt, slownessHalfLife);
    about.fleetSlownessAt = now;
    if (unreachable == about.reportedUnreachable && !isWorthReporting(about.slowness, about.fleetSlowness)) {
        return;
    }
    about.reportedUnreachable = unreachable;
    about.fleetSlowness = about.slowness;
    const leaf_digest digest = digestOf(about.entry.id);
    m_reports[digest] = {digest, digestOf(m_settings.zone), about.slowness, unreachable, now};
}

std::vector<leaf_report> gateway_engine::takeReports()
{
    std::vector<leaf_report> result;
    std::ranges::transform(
        std::exchange(m_reports, {}), std::back_inserter(result), [](const auto &one) { return one.second; });
    return result;
}

std::size_t gateway_engine::onReports(std::span<const leaf_report> reports)
{
    const auto changes = std::ranges::count_if(reports, [&](const leaf_report &report) { return applyReport(report); });
    return static_cast<std::size_t>(changes);
}

/**
 * In a fleet of many VMs each one queries a given leaf about once a second. If each VM had to detect slow leafs alone,
 * lookups would be late for as long as a slow leaf stays slow. So the newest report counts, whichever VM sent it. A
 * leaf may fail the callers of one zone only, so a report from another zone counts only if the own zone has no recent
 * one. A leaf that is reported unreachable becomes the last choice but is not excluded: the reporting VM may itself be
 * cut off.
 */
bool gateway_engine::applyReport(const leaf_report &report)
{
    const std::shared_ptr<leaf> about = m_leafs.find(report.leaf);
    if (!about || report.observedAt <= about->restartSeenAt) {
        return false; // an unknown leaf, or an earlier incarnation with the same id
    }
    const bool ownZone = report.observer == digestOf(m_settings.zone);
    if (report.unreachable) {
        about->peerSawUnreachableAt = std::max(about->peerSawUnreachableAt, report.observedAt);
        return false;
    }
    const millis precedence = ownZone ? millis() : ownZonePrecedence;
    if (report.observedAt > about->peerSawUnreachableAt + precedence) {
        about->peerSawUnreachableAt = millis() - millis::never();
    }
    if (report.observedAt <= about->slownessAt + precedence) {
        return false;
    }
    const bool wasSlow = about->slowness >= slowLogThreshold;
    about->slowness = report.slowness;
    about->slownessAt = report.observedAt;
    about->fleetSlowness = report.slowness;
    about->fleetSlownessAt = report.observedAt;
    return wasSlow != (about->slowness >= slowLogThreshold);
}

} // namespace chivelock

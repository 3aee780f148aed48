/** @file What VMs tell each other of leafs. */

#include "exchange.h"

#include <algorithm>

namespace chivelock {

namespace {

constexpr double leastToTell = 1.7; // two slow answers: one alone may be a short pause, which ends before others hear
constexpr double worthTelling = 1.3; // a factor: about one slow answer more
constexpr double worthTakingBack = 1.5; // else pauses told one by one, and never taken back, add up to slowness
constexpr millis ownZoneFresh(1000); // what the own zone found out goes before other zones' word for so long

bool isNews(double slowness, double told)
{
    const bool slower = slowness >= leastToTell && slowness > told * worthTelling;
    const bool asUsual = told >= worthTakingBack && told > slowness * worthTelling;
    return slower || asUsual;
}

} // namespace

void gateway_engine::considerReport(leaf &about, millis now)
{
    const bool unreachable = about.downUntil > now;
    about.toldSlowness = 1 + faded(about.toldSlowness - 1, now - about.toldAt, slownessHalfLife);
    about.toldAt = now;
    if (unreachable == about.toldUnreachable && !isNews(about.slowness, about.toldSlowness)) {
        return;
    }
    about.toldUnreachable = unreachable;
    about.toldSlowness = about.slowness;
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
    const auto changes = std::ranges::count_if(reports, [&](const leaf_report &report) { return takeReport(report); });
    return static_cast<std::size_t>(changes);
}

/**
 * On a fleet of many VMs each one meets a leaf about once a second. If each had to find out alone who is slow, lookups
 * would be late for as long as a slow leaf stays slow. So the newest word counts, whoever said it. A leaf may fail the
 * callers of one zone only: other zones' word counts only where the own zone has none of late. That a leaf is out of
 * reach makes it the last choice and no more: the VM that says so may be cut off.
 */
bool gateway_engine::takeReport(const leaf_report &report)
{
    const std::shared_ptr<leaf> about = m_leafs.find(report.leaf);
    if (!about || report.observedAt <= about->bornHereAt) {
        return false; // of nobody, or of an earlier life under the same id
    }
    const bool ownZone = report.observer == digestOf(m_settings.zone);
    if (report.unreachable) {
        about->othersFailAt = std::max(about->othersFailAt, report.observedAt);
        return false;
    }
    const millis goesBefore = ownZone ? millis() : ownZoneFresh;
    if (report.observedAt > about->othersFailAt + goesBefore) {
        about->othersFailAt = millis() - millis::never();
    }
    if (report.observedAt <= about->slownessAt + goesBefore) {
        return false;
    }
    const bool wasSlow = about->slowness >= tellSlowAt;
    about->slowness = report.slowness;
    about->slownessAt = report.observedAt;
    about->toldSlowness = report.slowness;
    about->toldAt = report.observedAt;
    return wasSlow != (about->slowness >= tellSlowAt);
}

} // namespace chivelock

/** @file Leafs that are known to pause, from the reports of helpers: for how long, and which requests avoid them. */

#include "exchange.h"

#include <algorithm>

namespace chivelock {

namespace {

constexpr millis minPauseLength(10);
// Of the objective. A request to another zone costs less than a wait for a pause that lasts longer.
constexpr double maxPauseToWaitFor = otherZoneShare / stallShare;

} // namespace

double pauseCost(const leaf &candidate, const route_latency &latency, millis now)
{
    const millis rest = std::max(candidate.pausedUntil - now, millis());
    return stallShare * std::min(rest.count(), latency.objective.count());
}

/** @return whether the leaf is known to pause for so long that another leaf answers the request earlier. */
bool gateway_engine::isAvoided(const exchange &work, const leaf &candidate, millis now)
{
    return candidate.pausedUntil - now > work.route->objective * maxPauseToWaitFor;
}

/**
 * Remembers the leaf of a pending shard as paused for the usual time. The pause counts from when the report was due and
 * not from its receipt, and an answer of the leaf since then ends it, so that an old report has no effect.
 */
void gateway_engine::rememberPause(delegation_id id, const pending_shard &pending, millis now)
{
    const auto found = m_delegations.find(id);
    const std::shared_ptr<leaf> silent = m_leafs.find(pending.leafId);
    if (!m_settings.scheduling.hedging || !silent || found == m_delegations.end()) {
        return;
    }
    delegation &from = found->second;
    const millis silentAt = from.delegatedAt + from.firstReportIn;
    const millis until = silentAt + std::clamp(m_pauseLength.estimate(), minPauseLength, maxShortPause);
    if (until <= now || silent->lastReplyAt >= silentAt) {
        return;
    }
    if (silent->pausedUntil <= now) {
        logLeafHealth("leaf_paused", "pending_report", *silent, until - now);
    }
    silent->pausedUntil = std::max(silent->pausedUntil, until);
    from.silentLeafs.resize(from.calls.size());
    from.silentLeafs[pending.shard] = silent;
    std::erase_if(m_pausedLeafs,
                  [&](const std::shared_ptr<leaf> &one) { return one == silent || one->pausedUntil <= now; });
    m_pausedLeafs.push_back(silent);
}

/** The part that the helper had reported as pending has arrived, so its leaf answers again. */
void gateway_engine::endPause(const delegation &from, std::uint32_t shard)
{
    if (shard < from.silentLeafs.size() && from.silentLeafs[shard]) {
        from.silentLeafs[shard]->pausedUntil = millis();
    }
}

/** Learns from an overdue answer how long pauses last after they were noticed. */
void gateway_engine::learnPauseLength(const send &ended, millis now)
{
    if (now > ended.expectedBy) {
        m_pauseLength.add(std::min(now - ended.expectedBy, maxShortPause));
    }
}

/** Adds the avoided leafs of the shard to those that a helper does not ask, if it can ask another one. This is no
 *  attempt: the helper only skips them. */
void gateway_engine::listAvoidedLeafs(const exchange &work,
                                      const shard_call &call,
                                      std::vector<std::string> &triedLeafs,
                                      millis now)
{
    const auto isTried = [&](const std::shared_ptr<leaf> &one) {
        return std::ranges::find(call.tried, one) != call.tried.end();
    };
    const auto leafs = m_leafs.of(call.service);
    const bool hasOther = std::ranges::any_of(leafs, [&](const std::shared_ptr<leaf> &one) {
        return !isTried(one) && !one->isLeaving() && mayAsk(*one, now) && !isAvoided(work, *one, now)
            && m_regions.allows(work.route->homeRegions, one->entry.zone);
    });
    for (const std::shared_ptr<leaf> &one : leafs) {
        // A helper of an earlier version does not know the home regions.
        const bool isOutside = !m_regions.allows(work.route->homeRegions, one->entry.zone);
        if (!isTried(one) && (isOutside || (hasOther && isAvoided(work, *one, now)))) {
            triedLeafs.push_back(one->entry.id);
        }
    }
}

/** Sends the first request of a call. If a leaf of another zone is asked because that of the own zone pauses, the VM
 *  that has connections to it asks it, as with hedges. */
void gateway_engine::sendFirst(exchange &work, std::size_t at, const std::shared_ptr<leaf> &to, millis now)
{
    const bool avoids = to->entry.zone != m_settings.zone
        && std::ranges::any_of(m_leafs.of(work.calls[at].service), [&](const std::shared_ptr<leaf> &one) {
                            return one->entry.zone == m_settings.zone && isAvoided(work, *one, now);
                        });
    if (avoids) {
        sendApart(work, at, to, now);
    } else {
        sendCall(work, at, to, now);
    }
}

std::size_t gateway_engine::pausedLeafs(millis now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_pausedLeafs, [&](const std::shared_ptr<leaf> &one) { return one->pausedUntil > now; }));
}

} // namespace chivelock

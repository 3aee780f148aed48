#include <leafs/leafs.h>

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

namespace chivelock {

namespace {

constexpr double confirmationHeartbeats = 4; // the store removes an entry after three and sends an update
// Longest time from a leaf's last write until the store applies it, if the store counts as stable by then.
constexpr millis maxWriteDelay(2000);
constexpr millis removedRetention(60000); // ten times the longest delay of any write
// A few hundred kilobytes of memory. Replacing a set of shards removes a few hundred leafs.
constexpr std::size_t maxRemovedLeafs = 4096;
constexpr millis confirmationRetry(100); // interval of checks whether the store's updates have caught up

constexpr millis maxColdTime(60000); // leafs warm up in seconds, but an entry may contain any value

bool startedLater(std::optional<millis> start, std::optional<millis> before)
{
    return start && before && *start > *before;
}

/** Whether the entry is a delayed heartbeat of an earlier incarnation, or older than the last one of this incarnation.
 */
bool isOutdated(const leaf_entry &entry, const leaf_entry &known)
{
    if (!entry.leafStartedAt || !known.leafStartedAt) {
        return false; // a lower sequence may also belong to a new incarnation
    }
    return *entry.leafStartedAt < *known.leafStartedAt || entry.sequence < known.sequence;
}

removed_leaf removedStateOf(const leaf &removed, millis now)
{
    const millis since = std::min(removed.drainingSince, removed.missingSince);
    return {since, removed.mayHaveExpired, removed.entry.draining, removed.entry.leafStartedAt, now + removedRetention};
}

} // namespace

leaf_digest digestOf(std::string_view leafId)
{
    return static_cast<leaf_digest>(XXH3_64bits(leafId.data(), leafId.size()));
}

zone_digest digestOf(const zone_name &zone)
{
    return static_cast<zone_digest>(XXH3_64bits(zone.value.data(), zone.value.size()));
}

void leaf::setCold(millis remaining, millis now)
{
    coldUntil = now + std::min(remaining, maxColdTime);
}

millis leaf::stalledSince() const
{
    millis since = millis::never();
    for (const open_send &one : open) {
        // An answer to another request after this one was due shows that the leaf works and only this request takes
        // long.
        if (lastReplyAt < one.expectedBy) {
            since = std::min(since, one.expectedBy);
        }
    }
    return since;
}

std::optional<millis> leaf::leavingSince() const
{
    const millis since = std::min(drainingSince, missingSince);
    return since < millis::never() ? std::optional(since) : std::nullopt;
}

std::string_view leaf::stateName() const
{
    if (entryUnreadable) {
        return "unreadable";
    }
    if (entry.draining) {
        return "draining";
    }
    if (removeAt < millis::never()) {
        return "missing";
    }
    return isLeaving() ? "doubtful" : "ready";
}

std::size_t leaf_directory::countInZone(const zone_name &zone) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_byId, [&](const auto &one) { return one.second->entry.zone == zone; }));
}

/** Whether an entry that is found missing now may have expired only because of a store outage. */
bool leaf_directory::isWithinOutageWindow(millis now) const
{
    return now - m_storeFailedAt < outageExpiryWindow;
}

/** @return earliest time since which an entry that is missing now may have been missing. An entry that expired in an
 *  outage gets its full hold time from the moment at which the store can be read again. */
millis leaf_directory::earliestMissingTime(bool mayHaveExpired, millis now) const
{
    return mayHaveExpired ? now : std::min(now, m_currentAsOf);
}

bool leaf_directory::put(const leaf_entry &entry, millis now)
{
    const auto found = m_byId.find(entry.id);
    if (found == m_byId.end()) {
        add(entry, now);
        return true;
    }
    leaf &known = *found->second;
    if (startedLater(entry.leafStartedAt, known.entry.leafStartedAt)) {
        // The new incarnation has no state of the previous one: its drain, slowness and failures do not apply.
        unlink(known);
        m_byId.erase(found);
        add(entry, now);
        m_byId.at(entry.id)->restartSeenAt = now;
        return true;
    }
    return !isOutdated(entry, known.entry) && update(known, entry, now);
}

void leaf_directory::add(const leaf_entry &entry, millis now)
{
    auto added = std::make_shared<leaf>(entry);
    added->setCold(entry.coldFor, now);
    // The start of the drain is unknown here; the leaf may already have drained for its whole drain time.
    added->drainingSince = entry.draining ? millis() : millis::never();
    if (const auto before = m_removed.find(entry.id); before != m_removed.end()) {
        if (!startedLater(entry.leafStartedAt, before->second.leafStartedAt)) {
            markReturned(*added, before->second, now);
        }
        m_removed.erase(before);
    }
    m_byId.emplace(entry.id, added);
    m_byDigest[digestOf(entry.id)] = added;
    m_byService[entry.service].push_back(std::move(added));
}

/** @return true if the availability of the leaf changed. */
bool leaf_directory::update(leaf &known, const leaf_entry &entry, millis now)
{
    const bool returned = known.removeAt < millis::never();
    const bool readableAgain = std::exchange(known.entryUnreadable, false);
    const bool drainsNow = entry.draining && !known.entry.draining;
    if (drainsNow) {
        known.entry.draining = true; // until the process ends: an entry that says otherwise was written before
        known.drainingSince = std::min({known.drainingSince, now, m_currentAsOf});
    }
    if (returned) {
        markReturned(known, removedStateOf(known, now), now);
    }
    known.missingSince = millis::never();
    known.removeAt = millis::never();
    known.entry.slots = entry.slots;
    known.entry.sequence = entry.sequence;
    known.setCold(entry.coldFor, now);
    return returned || readableAgain || drainsNow;
}

bool leaf_directory::markUnreadable(std::string_view id)
{
    const auto found = m_byId.find(id);
    if (found == m_byId.end()) {
        return false;
    }
    found->second->entryUnreadable = true;
    return true;
}

/**
 * The entry of a leaving leaf may be removed and then written once more by a write that was still in transit. If that
 * counted as a return, the leaf would get requests past the drain limit, until the entry expires. So the leaf counts as
 * leaving since the removal, and its return is unconfirmed until the entry has outlived that time. After a store outage
 * entries return for good. A leaf whose own entry said that it drains stays draining in any case.
 */
void leaf_directory::markReturned(leaf &known, const removed_leaf &before, millis now)
{
    known.entry.draining = known.entry.draining || before.draining;
    if (before.mayHaveExpired && !known.entry.draining) {
        return;
    }
    known.drainingSince = std::min(known.drainingSince, before.missingSince);
    known.unconfirmedUntil = std::max(now, before.missingSince + maxWriteDelay) + m_heartbeat * confirmationHeartbeats;
    m_nextExpiry = std::min(m_nextExpiry, known.unconfirmedUntil);
}

/** Confirms the return if all updates of the store up to the end of that time are known. Passing time alone confirms
 *  nothing: if the store is unresponsive, a removal would not have been received. */
void leaf_directory::confirmReturn(leaf &known, millis now)
{
    const bool unconfirmed = known.unconfirmedUntil > millis();
    if (unconfirmed && known.unconfirmedUntil <= std::min(now, m_currentAsOf) && known.removeAt == millis::never()) {
        known.unconfirmedUntil = millis() - millis::never();
        known.drainingSince = known.entry.draining ? known.drainingSince : millis::never();
    }
}

bool leaf_directory::remove(std::string_view id, millis now, bool longAgo)
{
    const auto found = m_byId.find(id);
    const bool mayHaveExpired = !longAgo && isWithinOutageWindow(now);
    const millis since = longAgo ? millis() : earliestMissingTime(mayHaveExpired, now);
    if (found == m_byId.end()) {
        keepRemoved(id, {since, mayHaveExpired, false, std::nullopt, now + removedRetention});
        return false;
    }
    leaf &missing = *found->second;
    if (missing.removeAt == millis::never()) {
        missing.mayHaveExpired = mayHaveExpired;
        missing.missingSince = since;
        missing.removeAt = missing.missingSince + m_hold;
        m_nextExpiry = std::min(m_nextExpiry, missing.removeAt);
    }
    return true;
}

void leaf_directory::replaceAll(std::span<const leaf_entry> entries, millis now)
{
    std::set<std::string_view> present;
    for (const leaf_entry &entry : entries) {
        present.insert(entry.id);
        put(entry, now);
    }
    for (const auto &[id, known] : m_byId) {
        if (!present.contains(id)) {
            remove(id, now);
        }
    }
}

/** The first removal counts; later ones do not change it. */
void leaf_directory::keepRemoved(std::string_view id, const removed_leaf &removed)
{
    m_removed.try_emplace(std::string(id), removed);
    if (m_removed.size() > maxRemovedLeafs) {
        const auto keptUntil = [](const auto &one) { return one.second.keptUntil; };
        m_removed.erase(std::ranges::min_element(m_removed, {}, keptUntil));
    }
}

void leaf_directory::expireRemoved(millis now)
{
    std::erase_if(m_removed, [&](const auto &one) { return one.second.keptUntil <= now; });
}

std::size_t leaf_directory::expire(millis now)
{
    if (now < m_nextExpiry) {
        return 0;
    }
    m_nextExpiry = millis::never();
    expireRemoved(now);
    std::size_t removed = 0;
    for (auto at = m_byId.begin(); at != m_byId.end();) {
        if (at->second->removeAt <= now) {
            keepRemoved(at->first, removedStateOf(*at->second, now));
            unlink(*at->second);
            at = m_byId.erase(at);
            ++removed;
            continue;
        }
        confirmReturn(*at->second, now);
        const bool unconfirmed = at->second->unconfirmedUntil > millis();
        const millis nextCheck = std::max(at->second->unconfirmedUntil, now + confirmationRetry);
        m_nextExpiry = std::min({m_nextExpiry, at->second->removeAt, unconfirmed ? nextCheck : millis::never()});
        ++at;
    }
    return removed;
}

std::span<const std::shared_ptr<leaf>> leaf_directory::of(const service_name &service) const
{
    const auto found = m_byService.find(service);
    return found == m_byService.end() ? std::span<const std::shared_ptr<leaf>>() : found->second;
}

std::shared_ptr<leaf> leaf_directory::find(std::string_view id) const
{
    const auto found = m_byId.find(id);
    return found == m_byId.end() ? nullptr : found->second;
}

std::shared_ptr<leaf> leaf_directory::find(leaf_digest digest) const
{
    const auto found = m_byDigest.find(digest);
    return found == m_byDigest.end() ? nullptr : found->second;
}

void leaf_directory::unlink(const leaf &removed)
{
    m_byDigest.erase(digestOf(removed.entry.id));
    const auto found = m_byService.find(removed.entry.service);
    if (found == m_byService.end()) {
        return;
    }
    std::erase_if(found->second, [&](const std::shared_ptr<leaf> &one) { return one.get() == &removed; });
    if (found->second.empty()) {
        m_byService.erase(found);
    }
}

} // namespace chivelock

#include <leafs/leafs.h>

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

namespace chivelock {

namespace {

constexpr double outlivedHeartbeats = 4; // the store removes an entry after three, and tells it
// Between a leaf's last write and the moment at which the store does it, where the store counts as stable by then.
constexpr millis latestWrite(2000);
constexpr millis rememberDeparted(60000); // ten times what the latest write of all takes
constexpr std::size_t mostDeparted = 4096; // some hundred kilobytes; a new set of shards ends some hundred leafs
constexpr millis lookAgain(100); // whether this process is current by now

constexpr millis longestCold(60000); // leafs warm up in seconds; anyone may write anything into an entry

bool isBornAfter(std::optional<millis> birth, std::optional<millis> before)
{
    return birth && before && *birth > *before;
}

/** A heartbeat that was long on its way: of an earlier life of the leaf, or overtaken by a later one of the same. */
bool isOutdated(const leaf_entry &entry, const leaf_entry &known)
{
    if (!entry.bornAt || !known.bornAt) {
        return false; // a lower count may be a new life as well
    }
    return *entry.bornAt < *known.bornAt || entry.sequence < known.sequence;
}

departed_leaf departureOf(const leaf &gone, millis now)
{
    const millis since = std::min(gone.drainSeenAt, gone.missingSince);
    return {since, gone.mayHaveLapsed, gone.entry.draining, gone.entry.bornAt, now + rememberDeparted};
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

millis leaf::stalledSince() const
{
    millis since = millis::never();
    for (const open_send &one : open) {
        // An answer to another request after this one was due shows that the leaf is at work, only this one is long.
        if (lastReplyAt < one.expectedBy) {
            since = std::min(since, one.expectedBy);
        }
    }
    return since;
}

std::optional<millis> leaf::leavingSince() const
{
    const millis since = std::min(drainSeenAt, missingSince);
    return since < millis::never() ? std::optional(since) : std::nullopt;
}

std::string_view leaf::standing() const
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

std::size_t leaf_directory::countIn(const zone_name &zone) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_byId, [&](const auto &one) { return one.second->entry.zone == zone; }));
}

/** Whether an entry that turns out to be missing now may have lapsed for the store's trouble alone. */
bool leaf_directory::mayLapse(millis now) const
{
    return now - m_troubleAt < lapseEcho;
}

/** @return since when an entry that is missing now may have been so. One that lapsed for trouble has its time to return
 *  from the moment at which the store can be read again. */
millis leaf_directory::sinceWhen(bool mayHaveLapsed, millis now) const
{
    return mayHaveLapsed ? now : std::min(now, m_currentAsOf);
}

bool leaf_directory::put(const leaf_entry &entry, millis now)
{
    const auto found = m_byId.find(entry.id);
    if (found == m_byId.end()) {
        add(entry, now);
        return true;
    }
    leaf &known = *found->second;
    if (isBornAfter(entry.bornAt, known.entry.bornAt)) {
        // It holds and knows nothing of before: neither its drain nor what was slow or silent says anything of it.
        unlink(known);
        m_byId.erase(found);
        add(entry, now);
        m_byId.at(entry.id)->bornHereAt = now;
        return true;
    }
    return !isOutdated(entry, known.entry) && update(known, entry, now);
}

void leaf_directory::add(const leaf_entry &entry, millis now)
{
    auto added = std::make_shared<leaf>(entry);
    added->coldUntil = now + std::min(entry.coldFor, longestCold);
    // Since when it drains is not known here, perhaps for as long as it may be asked.
    added->drainSeenAt = entry.draining ? millis() : millis::never();
    if (const auto before = m_departed.find(entry.id); before != m_departed.end()) {
        if (!isBornAfter(entry.bornAt, before->second.bornAt)) {
            takeReturn(*added, before->second, now);
        }
        m_departed.erase(before);
    }
    m_byId.emplace(entry.id, added);
    m_byDigest[digestOf(entry.id)] = added;
    m_byService[entry.service].push_back(std::move(added));
}

/** @return true if something changed that matters. */
bool leaf_directory::update(leaf &known, const leaf_entry &entry, millis now)
{
    const bool returned = known.removeAt < millis::never();
    const bool readableAgain = std::exchange(known.entryUnreadable, false);
    const bool drainsNow = entry.draining && !known.entry.draining;
    if (drainsNow) {
        known.entry.draining = true; // until it ends: what says otherwise was written before
        known.drainSeenAt = std::min({known.drainSeenAt, now, m_currentAsOf});
    }
    if (returned) {
        takeReturn(known, departureOf(known, now), now);
    }
    known.missingSince = millis::never();
    known.removeAt = millis::never();
    known.entry.slots = entry.slots;
    known.entry.sequence = entry.sequence;
    known.coldUntil = now + std::min(entry.coldFor, longestCold);
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
 * A leaf that leaves may have its entry removed and then written once more by a write that was still on its way. Taken
 * for a return, it would get requests for as long as the entry takes to lapse, past the limit. So it counts as leaving
 * since the removal until it has outlived that time. After trouble of the store entries return for good; what a leaf
 * itself said of its leaving holds in any case.
 */
void leaf_directory::takeReturn(leaf &known, const departed_leaf &before, millis now)
{
    known.entry.draining = known.entry.draining || before.draining;
    if (before.mayHaveLapsed && !known.entry.draining) {
        return;
    }
    known.drainSeenAt = std::min(known.drainSeenAt, before.missingSince);
    known.doubtfulUntil = std::max(now, before.missingSince + latestWrite) + m_heartbeat * outlivedHeartbeats;
    m_nextExpiry = std::min(m_nextExpiry, known.doubtfulUntil);
}

/** That it has outlived the time shows only to one that would know of the contrary: the store may be silent. */
void leaf_directory::endDoubt(leaf &known, millis now)
{
    const bool doubtful = known.doubtfulUntil > millis();
    if (doubtful && known.doubtfulUntil <= std::min(now, m_currentAsOf) && known.removeAt == millis::never()) {
        known.doubtfulUntil = millis() - millis::never();
        known.drainSeenAt = known.entry.draining ? known.drainSeenAt : millis::never();
    }
}

bool leaf_directory::remove(std::string_view id, millis now)
{
    const auto found = m_byId.find(id);
    if (found == m_byId.end()) {
        const bool mayHaveLapsed = mayLapse(now);
        keepDeparted(id, {sinceWhen(mayHaveLapsed, now), mayHaveLapsed, false, std::nullopt, now + rememberDeparted});
        return false;
    }
    leaf &gone = *found->second;
    if (gone.removeAt == millis::never()) {
        gone.mayHaveLapsed = mayLapse(now);
        gone.missingSince = sinceWhen(gone.mayHaveLapsed, now);
        gone.removeAt = gone.missingSince + m_hold;
        m_nextExpiry = std::min(m_nextExpiry, gone.removeAt);
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

/** The first word of its end counts. */
void leaf_directory::keepDeparted(std::string_view id, const departed_leaf &gone)
{
    m_departed.try_emplace(std::string(id), gone);
    if (m_departed.size() > mostDeparted) {
        const auto keptUntil = [](const auto &one) { return one.second.keptUntil; };
        m_departed.erase(std::ranges::min_element(m_departed, {}, keptUntil));
    }
}

void leaf_directory::forgetDeparted(millis now)
{
    std::erase_if(m_departed, [&](const auto &one) { return one.second.keptUntil <= now; });
}

std::size_t leaf_directory::expire(millis now)
{
    if (now < m_nextExpiry) {
        return 0;
    }
    m_nextExpiry = millis::never();
    forgetDeparted(now);
    std::size_t removed = 0;
    for (auto at = m_byId.begin(); at != m_byId.end();) {
        if (at->second->removeAt <= now) {
            keepDeparted(at->first, departureOf(*at->second, now));
            unlink(*at->second);
            at = m_byId.erase(at);
            ++removed;
            continue;
        }
        endDoubt(*at->second, now);
        const bool doubtful = at->second->doubtfulUntil > millis();
        const millis nextLook = std::max(at->second->doubtfulUntil, now + lookAgain);
        m_nextExpiry = std::min({m_nextExpiry, at->second->removeAt, doubtful ? nextLook : millis::never()});
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

void leaf_directory::unlink(const leaf &gone)
{
    m_byDigest.erase(digestOf(gone.entry.id));
    const auto found = m_byService.find(gone.entry.service);
    if (found == m_byService.end()) {
        return;
    }
    std::erase_if(found->second, [&](const std::shared_ptr<leaf> &one) { return one.get() == &gone; });
    if (found->second.empty()) {
        m_byService.erase(found);
    }
}

} // namespace chivelock

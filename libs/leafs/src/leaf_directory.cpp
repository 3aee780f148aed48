#include <leafs/leafs.h>

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

namespace chivelock {

namespace {

constexpr double lapseHeartbeats = 3.5; // the store removes an entry after three intervals without a word
// After the store's trouble, within which entries that lapsed for it come back. They need two seconds; four after its
// trouble the store's word counts again, and whoever reads it notices the end up to a second late.
constexpr millis troubleEcho(2500);
constexpr millis troubleGap(1000); // between two signs of trouble that are not the same one

constexpr millis longestCold(60000); // leafs warm up in seconds; anyone may write anything into an entry

bool bornLater(const leaf_entry &entry, const leaf_entry &known)
{
    return entry.bornAt && known.bornAt && *entry.bornAt > *known.bornAt;
}

/** A heartbeat that was long on its way: of an earlier life of the leaf, or overtaken by a later one of the same. */
bool isOutdated(const leaf_entry &entry, const leaf_entry &known)
{
    if (!entry.bornAt || !known.bornAt) {
        return false; // a lower count may be a new life as well
    }
    return *entry.bornAt < *known.bornAt || entry.sequence < known.sequence;
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

void leaf_directory::noteStoreTrouble(millis now)
{
    if (now - m_troubleAt > troubleGap) {
        m_troubleSince = now;
    }
    m_troubleAt = now;
}

/** Whether an entry that is missing from then on may have lapsed for the store's trouble alone. */
bool leaf_directory::mayLapseAt(millis at) const
{
    return at >= m_troubleSince && at - m_troubleAt < troubleEcho;
}

bool leaf_directory::put(const leaf_entry &entry, millis now)
{
    const auto found = m_byId.find(entry.id);
    if (found == m_byId.end()) {
        add(entry, now);
        return true;
    }
    leaf &known = *found->second;
    if (bornLater(entry, known.entry)) {
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
    if (const auto removed = m_removedUnseen.find(entry.id); removed != m_removedUnseen.end()) {
        if (!mayLapseAt(removed->second)) {
            takeReturn(*added, removed->second, now);
        }
        m_removedUnseen.erase(removed);
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
    if (returned && !known.mayHaveLapsed) {
        takeReturn(known, known.missingSince, now);
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
 * A leaf that leaves may have its entry removed and then written once more by a heartbeat that was still on its way.
 * Taken for a return, it would get requests for as long as the entry takes to lapse, past the limit. So it counts as
 * leaving since the removal until it has outlived that time. After trouble of the store entries return for good; what a
 * leaf itself said of its leaving holds in any case.
 */
void leaf_directory::takeReturn(leaf &known, millis removedAt, millis now)
{
    known.drainSeenAt = std::min(known.drainSeenAt, removedAt);
    known.doubtfulUntil = now + m_heartbeat * lapseHeartbeats;
    m_nextExpiry = std::min(m_nextExpiry, known.doubtfulUntil);
}

void leaf_directory::endDoubt(leaf &known, millis now)
{
    const bool doubtful = known.doubtfulUntil > millis();
    if (doubtful && known.doubtfulUntil <= now && known.removeAt == millis::never()) {
        known.doubtfulUntil = millis() - millis::never();
        known.drainSeenAt = known.entry.draining ? known.drainSeenAt : millis::never();
    }
}

bool leaf_directory::remove(std::string_view id, millis now)
{
    const auto found = m_byId.find(id);
    if (found == m_byId.end()) {
        m_removedUnseen[std::string(id)] = now;
        return false;
    }
    leaf &gone = *found->second;
    if (gone.removeAt == millis::never()) {
        gone.missingSince = now;
        gone.mayHaveLapsed = mayLapseAt(now);
        gone.removeAt = now + m_hold;
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

std::size_t leaf_directory::expire(millis now)
{
    if (now < m_nextExpiry) {
        return 0;
    }
    m_nextExpiry = millis::never();
    std::erase_if(m_removedUnseen, [&](const auto &one) { return one.second + m_heartbeat * lapseHeartbeats <= now; });
    std::size_t removed = 0;
    for (auto at = m_byId.begin(); at != m_byId.end();) {
        if (at->second->removeAt <= now) {
            unlink(*at->second);
            at = m_byId.erase(at);
            ++removed;
            continue;
        }
        endDoubt(*at->second, now);
        const bool doubtful = at->second->doubtfulUntil > now;
        m_nextExpiry =
            std::min({m_nextExpiry, at->second->removeAt, doubtful ? at->second->doubtfulUntil : millis::never()});
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

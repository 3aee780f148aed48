#include <quarantine/quarantine.h>

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace chivelock {

namespace {

// More crashes of one attempt add no evidence, and those of a lookup over 180 shards would fill a message.
constexpr std::size_t maxCrashesPerAttempt = 3;
constexpr std::size_t maxAttempts = 8; // the newest are kept; fewer than these already give the longest hold

/** Longest time that a report takes to the other VMs. A crash that is received after a later answer must not count. */
constexpr millis maxReportDelay(500);

/** Crashes within this time are one event: a host fails, or one request crashes all leafs that run it. */
constexpr millis eventDuration(250);

constexpr std::size_t answerSlots = 4096; // a power of two; 128 kB

millis lastCrashTime(const request_evidence &about)
{
    millis last = millis() - millis::never();
    for (const leaf_crash &one : about.ends) {
        last = std::max(last, one.at);
    }
    return last;
}

std::size_t crashesOfAttempt(const request_evidence &about, attempt_tag attempt)
{
    return static_cast<std::size_t>(std::ranges::count(about.ends, attempt, &leaf_crash::attempt));
}

void dropOldestAttempt(request_evidence &of)
{
    const attempt_tag oldest = std::ranges::min(of.ends, {}, &leaf_crash::at).attempt;
    std::erase_if(of.ends, [&](const leaf_crash &one) { return one.attempt == oldest; });
}

} // namespace

std::size_t crashedLeafs(const request_evidence &about)
{
    std::set<leaf_digest> leafs;
    for (const leaf_crash &one : about.ends) {
        if (one.leaf != noLeaf) {
            leafs.insert(one.leaf);
        }
    }
    return leafs.size();
}

std::size_t failedAttempts(const request_evidence &about)
{
    std::set<attempt_tag> attempts;
    for (const leaf_crash &one : about.ends) {
        attempts.insert(one.attempt);
    }
    return attempts.size();
}

canary_outcomes canaryOutcomesOf(const request_evidence &about)
{
    std::vector<leaf_crash> canaries;
    std::ranges::copy_if(about.ends, std::back_inserter(canaries), &leaf_crash::alone);
    std::ranges::sort(canaries, {}, &leaf_crash::at);
    canary_outcomes outcomes;
    millis eventEnd = millis() - millis::never();
    bool leafCrashed = false;
    for (const leaf_crash &one : canaries) {
        if (one.at > eventEnd) {
            outcomes.failed += 1;
            eventEnd = one.at + eventDuration;
            leafCrashed = false;
        }
        outcomes.crashed += one.leaf != noLeaf && !leafCrashed ? 1 : 0;
        leafCrashed = leafCrashed || one.leaf != noLeaf;
    }
    return outcomes;
}

std::size_t answered_request_cache::slotIndex(const request_fingerprint &key)
{
    return static_cast<std::size_t>(key.content ^ key.caller) & (answerSlots - 1);
}

void answered_request_cache::record(const request_fingerprint &key, millis now)
{
    if (!key.isKnown()) {
        return;
    }
    if (m_slots.empty()) {
        m_slots.resize(answerSlots);
    }
    constexpr std::uint32_t maxRepeats = 64; // bounds how many colliding requests a formerly popular one withstands
    slot &here = m_slots[slotIndex(key)];
    if (here.key == key) {
        here.at = now;
        here.repeats = std::min(here.repeats + 1, maxRepeats);
    } else if (here.repeats > 0) {
        here.repeats -= 1;
    } else {
        here = {key, now, 0};
    }
}

bool answered_request_cache::contains(const request_fingerprint &key, millis within, millis now) const
{
    if (m_slots.empty()) {
        return false;
    }
    const slot &here = m_slots[slotIndex(key)];
    return here.key == key && now < here.at + within;
}

route_digest digestOfRoute(std::string_view name)
{
    return static_cast<route_digest>(XXH3_64bits(name.data(), name.size()));
}

std::string_view toString(quarantine_state state)
{
    switch (state) {
    case quarantine_state::Clear:
        return "clear";
    case quarantine_state::Suspect:
        return "suspect";
    case quarantine_state::Quarantined:
        return "quarantined";
    }
    return "unknown";
}

request_ledger::request_ledger(quarantine_settings settings, std::uint64_t seed)
    : m_settings(settings)
    , m_seed(seed)
{
}

const request_evidence *request_ledger::find(const request_fingerprint &key) const
{
    const auto found = m_known.find(key);
    return found == m_known.end() ? nullptr : &found->second;
}

/**
 * Requires crashed canary requests besides crashed leafs. Without them, a lookup that hundreds of callers sent was
 * refused by all VMs for ten minutes: some attempt of it is always in flight, so two of its attempts had lost three
 * leafs whenever another request crashed some.
 */
bool request_ledger::isQueryOfDeath(const request_evidence &about) const
{
    if (crashedLeafs(about) < m_settings.leafsForVerdict) {
        return false;
    }
    const canary_outcomes canaries = canaryOutcomesOf(about);
    if (about.vouched) {
        return canaries.crashed >= m_settings.canariesForAnswered;
    }
    return canaries.crashed >= m_settings.canariesForVerdict || canaries.failed >= m_settings.failedCanariesForVerdict;
}

/**
 * Whether the canary leaf ran another suspect when it crashed, so that this request may not be the cause. Both are then
 * tried again soon, and one more canary request at another time decides. A request that leafs had answered before does
 * not make others ambiguous.
 */
bool request_ledger::isAmbiguous(const request_evidence &about) const
{
    const canary_outcomes canaries = canaryOutcomesOf(about);
    if (canaries.crashed != m_settings.canariesForVerdict || canaries.failed >= m_settings.failedCanariesForVerdict) {
        return false;
    }
    const auto isShared = [&](const leaf_crash &own) {
        return own.alone && std::ranges::any_of(m_known, [&](const auto &one) {
                   const request_evidence &other = one.second;
                   return other.key != about.key && !other.vouched
                       && std::ranges::any_of(other.ends, [&](const leaf_crash &end) {
                              return end.leaf == own.leaf && end.at <= own.at + eventDuration
                                  && own.at <= end.at + eventDuration;
                          });
               });
    };
    return std::ranges::any_of(about.ends, isShared);
}

/** The hold doubles for each further attempt that no leaf survived: it was sent after a hold, or was in flight during
 *  the verdict. */
millis request_ledger::releaseAt(const request_evidence &about) const
{
    if (isAmbiguous(about)) {
        return lastCrashTime(about) + m_settings.ambiguousHold;
    }
    constexpr std::size_t attemptsForFirstVerdict = 2;
    const std::size_t further = failedAttempts(about) - std::min(failedAttempts(about), attemptsForFirstVerdict);
    const auto doublings = static_cast<int>(std::min<std::size_t>(further, m_settings.maxHoldDoublings));
    constexpr std::uint64_t steps = 1024;
    const std::uint64_t draw = XXH3_64bits_withSeed(&about.key, sizeof about.key, m_seed) % steps;
    const double share = static_cast<double>(draw) / steps;
    return lastCrashTime(about) + m_settings.hold * std::ldexp(1 + m_settings.holdJitter * share, doublings);
}

quarantine_state request_ledger::quarantineStateOf(const request_fingerprint &key, millis now) const
{
    const request_evidence *known = m_known.empty() ? nullptr : find(key);
    if (known == nullptr || known->ends.empty()) {
        return quarantine_state::Clear;
    }
    const bool refused = isQueryOfDeath(*known) && now < releaseAt(*known);
    return refused ? quarantine_state::Quarantined : quarantine_state::Suspect;
}

millis request_ledger::quarantineRemaining(const request_fingerprint &key, millis now) const
{
    return quarantineStateOf(key, now) == quarantine_state::Quarantined ? releaseAt(*find(key)) - now : millis();
}

bool request_ledger::requiresCanary(route_digest route, millis now) const
{
    const auto found = m_canariesUntil.find(route);
    return found != m_canariesUntil.end() && now < found->second;
}

/** @return whether the crash was new and counts. */
bool request_ledger::addCrash(request_evidence &to, const leaf_crash &crash) const
{
    const bool known = std::ranges::any_of(
        to.ends, [&](const leaf_crash &one) { return one.attempt == crash.attempt && one.leaf == crash.leaf; });
    const bool answeredSince = crash.at <= to.answeredAt + maxReportDelay;
    const bool enough = crashesOfAttempt(to, crash.attempt) >= maxCrashesPerAttempt;
    if (known || answeredSince || enough) {
        return false;
    }
    to.ends.push_back(crash);
    if (failedAttempts(to) > maxAttempts) {
        dropOldestAttempt(to);
    }
    return true;
}

bool request_ledger::joinOne(const request_evidence &received, millis now)
{
    const bool known = m_known.contains(received.key);
    if (!received.key.isKnown() || (!known && received.ends.empty())) {
        return false;
    }
    if (!known) {
        evictIfFull();
    }
    request_evidence &here = m_known[received.key];
    here.key = received.key;
    here.route = received.route;
    // Ages grow in transit. The same answer received over two paths must not count as a newer one, or the VMs would
    // forward it in a cycle forever.
    const bool answered = received.answeredAt > here.answeredAt + maxReportDelay;
    if (answered) {
        here.answeredAt = received.answeredAt;
        std::erase_if(here.ends, [&](const leaf_crash &one) { return one.at <= received.answeredAt + maxReportDelay; });
    }
    const bool isFirst = here.ends.empty();
    const auto added = std::ranges::count_if(received.ends, [&](const leaf_crash &one) { return addCrash(here, one); });
    if (isFirst && added > 0) {
        here.vouched = false;
    }
    const bool receivedVouched = received.vouched && !here.vouched && !here.ends.empty();
    here.vouched = here.vouched || receivedVouched;
    if (!here.vouched && added > 0 && wasAnsweredRecently(here.key, now)) {
        here.vouched = true;
        m_updates.insert(here.key);
    }
    updateCanaryRoutes(here);
    return answered || added > 0 || receivedVouched;
}

void request_ledger::updateCanaryRoutes(const request_evidence &about)
{
    for (const leaf_crash &one : about.ends) {
        // While the route requires a canary, few leafs are asked at a time, so one crash is as much evidence as several
        // before.
        const bool continues = one.leaf != noLeaf && requiresCanary(about.route, one.at);
        if (continues || crashesOfAttempt(about, one.attempt) >= m_settings.leafsForCanaries || isQueryOfDeath(about)) {
            millis &until = m_canariesUntil[about.route];
            until = std::max(until, one.at + m_settings.canaryFor);
        }
    }
}

std::size_t request_ledger::countCrashingRequests(route_digest route, millis now) const
{
    std::vector<std::pair<millis, request_fingerprint>> crashes;
    for (const auto &[key, about] : m_known) {
        for (const leaf_crash &one : about.ends) {
            if (about.route == route && !about.vouched && one.leaf != noLeaf && now < one.at + m_settings.canaryFor) {
                crashes.emplace_back(one.at, key);
            }
        }
    }
    std::ranges::sort(crashes);
    std::set<request_fingerprint> explained;
    std::size_t count = 0;
    for (auto event = crashes.begin(); event != crashes.end();) {
        const auto end = std::find_if(
            event, crashes.end(), [&](const auto &one) { return one.first > event->first + eventDuration; });
        const bool isNew = std::none_of(event, end, [&](const auto &one) { return explained.contains(one.second); });
        count += isNew ? 1 : 0;
        std::for_each(event, end, [&](const auto &one) { explained.insert(one.second); });
        event = end;
    }
    return count;
}

void request_ledger::recordCrashes(const request_fingerprint &key,
                                   route_digest route,
                                   attempt_tag attempt,
                                   std::span<const leaf_digest> leafs,
                                   bool alone,
                                   millis now)
{
    request_evidence observed;
    observed.key = key;
    observed.route = route;
    std::ranges::transform(leafs, std::back_inserter(observed.ends), [&](leaf_digest one) {
        return leaf_crash {attempt, one, now, alone};
    });
    if (joinOne(observed, now)) {
        m_updates.insert(key);
    }
}

bool request_ledger::recordAnswer(const request_fingerprint &key, millis now)
{
    m_answered.record(key, now);
    const auto known = m_known.empty() ? m_known.end() : m_known.find(key);
    if (known == m_known.end() || known->second.ends.empty()) {
        return false;
    }
    known->second.answeredAt = now;
    known->second.ends.clear();
    m_updates.insert(key);
    return true;
}

std::vector<request_evidence> request_ledger::join(std::span<const request_evidence> received, millis now)
{
    std::vector<request_evidence> updates;
    for (const request_evidence &one : received) {
        if (joinOne(one, now)) {
            updates.push_back(*find(one.key));
        }
    }
    return updates;
}

std::vector<request_evidence> request_ledger::takeUpdates()
{
    std::vector<request_evidence> updates;
    for (const request_fingerprint &key : std::exchange(m_updates, {})) {
        if (const request_evidence *known = find(key)) {
            updates.push_back(*known);
        }
    }
    return updates;
}

std::vector<request_evidence> request_ledger::all() const
{
    std::vector<request_evidence> result;
    std::ranges::transform(m_known, std::back_inserter(result), [](const auto &one) { return one.second; });
    return result;
}

millis request_ledger::expiryOf(const request_evidence &about) const
{
    if (about.ends.empty()) {
        return about.answeredAt + m_settings.canaryFor; // until no VM sends crashes any more that the answer refutes
    }
    // Kept for one more hold after the release: a request whose first attempt then crashes a leaf is refused at once.
    return isQueryOfDeath(about) ? releaseAt(about) + m_settings.hold : lastCrashTime(about) + m_settings.hold;
}

void request_ledger::expire(millis now)
{
    constexpr millis expiryInterval(1000); // no time here needs a precision of one second
    if (now < m_nextExpiry) {
        return;
    }
    m_nextExpiry = now + expiryInterval;
    std::erase_if(m_known, [&](const auto &one) { return expiryOf(one.second) <= now; });
    std::erase_if(m_canariesUntil, [&](const auto &one) { return one.second <= now; });
}

/** A caller that changes its request each time can fill any table. Evicts requests without a verdict first, and of
 *  equals the one with the oldest crash. */
void request_ledger::evictIfFull()
{
    if (m_known.size() < m_settings.capacity) {
        return;
    }
    const auto rank = [&](const auto &one) { return std::pair(isQueryOfDeath(one.second), lastCrashTime(one.second)); };
    m_known.erase(std::ranges::min_element(m_known, {}, rank));
}

} // namespace chivelock

#include <quarantine/quarantine.h>

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace chivelock {

namespace {

// Of one attempt more ends say no more, and a lookup over 180 shards would fill a message with them.
constexpr std::size_t mostEndsOfAttempt = 3;
constexpr std::size_t mostAttempts = 8; // the newest: each is one more try, and the hold grows by less of them

/** What is told takes this long at most: an end that is heard after the answer that followed it must not count. */
constexpr millis answerCovers(500);

/** Leafs that end within this time are one event: a host goes, or one request ends all that have it. */
constexpr millis eventLasts(250);

constexpr std::size_t answersRemembered = 4096; // a power of two; 128 kB

millis lastEndOf(const request_evidence &about)
{
    millis last = millis() - millis::never();
    for (const leaf_end &one : about.ends) {
        last = std::max(last, one.at);
    }
    return last;
}

std::size_t endsOfAttempt(const request_evidence &about, attempt_tag attempt)
{
    return static_cast<std::size_t>(std::ranges::count(about.ends, attempt, &leaf_end::attempt));
}

void dropOldestAttempt(request_evidence &of)
{
    const attempt_tag oldest = std::ranges::min(of.ends, {}, &leaf_end::at).attempt;
    std::erase_if(of.ends, [&](const leaf_end &one) { return one.attempt == oldest; });
}

} // namespace

std::size_t endedLeafs(const request_evidence &about)
{
    std::set<leaf_digest> leafs;
    for (const leaf_end &one : about.ends) {
        if (one.leaf != noLeaf) {
            leafs.insert(one.leaf);
        }
    }
    return leafs.size();
}

std::size_t triesInVain(const request_evidence &about)
{
    std::set<attempt_tag> attempts;
    for (const leaf_end &one : about.ends) {
        attempts.insert(one.attempt);
    }
    return attempts.size();
}

trial_events trialsOf(const request_evidence &about)
{
    std::vector<leaf_end> trials;
    std::ranges::copy_if(about.ends, std::back_inserter(trials), &leaf_end::alone);
    std::ranges::sort(trials, {}, &leaf_end::at);
    trial_events events;
    millis eventUntil = millis() - millis::never();
    bool leafEnded = false;
    for (const leaf_end &one : trials) {
        if (one.at > eventUntil) {
            events.inVain += 1;
            eventUntil = one.at + eventLasts;
            leafEnded = false;
        }
        events.ended += one.leaf != noLeaf && !leafEnded ? 1 : 0;
        leafEnded = leafEnded || one.leaf != noLeaf;
    }
    return events;
}

std::size_t answer_memory::placeOf(const request_fingerprint &key)
{
    return static_cast<std::size_t>(key.content ^ key.caller) & (answersRemembered - 1);
}

void answer_memory::note(const request_fingerprint &key, millis now)
{
    if (!key.isKnown()) {
        return;
    }
    if (m_places.empty()) {
        m_places.resize(answersRemembered);
    }
    constexpr std::uint32_t mostRepeats = 64; // a popular one that is asked no more goes after as many others
    place &here = m_places[placeOf(key)];
    if (here.key == key) {
        here.at = now;
        here.repeats = std::min(here.repeats + 1, mostRepeats);
    } else if (here.repeats > 0) {
        here.repeats -= 1;
    } else {
        here = {key, now, 0};
    }
}

bool answer_memory::knows(const request_fingerprint &key, millis within, millis now) const
{
    if (m_places.empty()) {
        return false;
    }
    const place &here = m_places[placeOf(key)];
    return here.key == key && now < here.at + within;
}

route_digest digestOfRoute(std::string_view name)
{
    return static_cast<route_digest>(XXH3_64bits(name.data(), name.size()));
}

std::string_view toString(request_standing standing)
{
    switch (standing) {
    case request_standing::Clear:
        return "clear";
    case request_standing::Suspect:
        return "suspect";
    case request_standing::Quarantined:
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
 * Without trials a lookup that hundreds ask for was refused by all VMs for ten minutes: it is always under way
 * somewhere, so that two of its attempts had lost three leafs whenever another request ended some.
 */
bool request_ledger::isGuilty(const request_evidence &about) const
{
    if (endedLeafs(about) < m_settings.leafsForVerdict) {
        return false;
    }
    const trial_events trials = trialsOf(about);
    if (about.vouched) {
        return trials.ended >= m_settings.trialsForVouched;
    }
    return trials.ended >= m_settings.trialsForVerdict || trials.inVain >= m_settings.silentTrialsForVerdict;
}

/**
 * Of two suspects that a leaf had when it ended, one may be innocent. It is tried again soon; with the evidence of one
 * more trial, at another moment, there is no doubt. One that leafs answered before makes nobody else doubtful.
 */
bool request_ledger::isDoubtful(const request_evidence &about) const
{
    const trial_events trials = trialsOf(about);
    if (trials.ended != m_settings.trialsForVerdict || trials.inVain >= m_settings.silentTrialsForVerdict) {
        return false;
    }
    const auto isShared = [&](const leaf_end &own) {
        return own.alone && std::ranges::any_of(m_known, [&](const auto &one) {
                   const request_evidence &other = one.second;
                   return other.key != about.key && !other.vouched
                       && std::ranges::any_of(other.ends, [&](const leaf_end &end) {
                              return end.leaf == own.leaf && end.at <= own.at + eventLasts
                                  && own.at <= end.at + eventLasts;
                          });
               });
    };
    return std::ranges::any_of(about.ends, isShared);
}

/** Each further attempt that ended a leaf was a try after a hold, or one on the way while the verdict was: it doubles.
 */
millis request_ledger::releaseAt(const request_evidence &about) const
{
    if (isDoubtful(about)) {
        return lastEndOf(about) + m_settings.doubtfulHold;
    }
    constexpr std::size_t triesOfFirstVerdict = 2;
    const std::size_t further = triesInVain(about) - std::min(triesInVain(about), triesOfFirstVerdict);
    const auto doublings = static_cast<int>(std::min<std::size_t>(further, m_settings.mostDoublings));
    constexpr std::uint64_t steps = 1024;
    const std::uint64_t draw = XXH3_64bits_withSeed(&about.key, sizeof about.key, m_seed) % steps;
    const double share = static_cast<double>(draw) / steps;
    return lastEndOf(about) + m_settings.hold * std::ldexp(1 + m_settings.spread * share, doublings);
}

request_standing request_ledger::standingOf(const request_fingerprint &key, millis now) const
{
    const request_evidence *known = m_known.empty() ? nullptr : find(key);
    if (known == nullptr || known->ends.empty()) {
        return request_standing::Clear;
    }
    const bool refused = isGuilty(*known) && now < releaseAt(*known);
    return refused ? request_standing::Quarantined : request_standing::Suspect;
}

millis request_ledger::heldFor(const request_fingerprint &key, millis now) const
{
    return standingOf(key, now) == request_standing::Quarantined ? releaseAt(*find(key)) - now : millis();
}

bool request_ledger::isGuarded(route_digest route, millis now) const
{
    const auto found = m_guardedUntil.find(route);
    return found != m_guardedUntil.end() && now < found->second;
}

/** @return whether it was not known. */
bool request_ledger::addEnd(request_evidence &to, const leaf_end &end) const
{
    const bool known = std::ranges::any_of(
        to.ends, [&](const leaf_end &one) { return one.attempt == end.attempt && one.leaf == end.leaf; });
    const bool answeredSince = end.at <= to.answeredAt + answerCovers;
    const bool enough = endsOfAttempt(to, end.attempt) >= mostEndsOfAttempt;
    if (known || answeredSince || enough) {
        return false;
    }
    to.ends.push_back(end);
    if (triesInVain(to) > mostAttempts) {
        dropOldestAttempt(to);
    }
    return true;
}

bool request_ledger::joinOne(const request_evidence &told, millis now)
{
    const bool known = m_known.contains(told.key);
    if (!told.key.isKnown() || (!known && told.ends.empty())) {
        return false;
    }
    if (!known) {
        makeRoom();
    }
    request_evidence &here = m_known[told.key];
    here.key = told.key;
    here.route = told.route;
    // Ages grow on the way: the same answer heard by two ways must not pass for a later one, or it would run in
    // circles.
    const bool answered = told.answeredAt > here.answeredAt + answerCovers;
    if (answered) {
        here.answeredAt = told.answeredAt;
        std::erase_if(here.ends, [&](const leaf_end &one) { return one.at <= told.answeredAt + answerCovers; });
    }
    const bool isFirst = here.ends.empty();
    const auto added = std::ranges::count_if(told.ends, [&](const leaf_end &one) { return addEnd(here, one); });
    if (isFirst && added > 0) {
        here.vouched = false;
    }
    const bool toldVouched = told.vouched && !here.vouched && !here.ends.empty();
    here.vouched = here.vouched || toldVouched;
    if (!here.vouched && added > 0 && wasAnswered(here.key, now)) {
        here.vouched = true;
        m_news.insert(here.key);
    }
    updateGuard(here);
    return answered || added > 0 || toldVouched;
}

void request_ledger::updateGuard(const request_evidence &about)
{
    for (const leaf_end &one : about.ends) {
        // While it is guarded few leafs are asked at a time, so one that ends says as much as several did before.
        const bool goesOn = one.leaf != noLeaf && isGuarded(about.route, one.at);
        if (goesOn || endsOfAttempt(about, one.attempt) >= m_settings.leafsForGuard || isGuilty(about)) {
            millis &until = m_guardedUntil[about.route];
            until = std::max(until, one.at + m_settings.guardFor);
        }
    }
}

void request_ledger::addEnds(const request_fingerprint &key,
                             route_digest route,
                             attempt_tag attempt,
                             std::span<const leaf_digest> leafs,
                             bool alone,
                             millis now)
{
    request_evidence seen;
    seen.key = key;
    seen.route = route;
    std::ranges::transform(leafs, std::back_inserter(seen.ends), [&](leaf_digest one) {
        return leaf_end {attempt, one, now, alone};
    });
    if (joinOne(seen, now)) {
        m_news.insert(key);
    }
}

bool request_ledger::addAnswer(const request_fingerprint &key, millis now)
{
    m_answered.note(key, now);
    const auto known = m_known.empty() ? m_known.end() : m_known.find(key);
    if (known == m_known.end() || known->second.ends.empty()) {
        return false;
    }
    known->second.answeredAt = now;
    known->second.ends.clear();
    m_news.insert(key);
    return true;
}

std::vector<request_evidence> request_ledger::join(std::span<const request_evidence> told, millis now)
{
    std::vector<request_evidence> news;
    for (const request_evidence &one : told) {
        if (joinOne(one, now)) {
            news.push_back(*find(one.key));
        }
    }
    return news;
}

std::vector<request_evidence> request_ledger::takeNews()
{
    std::vector<request_evidence> news;
    for (const request_fingerprint &key : std::exchange(m_news, {})) {
        if (const request_evidence *known = find(key)) {
            news.push_back(*known);
        }
    }
    return news;
}

std::vector<request_evidence> request_ledger::all() const
{
    std::vector<request_evidence> result;
    std::ranges::transform(m_known, std::back_inserter(result), [](const auto &one) { return one.second; });
    return result;
}

millis request_ledger::forgetAt(const request_evidence &about) const
{
    if (about.ends.empty()) {
        return about.answeredAt + m_settings.guardFor; // until nobody tells any more of what it answered for
    }
    // After its release for as long again: whoever ends a leaf at the first try then is refused at once.
    return isGuilty(about) ? releaseAt(about) + m_settings.hold : lastEndOf(about) + m_settings.hold;
}

void request_ledger::expire(millis now)
{
    constexpr millis betweenLooks(1000); // nothing here is told to the second
    if (now < m_nextExpiry) {
        return;
    }
    m_nextExpiry = now + betweenLooks;
    std::erase_if(m_known, [&](const auto &one) { return forgetAt(one.second) <= now; });
    std::erase_if(m_guardedUntil, [&](const auto &one) { return one.second <= now; });
}

/** Whoever changes a request each time fills any table: what has no verdict goes first, then what is oldest. */
void request_ledger::makeRoom()
{
    if (m_known.size() < m_settings.capacity) {
        return;
    }
    const auto rank = [&](const auto &one) { return std::pair(isGuilty(one.second), lastEndOf(one.second)); };
    m_known.erase(std::ranges::min_element(m_known, {}, rank));
}

} // namespace chivelock

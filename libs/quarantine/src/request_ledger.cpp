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

/** Attempts in which leafs ended. */
std::size_t attemptsOf(const request_evidence &about)
{
    std::set<attempt_tag> attempts;
    for (const leaf_end &one : about.ends) {
        if (one.leaf != noLeaf) {
            attempts.insert(one.attempt);
        }
    }
    return attempts.size();
}

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

bool request_ledger::isGuilty(const request_evidence &about) const
{
    const bool isPattern =
        attemptsOf(about) >= m_settings.attemptsForVerdict || triesInVain(about) >= m_settings.triesForVerdict;
    return endedLeafs(about) >= m_settings.leafsForVerdict && isPattern;
}

/** Each further attempt that ended a leaf was a try after a hold, or one on the way while the verdict was: it doubles.
 */
millis request_ledger::releaseAt(const request_evidence &about) const
{
    const std::size_t further = triesInVain(about) - std::min(triesInVain(about), m_settings.attemptsForVerdict);
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

bool request_ledger::joinOne(const request_evidence &told)
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
    const auto added = std::ranges::count_if(told.ends, [&](const leaf_end &one) { return addEnd(here, one); });
    updateGuard(here);
    return answered || added > 0;
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
                             millis now)
{
    request_evidence seen;
    seen.key = key;
    seen.route = route;
    std::ranges::transform(leafs, std::back_inserter(seen.ends), [&](leaf_digest one) {
        return leaf_end {attempt, one, now};
    });
    if (joinOne(seen)) {
        m_news.insert(key);
    }
}

void request_ledger::addAnswer(const request_fingerprint &key, millis now)
{
    const auto known = m_known.find(key);
    if (known == m_known.end() || known->second.ends.empty()) {
        return;
    }
    known->second.answeredAt = now;
    known->second.ends.clear();
    m_news.insert(key);
}

std::vector<request_evidence> request_ledger::join(std::span<const request_evidence> told)
{
    std::vector<request_evidence> news;
    for (const request_evidence &one : told) {
        if (joinOne(one)) {
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

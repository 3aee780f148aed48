/** @file Whom a process follows, and when it reads the store for itself. */

#include <fleet/fleet.h>

#include <algorithm>
#include <cmath>

namespace chivelock {

namespace {

constexpr millis redialInterval(200);
constexpr std::size_t mostReferrals = 12; // some levels of the tree, two tries at each
constexpr std::size_t referralsAtOnce = 2;

// A draw's chance doubles each time, so that in a fleet of any size a few draw first and are followed by the rest, and
// the last has drawn after ten draws. The seeds begin with a better one: the others look for them.
constexpr double firstChance = 1.0 / 1024;
constexpr double firstChanceOfSeed = 1.0 / 16;

// With a live process above whose store is lost, so many of the whole fleet try the store at each draw. If half of the
// VMs are turned away, one of the first four is served; if the store is down, a fleet of 300 calls it 16 times in the
// first second instead of 300 times.
constexpr double readersPerDraw = 2;

bool contains(std::span<const std::string> list, std::string_view one)
{
    return std::ranges::find(list, one) != list.end();
}

} // namespace

bool fleet_node::isSeed() const
{
    return contains(m_settings.seeds, m_settings.address);
}

/** Processes that this one may follow: seeds named before it, so that two seeds never wait for each other. */
std::vector<std::string> fleet_node::candidates() const
{
    const auto self = std::ranges::find(m_settings.seeds, m_settings.address);
    const bool readsInVain = m_phase == phase::Reading && !storeOk();
    const bool anySeed = readsInVain || m_leaving; // nobody waits for one that is not followed
    std::vector<std::string> result(m_settings.seeds.begin(), anySeed ? m_settings.seeds.end() : self);
    std::erase(result, m_settings.address);
    return result;
}

void fleet_node::seek(millis now)
{
    m_phase = phase::Seeking;
    m_draws = 0;
    m_nextDraw = now + m_settings.drawInterval;
    m_redialAt = now + redialInterval;
    m_promisedUntil = millis();
    m_referrals = 0;
    m_seedsDialled = 0;
    const std::vector<std::string> known = candidates();
    if (known.empty()) {
        becomeReader("nobody_before_it", now);
        return;
    }
    m_nextSeed = m_random.below(known.size());
    dialNext();
}

/**
 * One seed at a time, beginning with any. When all processes of a fleet start at once and each asks all seeds again and
 * again, the seeds are busy with nothing but that: 295 VMs, seeds with 0.12 of a core, configuration in force 3 to 8 s
 * after the start instead of 0.3 s.
 */
void fleet_node::dialNext()
{
    const std::vector<std::string> known = candidates();
    if (m_seedsDialled < known.size()) {
        m_seedsDialled += 1;
        dial(known[m_nextSeed++ % known.size()]);
    }
}

void fleet_node::lookAgain(millis now)
{
    m_redialAt = now + redialInterval;
    m_seedsDialled = 0;
    m_referrals = 0;
    dialNext();
}

/** Another process may read, too; one of them is enough. */
void fleet_node::lookForReader(millis now)
{
    m_nextMerge = now + (m_leaving ? m_settings.drawInterval : m_settings.mergeInterval * (1 + m_random.uniform()));
    m_referrals = 0;
    dropCandidates(0);
    std::ranges::for_each(candidates(), [this](const std::string &address) { dial(address); });
    // The one whose store was lost looks for another reader at the seeds, which may all be dead.
    dial(std::exchange(m_lastTop, {}));
}

void fleet_node::dial(const std::string &address)
{
    const bool known =
        std::ranges::any_of(m_candidates, [&](const auto &one) { return one.second.address == address; });
    if (known || address == m_settings.address || address.empty()) {
        return;
    }
    const link_id link = m_nextLink++;
    m_candidates.emplace(link, candidate {address, m_members});
    m_actions.emplace_back(dial_action {link, address});
}

void fleet_node::dropCandidates(link_id except)
{
    for (const auto &[link, one] : m_candidates) {
        if (link != except) {
            m_actions.emplace_back(hang_up_action {link});
        }
    }
    m_candidates.clear();
}

void fleet_node::becomeReader(std::string_view why, millis now)
{
    dropCandidates(0);
    m_phase = phase::Reading;
    m_starting = true;
    m_upstream = 0;
    m_wholeAsked.clear();
    // Nobody is told that the store can be read before it has answered: those below would wait in vain.
    std::ranges::for_each(m_readOk, [](auto &one) { one.second = false; });
    m_nextMerge = now + m_settings.mergeInterval * (1 + m_random.uniform());
    noteSize(subtree(), now);
    note("reads_store", std::string(why), millis());
    m_actions.emplace_back(read_action {true});
    refreshMembers();
    tellFollowers(now);
    answerWaiting(now);
}

void fleet_node::onLinkOpen(link_id link, millis now)
{
    (void)now;
    const auto found = m_candidates.find(link);
    if (found != m_candidates.end()) {
        follow_request request = ownRequest();
        found->second.told = std::make_shared<const std::vector<fleet_member>>(request.members);
        tell(link, std::move(request));
    }
}

void fleet_node::onLinkClosed(link_id link, millis now)
{
    m_followers.erase(link);
    std::erase_if(m_waiting, [&](const waiting_follower &one) { return one.link == link; });
    const bool wasCandidate = m_candidates.erase(link) > 0;
    if (link == m_upstream && m_phase == phase::Following) {
        loseUpstream("closed", now);
    } else if (wasCandidate && m_phase == phase::Seeking && m_candidates.empty()) {
        dialNext();
    }
}

void fleet_node::onState(link_id link, const upstream_state &state, millis now)
{
    if (link == m_upstream && m_phase == phase::Following) {
        onUpstreamState(state, now);
    } else if (m_candidates.contains(link)) {
        onCandidateState(link, state, now);
    }
}

void fleet_node::onUpstreamState(const upstream_state &state, millis now)
{
    const bool changed = m_upstreamState.storeOk != state.storeOk || m_upstreamState.starting != state.starting;
    m_upstreamState = state;
    m_upstreamHeardAt = now;
    noteSize(state.fleetSize, now);
    hearMembers(state);
    if (!state.accepted) {
        loseUpstream("refused", now);
    } else if (contains(state.path, m_settings.address)) {
        loseUpstream("circle", now);
    } else {
        hearCurrent(state, now);
        if (changed) {
            tellFollowers(now);
        }
    }
}

void fleet_node::onCandidateState(link_id link, const upstream_state &state, millis now)
{
    const bool inPath = contains(state.path, m_settings.address);
    // Whoever waits for the store's first answer will have it in some milliseconds, or will say that it failed.
    const bool usable = state.accepted && (state.storeOk || (state.starting && m_phase == phase::Seeking)) && !inPath;
    const bool better = m_phase != phase::Following || !m_upstreamState.storeOk;
    if (usable && better) {
        adopt(link, state, now);
        return;
    }
    if (!state.accepted && state.starting && state.elsewhere.empty()) {
        m_promisedUntil = now + m_settings.silence;
        return; // it will say more as soon as it knows more; asking again would only keep it from that
    }
    const std::vector<std::string> elsewhere = state.accepted ? std::vector<std::string>() : state.elsewhere;
    m_actions.emplace_back(hang_up_action {link});
    m_candidates.erase(link);
    const std::size_t start = elsewhere.empty() ? 0 : m_random.below(elsewhere.size());
    for (std::size_t at = 0; at < std::min(referralsAtOnce, elsewhere.size()); ++at) {
        if (m_referrals < mostReferrals) {
            m_referrals += 1;
            dial(elsewhere[(start + at) % elsewhere.size()]);
        }
    }
}

void fleet_node::adopt(link_id link, const upstream_state &state, millis now)
{
    m_upstreamAddress = m_candidates.at(link).address;
    m_toldUpstream = m_candidates.at(link).told;
    dropCandidates(link);
    if (m_phase == phase::Reading) {
        m_actions.emplace_back(read_action {false});
    } else if (m_phase == phase::Following) {
        m_actions.emplace_back(hang_up_action {m_upstream});
    }
    m_phase = phase::Following;
    m_starting = false;
    m_upstream = link;
    m_upstreamState = state;
    m_upstreamHeardAt = now;
    m_upstreamBadSince = millis::never();
    m_wholeAsked.clear();
    noteSize(state.fleetSize, now);
    hearMembers(state);
    note("follows", m_upstreamAddress, millis());
    m_actions.emplace_back(greet_action {link});
    tellPastDeletions(link);
    tellFollowers(now);
    answerWaiting(now);
}

void fleet_node::loseUpstream(std::string_view why, millis now)
{
    note("lost_upstream", m_upstreamAddress + " " + std::string(why), now - m_upstreamHeardAt);
    m_actions.emplace_back(hang_up_action {m_upstream});
    m_upstream = 0;
    seek(now);
}

/** Nobody to follow so far: this process reads as soon as the draw says so. */
void fleet_node::drawToRead(millis now)
{
    if (now < m_promisedUntil) {
        m_nextDraw = now + m_settings.drawInterval;
    }
    for (; m_phase == phase::Seeking && now >= m_nextDraw; m_nextDraw = m_nextDraw + m_settings.drawInterval) {
        const double chance = (isSeed() ? firstChanceOfSeed : firstChance) * std::exp2(m_draws);
        m_draws += 1;
        if (m_random.uniform() < chance) {
            becomeReader("none_found", now);
        }
    }
}

void fleet_node::judgeUpstream(millis now)
{
    if (now - m_upstreamHeardAt > m_settings.silence) {
        loseUpstream("silent", now);
        return;
    }
    if (storeOk()) {
        m_upstreamBadSince = millis::never();
        return;
    }
    if (m_upstreamBadSince == millis::never()) {
        m_upstreamBadSince = now;
        m_nextDraw = now + (isSeed() ? m_settings.seedPatience : m_settings.patience);
    }
    drawBesideUpstream(now);
}

/** The fleet is connected and its reader has lost the store: whoever is served is heard of by all, see noticeReader. */
void fleet_node::drawBesideUpstream(millis now)
{
    constexpr double chanceOfSeed = 0.5;
    const double chance = isSeed() ? chanceOfSeed : readersPerDraw / static_cast<double>(fleetSize(now));
    for (; m_phase == phase::Following && now >= m_nextDraw; m_nextDraw = m_nextDraw + m_settings.drawInterval) {
        if (m_random.uniform() < chance) {
            m_actions.emplace_back(hang_up_action {m_upstream});
            m_lastTop = m_upstreamState.path.empty() ? std::string() : m_upstreamState.path.front();
            becomeReader("store_lost_above", now);
        }
    }
}

} // namespace chivelock

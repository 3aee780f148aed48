/** @file Choice of the upstream, and when a process reads the store itself. */

#include <fleet/fleet.h>

#include <algorithm>
#include <cmath>

namespace chivelock {

namespace {

constexpr millis redialInterval(200);
constexpr std::size_t maxReferrals = 12; // some levels of the tree, two attempts at each
constexpr std::size_t maxReferralsPerRefusal = 2;

// The probability to start reading doubles with each draw, so that in a fleet of any size a few processes start first
// and the rest follow them; after ten draws it is 1. Seeds start with a higher probability because the other processes
// look for a reader at the seeds.
constexpr double initialReadProbability = 1.0 / 1024;
constexpr double initialSeedReadProbability = 1.0 / 16;

// Expected number of processes in the whole fleet that try the store at each draw while the tree is connected but its
// root has lost the store. If the store rejects half of the VMs, one of the first four is served; if it is down, a
// fleet of 300 calls it 16 times in the first second instead of 300 times.
constexpr double expectedReadersPerDraw = 2;

bool contains(std::span<const std::string> list, std::string_view one)
{
    return std::ranges::find(list, one) != list.end();
}

} // namespace

bool fleet_node::isSeed() const
{
    return contains(m_settings.seeds, m_settings.address);
}

/** @return the seeds listed before this process; the order keeps two seeds from waiting for each other. */
std::vector<std::string> fleet_node::followableSeeds() const
{
    const auto self = std::ranges::find(m_settings.seeds, m_settings.address);
    const bool readsWithoutStore = m_phase == phase::Reading && !storeOk();
    // No other process waits for this one in these states, so the order of the seeds does not matter.
    const bool mayFollowAnySeed = readsWithoutStore || m_leaving;
    std::vector<std::string> result(m_settings.seeds.begin(), mayFollowAnySeed ? m_settings.seeds.end() : self);
    std::erase(result, m_settings.address);
    return result;
}

void fleet_node::startSearch(millis now)
{
    m_phase = phase::Seeking;
    if (m_undelivered > 0) {
        recordUndelivered(now);
    } else {
        m_drawCount = 0;
        m_nextDraw = now + m_settings.drawInterval;
    }
    m_redialAt = now + redialInterval;
    m_stateExpectedUntil = millis();
    m_referralCount = 0;
    m_seedsDialled = 0;
    const std::vector<std::string> known = followableSeeds();
    if (known.empty()) {
        becomeReader("nobody_before_it", now);
        return;
    }
    if (m_undelivered > 0) {
        drawIfDue(now); // the next upstream may be found and lost within milliseconds, without a tick in between
    }
    if (m_phase != phase::Seeking) {
        return;
    }
    m_nextSeed = m_random.below(known.size());
    dialNextSeed();
}

/**
 * Dials one seed at a time, starting with a random one. If all processes of a fleet start at the same time and each
 * repeatedly asks all seeds, the seeds are overloaded: with 295 VMs and 0.12 of a core per seed, the configuration is
 * in force 3 to 8 s after the start instead of 0.3 s.
 */
void fleet_node::dialNextSeed()
{
    const std::vector<std::string> known = followableSeeds();
    if (m_seedsDialled < known.size()) {
        m_seedsDialled += 1;
        dial(known[m_nextSeed++ % known.size()]);
    }
}

void fleet_node::restartSeedSearch(millis now)
{
    m_redialAt = now + redialInterval;
    m_seedsDialled = 0;
    m_referralCount = 0;
    dialNextSeed();
}

/** Looks for another process that reads the store; one reader is enough. */
void fleet_node::searchForReader(millis now)
{
    m_nextReaderSearch =
        now + (m_leaving ? m_settings.drawInterval : m_settings.readerSearchInterval * (1 + m_random.uniform()));
    m_referralCount = 0;
    dropCandidates(0);
    if (m_awaitsConfirmation) {
        searchForOthers();
    }
    std::ranges::for_each(followableSeeds(), [this](const std::string &address) { dial(address); });
    // The previous reader, which lost the store, looks for another one at the seeds. These may all be down, so this
    // process dials it directly.
    dial(std::exchange(m_previousReader, {}));
}

void fleet_node::dial(const std::string &address)
{
    const bool known =
        std::ranges::any_of(m_candidates, [&](const auto &one) { return one.second.address == address; });
    if (known || address == m_settings.address || address.empty()) {
        return;
    }
    const link_id link = m_nextLink++;
    m_candidates.emplace(link, upstream_candidate {address, m_members, m_tickAt});
    m_actions.emplace_back(dial_action {link, address});
}

void fleet_node::dropCandidates(link_id except)
{
    for (const auto &[link, one] : m_candidates) {
        if (link != except) {
            m_actions.emplace_back(close_link_action {link});
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
    dropCollectedParts();
    // The store counts as readable only after it has answered; otherwise followers would wait needlessly.
    std::ranges::for_each(m_prefixReadOk, [](auto &one) { one.second = false; });
    m_nextReaderSearch = now + m_settings.readerSearchInterval * (1 + m_random.uniform());
    recordFleetSize(subtree(), now);
    addLogEvent("reads_store", std::string(why), millis());
    m_actions.emplace_back(read_action {true});
    refreshMembers();
    sendStateToFollowers(now);
    processWaitingRequests(now);
    if (m_awaitsConfirmation) {
        searchForOthers();
    }
}

void fleet_node::onLinkOpen(link_id link, millis now)
{
    (void)now;
    const auto found = m_candidates.find(link);
    if (found != m_candidates.end()) {
        follow_request request = ownRequest();
        found->second.sentMembers = std::make_shared<const std::vector<fleet_member>>(request.members);
        sendMessage(link, std::move(request));
    }
}

void fleet_node::onLinkClosed(link_id link, millis now)
{
    m_followers.erase(link);
    std::erase_if(m_waiting, [&](const waiting_follower &one) { return one.link == link; });
    const auto candidate = m_candidates.find(link);
    const bool wasCandidate = candidate != m_candidates.end();
    if (wasCandidate) {
        recordUnanswered(candidate->second, now);
        m_candidates.erase(candidate);
    }
    if (link == m_upstream && m_phase == phase::Following) {
        dropUpstream("closed", now);
    } else if (wasCandidate && m_phase == phase::Seeking && m_candidates.empty()) {
        dialNextSeed();
    }
    releaseUnconfirmed(now);
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
    const bool isConfirmedNow = m_upstreamState.isUnconfirmed && !state.isUnconfirmed;
    m_upstreamState = state;
    m_upstreamReceivedAt = now;
    recordFleetSize(state.fleetSize, now);
    updateMembers(state);
    if (isConfirmedNow) {
        onUpstreamConfirmed(now);
    }
    if (!state.accepted) {
        dropUpstream("refused", now);
    } else if (contains(state.path, m_settings.address)) {
        dropUpstream("circle", now);
    } else {
        onUpstreamFreshness(state, now);
        if (changed) {
            sendStateToFollowers(now);
        }
    }
}

void fleet_node::onCandidateState(link_id link, const upstream_state &state, millis now)
{
    m_candidates.at(link).answered = true;
    const bool inPath = contains(state.path, m_settings.address);
    // A starting candidate gets the store's first answer within some milliseconds, or reports that reading failed.
    const bool usable = state.accepted && (state.storeOk || (state.starting && m_phase == phase::Seeking)) && !inPath;
    const bool better = (m_phase != phase::Following || !m_upstreamState.storeOk) && !isReadingFirstContents();
    if (usable && better) {
        followCandidate(link, state, now);
        return;
    }
    if (!state.accepted && state.starting && state.referrals.empty()) {
        m_stateExpectedUntil = now + m_settings.upstreamTimeout;
        return; // the candidate sends its next state without being asked; another request would only delay it
    }
    m_othersMayKnowMore = m_othersMayKnowMore || (!state.starting && !state.storeOk);
    const std::vector<std::string> referrals = state.accepted ? std::vector<std::string>() : state.referrals;
    m_actions.emplace_back(close_link_action {link});
    m_candidates.erase(link);
    const std::size_t start = referrals.empty() ? 0 : m_random.below(referrals.size());
    for (std::size_t at = 0; at < std::min(maxReferralsPerRefusal, referrals.size()); ++at) {
        if (m_referralCount < maxReferrals) {
            m_referralCount += 1;
            dial(referrals[(start + at) % referrals.size()]);
        }
    }
}

void fleet_node::followCandidate(link_id link, const upstream_state &state, millis now)
{
    m_upstreamAddress = m_candidates.at(link).address;
    m_membersSentUpstream = m_candidates.at(link).sentMembers;
    dropCandidates(link);
    if (m_phase == phase::Reading) {
        m_actions.emplace_back(read_action {false});
    } else if (m_phase == phase::Following) {
        m_actions.emplace_back(close_link_action {m_upstream});
    }
    m_phase = phase::Following;
    m_undelivered += 1;
    m_starting = false;
    m_upstream = link;
    m_upstreamState = state;
    m_upstreamReceivedAt = now;
    m_upstreamStoreLostSince = millis::never();
    dropCollectedParts();
    recordFleetSize(state.fleetSize, now);
    updateMembers(state);
    addLogEvent("follows", m_upstreamAddress, millis());
    if (!state.isUnconfirmed) {
        onJoined(now);
    }
    m_actions.emplace_back(link_joined_action {link});
    sendRecentDeletions(link);
    sendStateToFollowers(now);
    processWaitingRequests(now);
}

void fleet_node::dropUpstream(std::string_view why, millis now)
{
    addLogEvent("lost_upstream", m_upstreamAddress + " " + std::string(why), now - m_upstreamReceivedAt);
    m_actions.emplace_back(close_link_action {m_upstream});
    m_upstream = 0;
    startSearch(now);
}

/** While no upstream is found: draws at random whether this process starts to read the store. */
void fleet_node::drawToRead(millis now)
{
    if (now < m_stateExpectedUntil) {
        m_nextDraw = now + m_settings.drawInterval;
    }
    drawIfDue(now);
}

void fleet_node::draw(millis now)
{
    const double readProbability =
        (isSeed() ? initialSeedReadProbability : initialReadProbability) * std::exp2(m_drawCount);
    m_drawCount += 1;
    if (m_random.uniform() < readProbability) {
        becomeReader(m_undelivered > 0 ? "none_delivers" : "none_found", now);
    }
}

/** The draws that are due. Those of the time before the last loss are left out: many processes may have lost the same
 *  upstream, and not all of them should read the store. */
void fleet_node::drawIfDue(millis now)
{
    const phase before = m_phase;
    for (; m_phase == before && now >= m_nextDraw; m_nextDraw = m_nextDraw + m_settings.drawInterval) {
        draw(now);
    }
}

/** An upstream that is lost before it has delivered says more than the time that passes while none is found. */
void fleet_node::recordUndelivered(millis now)
{
    constexpr unsigned drawsPerLoss = 2;
    if (now >= m_nextDraw) {
        m_drawCount += drawsPerLoss;
        m_nextDraw = now;
    }
}

/** Draws while a process without contents follows one that has delivered nothing either, after others that did not. All
 *  of them may wait for each other, and none may have the contents. */
void fleet_node::drawToLeaveUpstream(millis now)
{
    if (m_phase != phase::Following || m_undelivered <= 1 || knowsAllPrefixes()) {
        return;
    }
    const link_id waitedFor = m_upstream;
    drawIfDue(now);
    if (m_phase == phase::Reading) {
        m_actions.emplace_back(close_link_action {waitedFor});
    }
}

/** After upstreams that delivered nothing: whether this process reads the contents from the store, and does not give
 *  that up for another upstream before it has them. */
bool fleet_node::isReadingFirstContents() const
{
    const bool isAnswered = m_starting || ownStoreOk();
    return m_phase == phase::Reading && m_undelivered > 0 && isAnswered && !knowsAllPrefixes();
}

void fleet_node::checkUpstream(millis now)
{
    if (now - m_upstreamReceivedAt > m_settings.upstreamTimeout) {
        dropUpstream("silent", now);
        return;
    }
    if (storeOk()) {
        m_upstreamStoreLostSince = millis::never();
        return;
    }
    if (m_upstreamStoreLostSince == millis::never()) {
        m_upstreamStoreLostSince = now;
        m_nextDraw = now + (isSeed() ? m_settings.seedStoreLostDelay : m_settings.storeLostDelay);
    }
    drawToReplaceReader(now);
}

/**
 * While the upstream is alive but the root has lost the store: draws at random whether this process tries the store. If
 * it succeeds, the whole fleet learns of the new reader, see @ref dialReaderIfNeeded.
 */
void fleet_node::drawToReplaceReader(millis now)
{
    constexpr double seedReadProbability = 0.5;
    const double readProbability =
        isSeed() ? seedReadProbability : expectedReadersPerDraw / static_cast<double>(fleetSize(now));
    for (; m_phase == phase::Following && now >= m_nextDraw; m_nextDraw = m_nextDraw + m_settings.drawInterval) {
        if (m_random.uniform() < readProbability) {
            m_actions.emplace_back(close_link_action {m_upstream});
            m_previousReader = m_upstreamState.path.empty() ? std::string() : m_upstreamState.path.front();
            becomeReader("store_lost_above", now);
        }
    }
}

} // namespace chivelock

/** @file What comes in, what is due, and what is told to whoever asks. */

#include <fleet/fleet.h>

#include <algorithm>

namespace chivelock {

namespace {

constexpr std::uint32_t sizeGuess = 64; // until the tree has counted: limits divided by too many are only tight
constexpr millis guessFor(5000);
constexpr millis rememberFor(30000); // a part of the fleet that is cut off still spends its part of the limits

} // namespace

fleet_node::fleet_node(fleet_settings settings, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_random(seed)
    , m_members(std::make_shared<const std::vector<fleet_member>>())
    , m_toldUpstream(m_members)
{
    for (const std::string &prefix : m_settings.prefixes) {
        m_views[prefix];
        m_readOk[prefix] = false;
    }
}

void fleet_node::start(millis now)
{
    m_guessUntil = now + guessFor;
    m_tickAt = now;
    m_quietAt = now;
    m_nextBeat = now + m_settings.beat;
    seek(now);
}

void fleet_node::leave(millis now)
{
    m_leaving = true;
    const auto hangUp = [this](link_id link) { m_actions.emplace_back(hang_up_action {link}); };
    std::ranges::for_each(m_followers, hangUp, [](const auto &one) { return one.first; });
    std::ranges::for_each(m_waiting, hangUp, &waiting_follower::link);
    m_followers.clear();
    m_waiting.clear();
    beat(now); // those below must not be sent back here
    m_nextMerge = now + m_settings.drawInterval; // those below read by themselves now: one of them can be followed
}

void fleet_node::onMessage(link_id link, fleet_message message, millis now)
{
    if (auto *request = std::get_if<follow_request>(&message)) {
        onFollow(link, std::move(*request), now);
    } else if (const auto *sign = std::get_if<follow_beat>(&message)) {
        onBeat(link, *sign, now);
    } else if (const auto *state = std::get_if<upstream_state>(&message)) {
        onState(link, *state, now);
    } else if (auto *items = std::get_if<store_items>(&message)) {
        onItems(link, std::move(*items), now);
    } else if (const auto *deletions = std::get_if<past_deletions>(&message)) {
        onPastDeletions(link, *deletions);
    } else if (auto *news = std::get_if<leaf_news>(&message)) {
        onLeafNews(link, std::move(*news), now);
    } else if (auto *requests = std::get_if<request_news>(&message)) {
        onRequestNews(link, std::move(*requests), now);
    }
}

void fleet_node::onStoreState(std::string_view prefix, bool ok, millis now)
{
    m_readOk.find(prefix)->second = ok;
    if (m_phase != phase::Reading) {
        return;
    }
    // In trouble another reader is wanted at once. Out of it, many may read who began in the trouble: all but one stop.
    // Whoever is served at the first try while others are not tells the seeds at once.
    const millis spread = m_settings.beat * (1 + 2 * m_random.uniform());
    const bool firstWord = std::exchange(m_starting, m_starting && ok && !ownStoreOk());
    m_nextMerge = std::min(m_nextMerge, firstWord && ok ? now + m_settings.drawInterval : now + spread);
    tellFollowers(now);
}

void fleet_node::noteTick(millis now)
{
    const millis gap = now - m_tickAt;
    m_quietAt = m_tickAt;
    m_tickAt = now;
    // While a VM is suspended what is sent to it is lost, and sent again it may come long after.
    if (m_phase == phase::Following && gap > m_settings.silence) {
        loseUpstream("stood_still", now);
    }
}

void fleet_node::tick(millis now)
{
    noteTick(now);
    judgeStore(now);
    if (m_phase == phase::Following) {
        judgeUpstream(now);
    }
    if (m_phase == phase::Seeking && now >= m_redialAt) {
        lookAgain(now);
    }
    if (m_phase == phase::Seeking) {
        drawToRead(now);
    }
    if (m_phase == phase::Reading && now >= m_nextMerge) {
        lookForReader(now);
    }
    dropSilentFollowers(now);
    tellReports(now);
    if (now >= m_nextBeat || m_subtreeChanged) {
        m_nextBeat = now + m_settings.beat;
        beat(now);
    }
}

std::vector<fleet_action> fleet_node::takeActions()
{
    return std::exchange(m_actions, {});
}

std::size_t fleet_node::fleetSize(millis now) const
{
    const std::uint32_t seen = std::max(m_size, now < m_rememberedUntil ? m_rememberedSize : 1);
    return now < m_guessUntil ? std::max(seen, sizeGuess) : seen;
}

bool fleet_node::hearsPeers(millis now) const
{
    const millis late = m_settings.beat * 2;
    if (m_phase == phase::Following) {
        return now - m_upstreamHeardAt < late;
    }
    return std::ranges::any_of(m_followers, [&](const auto &one) { return now - one.second.heardAt < late; });
}

const store_view &fleet_node::view(std::string_view prefix) const
{
    return m_views.find(prefix)->second;
}

bool fleet_node::ownStoreOk() const
{
    return std::ranges::all_of(m_readOk, [](const auto &one) { return one.second; });
}

void fleet_node::tell(link_id link, fleet_message message)
{
    m_actions.emplace_back(tell_action {{link}, std::move(message)});
}

void fleet_node::noteSize(std::uint32_t size, millis now)
{
    m_size = size;
    if (size >= m_rememberedSize || now >= m_rememberedUntil) {
        m_rememberedSize = size;
        m_rememberedUntil = now + rememberFor;
    }
}

void fleet_node::note(std::string_view event, std::string about, millis input)
{
    m_actions.emplace_back(tree_note_action {event, std::move(about), input});
}

} // namespace chivelock

#include <fleet/fleet.h>

#include <algorithm>

namespace chivelock {

namespace {

constexpr std::uint32_t sizeGuess = 64; // until the tree has counted: limits divided by too many are only tight
constexpr millis guessFor(5000);
constexpr millis rememberFor(30000); // a part of the fleet that is cut off still spends its part of the limits
constexpr millis redialEvery(200);
constexpr std::size_t mostReferrals = 12; // some levels of the tree, two tries at each
constexpr std::size_t referralsAtOnce = 2;
constexpr double silentFollowerBeats = 6;
bool contains(std::span<const std::string> list, std::string_view one)
{
    return std::ranges::find(list, one) != list.end();
}

} // namespace

fleet_node::fleet_node(fleet_settings settings, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_random(seed)
{
    for (const std::string &prefix : m_settings.prefixes) {
        m_views[prefix];
        m_readOk[prefix] = false;
    }
}

void fleet_node::start(millis now)
{
    m_guessUntil = now + guessFor;
    m_nextBeat = now + m_settings.beat;
    seek(now);
}

// ---- finding someone to follow

/** Processes that this one may follow: seeds named before it, so that two seeds never wait for each other. */
std::vector<std::string> fleet_node::candidates() const
{
    const auto self = std::ranges::find(m_settings.seeds, m_settings.address);
    const bool readsInVain = m_phase == phase::Reading && !ownStoreOk();
    std::vector<std::string> result(m_settings.seeds.begin(), readsInVain ? m_settings.seeds.end() : self);
    std::erase(result, m_settings.address);
    return result;
}

void fleet_node::seek(millis now)
{
    m_phase = phase::Seeking;
    m_seekUntil = now + (hasData() ? m_settings.seekFor : m_settings.firstSeekFor);
    m_redialAt = now + redialEvery;
    m_referrals = 0;
    if (candidates().empty()) {
        becomeReader("nobody_before_it", now);
        return;
    }
    dialCandidates();
}

void fleet_node::dialCandidates()
{
    for (const std::string &address : candidates()) {
        dial(address);
    }
}

void fleet_node::dial(const std::string &address)
{
    const bool known =
        std::ranges::any_of(m_candidates, [&](const auto &one) { return one.second.address == address; });
    if (known || address == m_settings.address || address.empty()) {
        return;
    }
    const link_id link = m_nextLink++;
    m_candidates.emplace(link, candidate {address});
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
    m_upstream = 0;
    // Nobody is told that the store can be read before it has answered: those below would wait in vain.
    std::ranges::for_each(m_readOk, [](auto &one) { one.second = false; });
    m_nextMerge = now + m_settings.mergeInterval * (1 + m_random.uniform());
    noteSize(subtree(), now);
    note("reads_store", std::string(why), millis());
    m_actions.emplace_back(read_action {true});
    refreshMembers();
    tellFollowers();
}

void fleet_node::onLinkOpen(link_id link, millis now)
{
    (void)now;
    const auto found = m_candidates.find(link);
    if (found == m_candidates.end()) {
        return;
    }
    found->second.open = true;
    follow_request request {m_settings.address, subtree(), {}, subtreeMembers()};
    for (const auto &[prefix, view] : m_views) {
        request.known.push_back({prefix, view.known() ? view.revision() : 0});
    }
    m_actions.emplace_back(tell_action {link, std::move(request)});
}

void fleet_node::onLinkClosed(link_id link, millis now)
{
    if (m_followers.erase(link) > 0) {
        refreshMembers();
    }
    m_candidates.erase(link);
    if (link == m_upstream && m_phase == phase::Following) {
        loseUpstream("closed", now);
        return;
    }
    if (m_phase == phase::Seeking && m_candidates.empty() && hasData()) {
        becomeReader("none_found", now);
    }
}

void fleet_node::onState(link_id link, const upstream_state &state, millis now)
{
    if (link == m_upstream && m_phase == phase::Following) {
        const bool changed = m_upstreamState.storeOk != state.storeOk;
        m_upstreamState = state;
        m_upstreamHeardAt = now;
        noteSize(state.fleetSize, now);
        setMembers(state.members);
        if (changed) {
            tellFollowers();
        }
        if (contains(state.path, m_settings.address)) {
            loseUpstream("circle", now);
        }
        return;
    }
    const auto found = m_candidates.find(link);
    if (found == m_candidates.end()) {
        return;
    }
    const bool usable = state.accepted && state.storeOk && !contains(state.path, m_settings.address);
    if (usable && m_phase != phase::Following) {
        adopt(link, state, now);
        return;
    }
    const std::vector<std::string> elsewhere = state.accepted ? std::vector<std::string>() : state.elsewhere;
    m_actions.emplace_back(hang_up_action {link});
    m_candidates.erase(found);
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
    dropCandidates(link);
    if (m_phase == phase::Reading) {
        m_actions.emplace_back(read_action {false});
    }
    m_phase = phase::Following;
    m_upstream = link;
    m_upstreamState = state;
    m_upstreamHeardAt = now;
    m_upstreamBadUntil = millis::never();
    m_toldUpstream = subtreeMembers();
    noteSize(state.fleetSize, now);
    setMembers(state.members);
    note("follows", m_upstreamAddress, millis());
    tellFollowers();
}

void fleet_node::loseUpstream(std::string_view why, millis now)
{
    note("lost_upstream", m_upstreamAddress + " " + std::string(why), now - m_upstreamHeardAt);
    m_actions.emplace_back(hang_up_action {m_upstream});
    m_upstream = 0;
    seek(now);
}

void fleet_node::judgeUpstream(millis now)
{
    if (now - m_upstreamHeardAt > m_settings.silence) {
        loseUpstream("silent", now);
        return;
    }
    if (m_upstreamState.storeOk) {
        m_upstreamBadUntil = millis::never();
        return;
    }
    if (m_upstreamBadUntil == millis::never()) {
        const bool isSeed = contains(m_settings.seeds, m_settings.address);
        const millis spread = (m_settings.mostPatience - m_settings.leastPatience) * m_random.uniform();
        m_upstreamBadUntil = now + (isSeed ? m_settings.seedPatience : m_settings.leastPatience + spread);
    }
    if (now >= m_upstreamBadUntil) {
        m_actions.emplace_back(hang_up_action {m_upstream});
        becomeReader("store_lost_above", now);
    }
}

// ---- those who follow this process

void fleet_node::onFollow(link_id link, const follow_request &request, millis now)
{
    std::erase_if(m_followers, [&](const auto &one) { return one.second.address == request.address; });
    const bool above = m_phase == phase::Following && contains(m_upstreamState.path, request.address);
    const bool full = m_followers.size() >= m_settings.fanOut;
    if (m_phase == phase::Seeking || above || full) {
        upstream_state refusal = ownState(false);
        for (const auto &[id, one] : m_followers) {
            refusal.elsewhere.push_back(one.address);
        }
        m_actions.emplace_back(tell_action {link, std::move(refusal)});
        return;
    }
    m_followers[link] = {request.address, request.subtree, now, request.members, true};
    upstream_state welcome = ownState(true);
    welcome.members = m_members;
    m_actions.emplace_back(tell_action {link, std::move(welcome)});
    sendMissing(link, request);
    refreshMembers();
}

void fleet_node::sendMissing(link_id link, const follow_request &request)
{
    for (const auto &[prefix, view] : m_views) {
        if (!view.known()) {
            continue;
        }
        const auto has = std::ranges::find(request.known, prefix, &known_revision::prefix);
        const std::uint64_t revision = has == request.known.end() ? 0 : has->revision;
        auto changes = revision == 0 ? std::nullopt : view.changesSince(revision);
        const bool whole = !changes.has_value();
        store_items items {prefix, whole, view.revision(), whole ? view.contents() : *std::move(changes)};
        m_actions.emplace_back(tell_action {link, std::move(items)});
    }
}

void fleet_node::onMessage(link_id link, fleet_message message, millis now)
{
    if (const auto *request = std::get_if<follow_request>(&message)) {
        onFollow(link, *request, now);
    } else if (const auto *sign = std::get_if<follow_beat>(&message)) {
        const auto found = m_followers.find(link);
        if (found != m_followers.end()) {
            found->second.subtree = sign->subtree;
            found->second.heardAt = now;
            if (!sign->members.empty()) {
                found->second.members = sign->members;
                refreshMembers();
            }
        }
    } else if (const auto *state = std::get_if<upstream_state>(&message)) {
        onState(link, *state, now);
    } else if (auto *items = std::get_if<store_items>(&message)) {
        onItems(link, std::move(*items), now);
    } else if (auto *news = std::get_if<leaf_news>(&message)) {
        onLeafNews(link, std::move(*news), now);
    }
}

void fleet_node::onItems(link_id link, store_items items, millis now)
{
    if (link != m_upstream || m_phase != phase::Following || !m_views.contains(items.prefix)) {
        return;
    }
    m_upstreamHeardAt = now;
    if (items.whole) {
        onStoreContents(items.prefix, std::move(items.items), items.revision);
    } else {
        onStoreChanges(items.prefix, std::move(items.items), items.revision);
    }
}

// ---- the store

void fleet_node::onStoreContents(std::string_view prefix, std::vector<store_item> items, std::uint64_t revision)
{
    store_view &view = m_views.find(prefix)->second;
    const bool first = !view.known();
    const std::vector<store_item> news = view.applyContents(std::move(items), revision);
    if (first || !news.empty()) {
        // Followers that came before the contents were known got none then.
        passOn(prefix, news, first);
    }
}

void fleet_node::onStoreChanges(std::string_view prefix, std::vector<store_item> items, std::uint64_t revision)
{
    const std::vector<store_item> news = m_views.find(prefix)->second.applyChanges(std::move(items), revision);
    if (!news.empty()) {
        passOn(prefix, news, false);
    }
}

void fleet_node::passOn(std::string_view prefix, const std::vector<store_item> &news, bool whole)
{
    const std::uint64_t revision = m_views.find(prefix)->second.revision();
    for (const auto &[link, one] : m_followers) {
        m_actions.emplace_back(tell_action {link, store_items {std::string(prefix), whole, revision, news}});
    }
    m_actions.emplace_back(news_action {std::string(prefix), news});
}

void fleet_node::onStoreState(std::string_view prefix, bool ok, millis now)
{
    m_readOk.find(prefix)->second = ok;
    if (m_phase != phase::Reading) {
        return;
    }
    // In trouble another reader is wanted at once. Out of it, many may read who began in the trouble: all but one stop.
    const millis soon = m_settings.beat * (1 + 2 * m_random.uniform());
    m_nextMerge = std::min(m_nextMerge, now + soon);
    tellFollowers();
}

// ---- time

void fleet_node::tick(millis now)
{
    if (m_phase == phase::Following) {
        judgeUpstream(now);
    }
    if (m_phase == phase::Seeking && now >= m_seekUntil) {
        becomeReader("none_found", now);
    } else if (m_phase == phase::Seeking && now >= m_redialAt) {
        m_redialAt = now + redialEvery;
        dialCandidates();
    }
    if (m_phase == phase::Reading && now >= m_nextMerge) {
        m_nextMerge = now + m_settings.mergeInterval * (1 + m_random.uniform());
        m_referrals = 0;
        dropCandidates(0);
        dialCandidates();
    }
    dropSilentFollowers(now);
    tellReports(now);
    if (now >= m_nextBeat) {
        m_nextBeat = now + m_settings.beat;
        beat(now);
    }
}

void fleet_node::beat(millis now)
{
    if (m_phase == phase::Following) {
        std::vector<fleet_member> members = subtreeMembers();
        const bool changed = members != m_toldUpstream;
        m_toldUpstream = members;
        m_actions.emplace_back(
            tell_action {m_upstream, follow_beat {subtree(), changed ? std::move(members) : decltype(members)()}});
    } else if (m_phase == phase::Reading) {
        noteSize(subtree(), now);
    }
    tellFollowers();
}

void fleet_node::tellFollowers()
{
    for (auto &[link, one] : m_followers) {
        upstream_state state = ownState(true);
        if (!std::exchange(one.membersTold, true)) {
            state.members = m_members;
        }
        m_actions.emplace_back(tell_action {link, std::move(state)});
    }
}

void fleet_node::dropSilentFollowers(millis now)
{
    const millis limit = m_settings.beat * silentFollowerBeats;
    for (auto at = m_followers.begin(); at != m_followers.end();) {
        if (now - at->second.heardAt > limit) {
            m_actions.emplace_back(hang_up_action {at->first});
            at = m_followers.erase(at);
        } else {
            ++at;
        }
    }
    refreshMembers();
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

upstream_state fleet_node::ownState(bool accepted) const
{
    upstream_state state;
    state.accepted = accepted;
    state.storeOk = storeOk();
    state.fleetSize = m_size;
    state.path = m_phase == phase::Following ? m_upstreamState.path : std::vector<std::string>();
    state.path.push_back(m_settings.address);
    return state;
}

bool fleet_node::ownStoreOk() const
{
    return std::ranges::all_of(m_readOk, [](const auto &one) { return one.second; });
}

std::uint32_t fleet_node::subtree() const
{
    std::uint32_t size = 1;
    for (const auto &[link, one] : m_followers) {
        size += one.subtree;
    }
    return size;
}

bool fleet_node::hasData() const
{
    return std::ranges::all_of(m_views, [](const auto &one) { return one.second.known(); });
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

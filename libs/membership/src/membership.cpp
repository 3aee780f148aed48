#include <membership/membership.h>

#include <algorithm>
#include <bit>
#include <tuple>
#include <utility>

namespace chivelock {

namespace {

/** A member believed gone is still asked now and then: the far side of a partition comes back this way. */
constexpr std::uint32_t gonePingEvery = 5;

bool isNewer(const member_rumour &heard, const member_rumour &known)
{
    return std::tie(heard.incarnation, heard.version, heard.state)
        > std::tie(known.incarnation, known.version, known.state);
}

} // namespace

membership::membership(vm_id self, std::uint64_t incarnation, membership_settings settings, std::uint64_t seed)
    : m_settings(settings)
    , m_random(seed)
    , m_self {self, incarnation, 0, member_state::Alive}
{
    refreshRunners();
}

void membership::onList(const vm_list_document &list)
{
    for (auto &[id, entry] : m_members) {
        entry.listed = false;
    }
    for (const vm_info &vm : list.vms) {
        if (vm.id == m_self.vm) {
            continue;
        }
        member &entry = m_members[vm.id];
        entry.known.vm = vm.id;
        entry.listed = true;
        entry.listLeaving = vm.leaving;
    }
    std::erase_if(m_members, [](const auto &item) { return !item.second.listed; });
    const auto unlisted = [this](vm_id id) { return !m_members.contains(id); };
    std::erase_if(m_awaited, unlisted);
    std::erase_if(m_suspects, unlisted);
    std::erase_if(m_untold, unlisted);
    reshuffle();
    refreshRunners();
}

std::optional<heartbeat_send> membership::onHeartbeat(const heartbeat &message, own_revisions own, millis now)
{
    learn(message.self, now);
    for (const member_rumour &rumour : message.rumours) {
        learn(rumour, now);
    }
    for (const leaving_leaf &leaf : message.leavingLeafs) {
        spread(leaf);
    }
    const auto found = m_members.find(message.self.vm);
    if (found != m_members.end() && message.isAck && found->second.awaitedNonce == message.nonce) {
        found->second.awaitedNonce.reset();
        m_awaited.erase(message.self.vm);
    }
    refreshIfChanged();
    if (message.isAck) {
        return std::nullopt;
    }
    heartbeat ack = compose(message.self.vm, own);
    ack.isAck = true;
    ack.nonce = message.nonce;
    return heartbeat_send {message.self.vm, std::move(ack)};
}

void membership::onUnreachable(vm_id vm, millis now)
{
    const auto found = m_members.find(vm);
    if (found != m_members.end() && found->second.known.state == member_state::Alive) {
        setState(found->second, member_state::Suspect, now);
        refreshIfChanged();
    }
}

std::vector<heartbeat_send> membership::tick(own_revisions own, millis now)
{
    const bool slept = now - m_lastTick > m_settings.pauseGap;
    m_lastTick = now;
    if (slept) {
        // While this process slept, acks could not be read: blaming the others would split the fleet on each wake-up.
        std::ranges::for_each(m_awaited, [this](vm_id id) { m_members.at(id).awaitedNonce.reset(); });
        m_awaited.clear();
    }
    judgeMissingAcks(now);
    ageSuspects(now);
    std::vector<heartbeat_send> sends;
    if (now < m_nextPing) {
        return sends;
    }
    m_nextPing = now + m_settings.pingInterval;
    const std::optional<vm_id> target = nextToPing();
    if (!target) {
        return sends;
    }
    member &entry = m_members.at(*target);
    heartbeat message = compose(*target, own);
    message.nonce = ++m_nonce;
    entry.awaitedNonce = message.nonce;
    m_awaited.insert(*target);
    entry.pingedAt = now;
    sends.push_back({*target, std::move(message)});
    return sends;
}

void membership::startLeaving()
{
    m_self.state = member_state::Leaving;
    ++m_self.version;
    refreshRunners();
}

void membership::spread(leaving_leaf leaf)
{
    m_leavingLeafs.try_emplace(leaf, 0);
}

bool membership::isRunner(vm_id vm) const
{
    return std::ranges::binary_search(m_runners, vm);
}

std::size_t membership::listedCount() const
{
    return 1 + static_cast<std::size_t>(std::ranges::count_if(m_members, [](const auto &item) {
               return !item.second.listLeaving;
           }));
}

std::vector<member_rumour> membership::members() const
{
    std::vector<member_rumour> all {m_self};
    std::ranges::transform(m_members, std::back_inserter(all), [](const auto &item) { return item.second.known; });
    return all;
}

std::optional<member_rumour> membership::find(vm_id vm) const
{
    if (vm == m_self.vm) {
        return m_self;
    }
    const auto found = m_members.find(vm);
    return found != m_members.end() ? std::optional(found->second.known) : std::nullopt;
}

void membership::learn(const member_rumour &rumour, millis now)
{
    if (rumour.vm == m_self.vm) {
        refute(rumour);
        return;
    }
    const auto found = m_members.find(rumour.vm);
    if (found == m_members.end() || !isNewer(rumour, found->second.known)) {
        return;
    }
    found->second.known.incarnation = rumour.incarnation;
    found->second.known.version = rumour.version;
    setState(found->second, rumour.state, now);
}

void membership::refute(const member_rumour &rumour)
{
    const bool wronged =
        rumour.incarnation == m_self.incarnation && rumour.version >= m_self.version && rumour.state != m_self.state;
    if (wronged) {
        m_self.version = rumour.version + 1;
    }
}

void membership::setState(member &target, member_state state, millis now)
{
    const vm_id id = target.known.vm;
    const bool changes = target.known.state != state;
    m_runnersChanged = m_runnersChanged || changes;
    target.known.state = state;
    // That a listed member lives is what everyone assumes; telling it would fill the heartbeats of a large fleet for
    // minutes and hold up the news of a loss.
    if (changes || state != member_state::Alive) {
        target.toldTimes = 0;
        m_untold.insert(id);
    }
    if (state == member_state::Suspect) {
        target.suspectSince = now;
        m_suspects.insert(id);
    } else {
        m_suspects.erase(id);
    }
}

void membership::refreshIfChanged()
{
    if (std::exchange(m_runnersChanged, false)) {
        refreshRunners();
    }
}

void membership::refreshRunners()
{
    std::vector<vm_id> runners;
    for (const auto &[id, entry] : m_members) {
        if (entry.listed && !entry.listLeaving && entry.known.state == member_state::Alive) {
            runners.push_back(id);
        }
    }
    if (m_self.state == member_state::Alive || runners.empty()) {
        runners.push_back(m_self.vm);
    }
    std::ranges::sort(runners);
    if (runners != m_runners) {
        m_runners = std::move(runners);
        ++m_epoch;
    }
}

heartbeat membership::compose(vm_id to, own_revisions own)
{
    heartbeat message;
    message.self = m_self;
    message.catalogueRevision = own.catalogue;
    message.topologyRevision = own.topology;
    addRumours(message, to);
    addLeavingLeafs(message);
    return message;
}

void membership::addRumours(heartbeat &message, vm_id to)
{
    const auto receiver = m_members.find(to);
    if (receiver != m_members.end() && receiver->second.known.state != member_state::Alive) {
        message.rumours.push_back(receiver->second.known); // So that it can refute.
    }
    std::vector<member *> untold;
    for (const vm_id id : m_untold) {
        member &entry = m_members.at(id);
        if (id != to && entry.known.incarnation != 0) {
            untold.push_back(&entry);
        }
    }
    const std::size_t count = std::min<std::size_t>(untold.size(), m_settings.rumoursPerHeartbeat);
    std::ranges::partial_sort(untold, untold.begin() + static_cast<std::ptrdiff_t>(count), {}, &member::toldTimes);
    for (member *entry : std::span(untold).first(count)) {
        message.rumours.push_back(entry->known);
        if (++entry->toldTimes >= tellLimit()) {
            m_untold.erase(entry->known.vm);
        }
    }
}

void membership::addLeavingLeafs(heartbeat &message)
{
    constexpr std::size_t leafsPerHeartbeat = 4;
    for (auto &[leaf, told] : m_leavingLeafs) {
        if (told < tellLimit() && message.leavingLeafs.size() < leafsPerHeartbeat) {
            message.leavingLeafs.push_back(leaf);
            ++told;
        }
    }
}

std::optional<vm_id> membership::nextToPing()
{
    for (std::size_t tried = 0; tried < m_pingOrder.size(); ++tried) {
        if (m_pingNext >= m_pingOrder.size()) {
            reshuffle();
        }
        const vm_id candidate = m_pingOrder[m_pingNext++];
        member &entry = m_members.at(candidate);
        const bool rest = entry.known.state == member_state::Gone && ++entry.skippedPings % gonePingEvery != 0;
        if (!rest && !entry.awaitedNonce) {
            return candidate;
        }
    }
    return std::nullopt;
}

void membership::reshuffle()
{
    m_pingOrder.clear();
    std::ranges::transform(m_members, std::back_inserter(m_pingOrder), [](const auto &item) { return item.first; });
    for (std::size_t index = m_pingOrder.size(); index > 1; --index) {
        std::swap(m_pingOrder[index - 1], m_pingOrder[m_random.below(index)]);
    }
    m_pingNext = 0;
}

void membership::judgeMissingAcks(millis now)
{
    const std::set<vm_id> awaited = m_awaited;
    for (const vm_id id : awaited) {
        member &entry = m_members.at(id);
        if (now - entry.pingedAt >= m_settings.ackTimeout) {
            entry.awaitedNonce.reset();
            m_awaited.erase(id);
            onUnreachable(id, now);
        }
    }
}

void membership::ageSuspects(millis now)
{
    const std::set<vm_id> suspects = m_suspects;
    for (const vm_id id : suspects) {
        member &entry = m_members.at(id);
        if (now - entry.suspectSince >= m_settings.suspectFor) {
            setState(entry, member_state::Gone, now);
        }
    }
    refreshIfChanged();
}

std::uint32_t membership::tellLimit() const
{
    constexpr std::uint32_t tellFactor = 3;
    return tellFactor * static_cast<std::uint32_t>(std::bit_width(m_members.size() + 1));
}

} // namespace chivelock

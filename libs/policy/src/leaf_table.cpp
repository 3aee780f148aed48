#include <policy/policy.h>

#include <algorithm>

namespace chivelock {

namespace {

constexpr double latencyWeight = 0.1;
constexpr double shedFactor = 0.7;
constexpr double growthPerSuccess = 0.1;
constexpr millis urgentProbeGap {50}; ///< between probes of a leaf that work waits for
constexpr millis inUseFor {10000};

} // namespace

void leaf_table::onTopology(const topology_document &document)
{
    std::erase_if(m_leafs, [&document](const auto &item) {
        return item.second.inFlight == 0 && document.findLeaf(item.first) == nullptr;
    });
    for (const leaf_info &info : document.leafs) {
        leaf_state &state = m_leafs[info.id];
        const bool isNew = state.info.slots != info.slots || state.shedLimit == 0;
        state.info = info;
        state.incarnation = std::max(state.incarnation, info.incarnation);
        if (isNew) {
            state.shedLimit = info.slots + m_settings.extraInFlight;
        }
        if (info.leaving) {
            onLeaving({info.id, info.incarnation});
        }
    }
}

void leaf_table::onSign(leaf_id leaf, std::uint64_t incarnation, millis askedAt)
{
    leaf_state *state = find(leaf);
    if (state == nullptr) {
        return;
    }
    state->incarnation = std::max(state->incarnation, incarnation);
    state->lastSign = std::max(state->lastSign.value_or(askedAt), askedAt);
}

bool leaf_table::onLeaving(leaving_leaf leaf)
{
    leaf_state *state = find(leaf.leaf);
    if (state == nullptr || (state->leavingIncarnation && *state->leavingIncarnation >= leaf.incarnation)) {
        return false;
    }
    state->leavingIncarnation = leaf.incarnation;
    return true;
}

void leaf_table::onCold(leaf_id leaf, bool cold)
{
    if (leaf_state *state = find(leaf)) {
        state->cold = cold;
    }
}

void leaf_table::onSuccess(leaf_id leaf, millis latency)
{
    leaf_state *state = find(leaf);
    if (state == nullptr) {
        return;
    }
    state->failures = 0;
    state->latency =
        state->latency == 0 ? latency.count() : state->latency + latencyWeight * (latency.count() - state->latency);
    const double ceiling = state->info.slots + m_settings.extraInFlight;
    state->shedLimit = std::min(ceiling, state->shedLimit + growthPerSuccess);
}

void leaf_table::onFailure(leaf_id leaf, millis now)
{
    leaf_state *state = find(leaf);
    if (state == nullptr || !m_settings.ejection) {
        return;
    }
    if (++state->failures >= m_settings.failuresToEject) {
        state->ejectedUntil = now + m_settings.ejectFor;
        state->failures = 0;
    }
}

void leaf_table::onShed(leaf_id leaf)
{
    // The published slots are shared with processes that this one does not see; shedding shows that they use them.
    if (leaf_state *state = find(leaf)) {
        state->shedLimit = std::max(1.0, state->shedLimit * shedFactor);
    }
}

void leaf_table::onSent(leaf_id leaf, millis now)
{
    if (leaf_state *state = find(leaf)) {
        ++state->inFlight;
        state->lastUse = now;
    }
}

void leaf_table::onEnded(leaf_id leaf)
{
    leaf_state *state = find(leaf);
    if (state != nullptr && state->inFlight > 0) {
        --state->inFlight;
    }
}

void leaf_table::onProbed(leaf_id leaf, millis now)
{
    if (leaf_state *state = find(leaf)) {
        state->lastProbe = now;
    }
}

bool leaf_table::mayReceive(leaf_id leaf, millis now) const
{
    const leaf_state *state = find(leaf);
    return state != nullptr && !isLeaving(leaf) && state->lastSign && now - *state->lastSign <= m_settings.freshBound;
}

bool leaf_table::isLeaving(leaf_id leaf) const
{
    const leaf_state *state = find(leaf);
    return state != nullptr && state->leavingIncarnation && *state->leavingIncarnation >= state->incarnation;
}

bool leaf_table::isEjected(leaf_id leaf, millis now) const
{
    const leaf_state *state = find(leaf);
    return state != nullptr && state->ejectedUntil && now < *state->ejectedUntil;
}

millis leaf_table::freshUntil(leaf_id leaf) const
{
    const leaf_state *state = find(leaf);
    return state != nullptr && state->lastSign ? *state->lastSign + m_settings.freshBound : millis();
}

std::uint32_t leaf_table::limit(leaf_id leaf, bool withExtra) const
{
    const leaf_state *state = find(leaf);
    if (state == nullptr) {
        return 0;
    }
    if (state->cold) {
        return 1; // A cold leaf is slow at first; a full share of work would make it the straggler of every lookup.
    }
    const std::uint32_t wanted = state->info.slots + (withExtra ? m_settings.extraInFlight : 0);
    return std::min(wanted, static_cast<std::uint32_t>(state->shedLimit));
}

std::uint32_t leaf_table::inFlight(leaf_id leaf) const
{
    const leaf_state *state = find(leaf);
    return state != nullptr ? state->inFlight : 0;
}

std::uint32_t leaf_table::slots(leaf_id leaf) const
{
    const leaf_state *state = find(leaf);
    return state != nullptr ? state->info.slots : 0;
}

replica_candidate leaf_table::candidate(leaf_id leaf) const
{
    const leaf_state *state = find(leaf);
    return state != nullptr ? replica_candidate {leaf, state->inFlight, millis(state->latency)}
                            : replica_candidate {leaf, 0, millis()};
}

std::vector<leaf_id> leaf_table::dueForProbe(millis now) const
{
    std::vector<leaf_id> due;
    for (const auto &[id, state] : m_leafs) {
        const bool inUse = state.owned || (state.lastUse && now - *state.lastUse < inUseFor);
        // Answers do not make a probe needless: a leaf can go on answering while only its health endpoint says that it
        // leaves, and then nothing else would tell.
        const bool unasked = !state.lastProbe || now - *state.lastProbe >= m_settings.probeInterval;
        if (inUse && unasked) {
            due.push_back(id);
        }
    }
    std::ranges::sort(due);
    return due;
}

bool leaf_table::needsProbe(leaf_id leaf, millis now) const
{
    const leaf_state *state = find(leaf);
    return state != nullptr && !mayReceive(leaf, now) && !isLeaving(leaf)
        && (!state->lastProbe || now - *state->lastProbe >= urgentProbeGap);
}

void leaf_table::setOwned(std::span<const leaf_id> leafs)
{
    for (auto &[id, state] : m_leafs) {
        state.owned = std::ranges::binary_search(leafs, id);
    }
}

leaf_table::leaf_state *leaf_table::find(leaf_id leaf)
{
    const auto found = m_leafs.find(leaf);
    return found != m_leafs.end() ? &found->second : nullptr;
}

const leaf_table::leaf_state *leaf_table::find(leaf_id leaf) const
{
    const auto found = m_leafs.find(leaf);
    return found != m_leafs.end() ? &found->second : nullptr;
}

} // namespace chivelock

#include <policy/policy.h>

#include <algorithm>

namespace chivelock {

namespace {

constexpr double latencyWeight = 0.1;
constexpr double shedDecreaseFactor = 0.7;
constexpr double limitIncreasePerSuccess = 0.1;
constexpr millis minUrgentProbeInterval {50}; ///< between probes of a leaf that requests wait for
constexpr millis inUseDuration {10000}; ///< a leaf counts as in use for this long after its last request

} // namespace

void leaf_table::onTopology(const topology_document &document)
{
    std::erase_if(m_leafs, [&document](const auto &item) {
        return item.second.inFlight == 0 && document.findLeaf(item.first) == nullptr;
    });
    for (const leaf_info &info : document.leafs) {
        leaf_state &state = m_leafs[info.id];
        const bool isNew = state.info.slots != info.slots || state.concurrencyLimit == 0;
        state.info = info;
        state.incarnation = std::max(state.incarnation, info.incarnation);
        if (isNew) {
            state.concurrencyLimit = info.slots + m_settings.extraInFlight;
        }
        if (info.leaving) {
            onLeaving({info.id, info.incarnation});
        }
    }
}

void leaf_table::onHealthConfirmed(leaf_id leaf, std::uint64_t incarnation, millis askedAt)
{
    leaf_state *state = find(leaf);
    if (state == nullptr) {
        return;
    }
    state->incarnation = std::max(state->incarnation, incarnation);
    state->healthConfirmedAt = std::max(state->healthConfirmedAt.value_or(askedAt), askedAt);
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

void leaf_table::setCold(leaf_id leaf, bool cold)
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
    state->concurrencyLimit = std::min(ceiling, state->concurrencyLimit + limitIncreasePerSuccess);
}

void leaf_table::onFailure(leaf_id leaf, millis now)
{
    leaf_state *state = find(leaf);
    if (state == nullptr || !m_settings.ejectionEnabled) {
        return;
    }
    if (++state->failures >= m_settings.failuresToEject) {
        state->ejectedUntil = now + m_settings.ejectionDuration;
        state->failures = 0;
    }
}

void leaf_table::onShed(leaf_id leaf)
{
    // The published slots are shared with other processes, whose load is not visible here; shedding shows that they
    // are in use.
    if (leaf_state *state = find(leaf)) {
        state->concurrencyLimit = std::max(1.0, state->concurrencyLimit * shedDecreaseFactor);
    }
}

void leaf_table::onCallSent(leaf_id leaf, millis now)
{
    if (leaf_state *state = find(leaf)) {
        ++state->inFlight;
        state->lastUse = now;
    }
}

void leaf_table::onCallEnded(leaf_id leaf)
{
    leaf_state *state = find(leaf);
    if (state != nullptr && state->inFlight > 0) {
        --state->inFlight;
    }
}

void leaf_table::onProbeSent(leaf_id leaf, millis now)
{
    if (leaf_state *state = find(leaf)) {
        state->lastProbe = now;
    }
}

bool leaf_table::mayReceive(leaf_id leaf, millis now) const
{
    const leaf_state *state = find(leaf);
    return state != nullptr && !isLeaving(leaf) && state->healthConfirmedAt
        && now - *state->healthConfirmedAt <= m_settings.maxHealthAge;
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

millis leaf_table::healthValidUntil(leaf_id leaf) const
{
    const leaf_state *state = find(leaf);
    return state != nullptr && state->healthConfirmedAt ? *state->healthConfirmedAt + m_settings.maxHealthAge
                                                        : millis();
}

std::uint32_t leaf_table::inFlightLimit(leaf_id leaf, bool withExtra) const
{
    const leaf_state *state = find(leaf);
    if (state == nullptr) {
        return 0;
    }
    if (state->cold) {
        return 1; // A cold leaf is slow at first; a full share of requests would make it the straggler of each lookup.
    }
    const std::uint32_t wanted = state->info.slots + (withExtra ? m_settings.extraInFlight : 0);
    return std::min(wanted, static_cast<std::uint32_t>(state->concurrencyLimit));
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

std::vector<leaf_id> leaf_table::leafsDueForProbe(millis now) const
{
    std::vector<leaf_id> due;
    for (const auto &[id, state] : m_leafs) {
        const bool inUse = state.owned || (state.lastUse && now - *state.lastUse < inUseDuration);
        // Probes are needed in spite of successful answers: a leaf may go on answering while only its health endpoint
        // reports that it is leaving, which nothing else would reveal.
        const bool isProbeDue = !state.lastProbe || now - *state.lastProbe >= m_settings.probeInterval;
        if (inUse && isProbeDue) {
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
        && (!state->lastProbe || now - *state->lastProbe >= minUrgentProbeInterval);
}

void leaf_table::setOwnedLeafs(std::span<const leaf_id> leafs)
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

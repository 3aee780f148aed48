#pragma once

/** @file Health, load and limits of each leaf; a part of policy.h. */

#include "replica_choice.h"
#include "runner_settings.h"

#include <base/base.h>
#include <topology/topology.h>
#include <wire/wire.h>

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace chivelock {

/** Health, load and limits of each leaf, as observed by this process. */
class leaf_table
{
public:
    explicit leaf_table(const runner_settings &settings)
        : m_settings(settings)
    {
    }

    void onTopology(const topology_document &document);

    /** Records that the leaf was healthy as of @p askedAt. An incarnation that is leaving stays leaving, whatever it
     *  reports later.
     *  @param askedAt when the leaf was asked, not when its answer was read: an answer may have waited unread during a
     *  process pause, and the leaf may have started to leave in that time. */
    void onHealthConfirmed(leaf_id leaf, std::uint64_t incarnation, millis askedAt);

    /** @return true if the leaf was not known to be leaving. */
    bool onLeaving(leaving_leaf leaf);

    void setCold(leaf_id leaf, bool cold);
    void onSuccess(leaf_id leaf, millis latency);
    void onFailure(leaf_id leaf, millis now);
    void onShed(leaf_id leaf);
    void onCallSent(leaf_id leaf, millis now);
    void onCallEnded(leaf_id leaf);
    void onProbeSent(leaf_id leaf, millis now);

    /** Whether new work may be sent to the leaf: not known to be leaving, and its health was confirmed recently. */
    [[nodiscard]] bool mayReceive(leaf_id leaf, millis now) const;
    [[nodiscard]] bool isLeaving(leaf_id leaf) const;
    [[nodiscard]] bool isEjected(leaf_id leaf, millis now) const;

    /** When the latest confirmation of the leaf's health expires; a send decided now must not be made later. */
    [[nodiscard]] millis healthValidUntil(leaf_id leaf) const;

    /** The number of requests that this process may have in flight at the leaf. */
    [[nodiscard]] std::uint32_t inFlightLimit(leaf_id leaf, bool withExtra) const;
    [[nodiscard]] std::uint32_t inFlight(leaf_id leaf) const;
    [[nodiscard]] std::uint32_t slots(leaf_id leaf) const;
    [[nodiscard]] replica_candidate candidate(leaf_id leaf) const;

    /** Leafs in use whose last probe was sent at least a probe interval ago. */
    [[nodiscard]] std::vector<leaf_id> leafsDueForProbe(millis now) const;

    /** Whether the leaf needs an immediate probe: its health must be confirmed, and none was sent very recently. */
    [[nodiscard]] bool needsProbe(leaf_id leaf, millis now) const;

    /** Sets the leafs of the shards that this process runs; they are probed even while idle. @pre sorted. */
    void setOwnedLeafs(std::span<const leaf_id> leafs);

private:
    struct leaf_state {
        leaf_info info;
        std::uint64_t incarnation = 0;
        std::optional<std::uint64_t> leavingIncarnation;
        std::optional<millis> healthConfirmedAt;
        std::optional<millis> lastProbe;
        std::optional<millis> lastUse;
        bool owned = false;
        bool cold = false;
        std::uint32_t inFlight = 0;
        double concurrencyLimit = 0; ///< multiplied down when the leaf sheds a request, raised by each success
        double latency = 0;
        std::uint32_t failures = 0;
        std::optional<millis> ejectedUntil;
    };

    leaf_state *find(leaf_id leaf);
    [[nodiscard]] const leaf_state *find(leaf_id leaf) const;

    const runner_settings &m_settings;
    std::unordered_map<leaf_id, leaf_state> m_leafs;
};

} // namespace chivelock

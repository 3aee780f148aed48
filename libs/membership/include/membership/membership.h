#pragma once

/**
 * @file
 * Failure detection among the VMs of the system by heartbeats and gossip, and the assignment of shards to them.
 * Performs no I/O and reads no clock: received heartbeats, the published VM list and the time are passed in, and
 * heartbeats to send are returned. VMs do not reach consensus on the members. No guarantee to callers depends on the
 * members either: two VMs with different views cause extra load, never a wrong answer.
 */

#include <base/base.h>
#include <topology/topology.h>
#include <wire/wire.h>

#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace chivelock {

/** Intervals and time limits of the failure detection. The defaults suit 8 to several thousand VMs. */
struct membership_settings {
    millis pingInterval {200}; ///< between two pings; each goes to one member
    millis ackTimeout {300}; ///< a member that has not acknowledged a ping for this long becomes suspect
    millis suspicionTimeout {3000}; ///< a suspect that does not refute the suspicion within this time becomes gone
    millis pauseThreshold {1000}; ///< a longer time between two ticks means that this process was paused
    std::uint32_t maxRumoursPerHeartbeat = 6; ///< does not count the rumour about the receiver itself
};

/** A heartbeat to send. */
struct outgoing_heartbeat {
    vm_id to;
    heartbeat message;
};

/** Document revisions of this process, which each of its heartbeats carries. */
struct own_revisions {
    std::uint64_t catalogue = 0;
    std::uint64_t topology = 0;
};

/** The members of the system in the view of one process. */
class membership
{
public:
    /** @param incarnation increases with each start of this process. @param seed determines the order of the pings. */
    membership(vm_id self, std::uint64_t incarnation, membership_settings settings, std::uint64_t seed);

    /**
     * Applies the VM list of the platform. The list lags behind, so it determines only which VMs can be members and
     * which are leaving, not which are alive.
     */
    void onVmList(const vm_list_document &list);

    /** Applies a received heartbeat. @return the ack to send, unless the message is itself an ack. */
    std::optional<outgoing_heartbeat> onHeartbeat(const heartbeat &message, own_revisions own, millis now);

    /** Marks a member as suspect without waiting for a missed ack, because its connection was refused or reset. */
    void onUnreachable(vm_id vm, millis now);

    /** Marks members as suspect after a missed ack, and suspects as gone after the suspicion timeout.
     *  @return the ping to send, if one is due. */
    std::vector<outgoing_heartbeat> tick(own_revisions own, millis now);

    /** Announces that this process is about to stop, so that peers no longer choose it as a runner. */
    void startLeaving();

    /** Adds a leaving leaf to the next heartbeats. */
    void announceLeavingLeaf(leaving_leaf leaf);

    /** Members that may run shards, sorted. Includes this process unless it is leaving and other runners exist. */
    [[nodiscard]] std::span<const vm_id> runners() const
    {
        return m_runners;
    }

    [[nodiscard]] bool isRunner(vm_id vm) const;

    /** Number of VMs by which fleet-wide limits are divided: this VM and the other listed VMs that are not leaving. It
     *  includes unreachable VMs, so that both sides of a network partition together admit no more than the limit. */
    [[nodiscard]] std::size_t listedCount() const;

    /** Increases whenever @ref runners changes. */
    [[nodiscard]] std::uint64_t epoch() const
    {
        return m_epoch;
    }

    [[nodiscard]] vm_id self() const
    {
        return m_self.vm;
    }

    /** The latest known state of this VM and of each other listed VM, for status output. */
    [[nodiscard]] std::vector<member_rumour> members() const;

    /** The latest known state of one VM; empty if the VM is not listed. */
    [[nodiscard]] std::optional<member_rumour> find(vm_id vm) const;

private:
    struct member {
        member_rumour latest;
        bool listed = false; ///< in the VM list
        bool listedAsLeaving = false; ///< the VM list says that it is leaving
        millis suspectSince;
        std::optional<std::uint64_t> awaitedNonce; ///< of the ping whose ack is outstanding
        millis pingedAt;
        std::uint32_t rumourSends = 0; ///< heartbeats that spread the latest rumour
        std::uint32_t roundsWhileGone = 0; ///< ping rounds in which the member was gone
    };

    void mergeRumour(const member_rumour &rumour, millis now);
    void refuteIfContradicted(const member_rumour &rumour);
    void setState(member &target, member_state state, millis now);
    void refreshRunners();
    void refreshRunnersIfChanged();
    [[nodiscard]] heartbeat compose(vm_id to, own_revisions own);
    void addRumours(heartbeat &message, vm_id to);
    void addLeavingLeafs(heartbeat &message);
    std::optional<vm_id> nextPingTarget();
    void shufflePingOrder();
    void suspectUnackedMembers(millis now);
    void expireSuspects(millis now);
    /** @return how many heartbeats spread one rumour or leaving leaf; logarithmic in the number of members. */
    [[nodiscard]] std::uint32_t maxSendsPerUpdate() const;

    membership_settings m_settings;
    seeded_random m_random;
    member_rumour m_self;
    std::map<vm_id, member> m_members; ///< excludes this process
    std::vector<vm_id> m_runners;
    bool m_runnersChanged = false; ///< defers rebuilding m_runners until all rumours of a heartbeat are applied
    std::vector<vm_id> m_pingOrder;
    std::set<vm_id> m_awaitingAck; ///< members whose ack is outstanding, so that a tick need not visit all members
    std::set<vm_id> m_suspects;
    std::set<vm_id> m_unsentRumours; ///< members whose latest rumour still has to be sent
    std::size_t m_nextPingIndex = 0;
    std::map<leaving_leaf, std::uint32_t> m_leavingLeafs; ///< with the number of heartbeats that carried each
    std::uint64_t m_epoch = 1;
    std::uint64_t m_nonce = 0;
    millis m_lastTick;
    millis m_nextPingAt;
};

/** Assigns the shards of a service to runners by rendezvous hashing, at most ceil(shards / runners) to each runner.
 *  @pre runners is not empty. @return one VM for each shard, in the order of @p shards. */
[[nodiscard]] std::vector<vm_id>
assignShards(const service_name &service, std::span<const shard_info> shards, std::span<const vm_id> runners);

} // namespace chivelock

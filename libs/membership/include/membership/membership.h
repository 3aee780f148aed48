#pragma once

/**
 * @file
 * Which VMs of the system take part, and which of them runs a shard. Pure: heartbeats and the published list come in
 * with the time, heartbeats to send come out. Nothing here is agreed between VMs, and no promise to a caller rests on
 * it: two views that differ cost extra load, never a wrong answer.
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

/** How often and how long; the defaults suit 8 to some thousands of VMs. */
struct membership_settings {
    millis pingInterval {200}; ///< between heartbeats to one next member
    millis ackTimeout {300}; ///< without an ack, a member becomes suspect
    millis suspectFor {3000}; ///< a suspect that does not refute becomes gone
    millis pauseGap {1000}; ///< a longer gap between ticks means that this process slept
    std::uint32_t rumoursPerHeartbeat = 6;
};

/** A heartbeat to send. */
struct heartbeat_send {
    vm_id to;
    heartbeat message;
};

/** What this process tells of itself in each heartbeat. */
struct own_revisions {
    std::uint64_t catalogue = 0;
    std::uint64_t topology = 0;
};

/** The members as one process sees them. */
class membership
{
public:
    membership(vm_id self, std::uint64_t incarnation, membership_settings settings, std::uint64_t seed);

    /** Takes the platform's list; it lags, so it names who could exist and who leaves, not who lives. */
    void onList(const vm_list_document &list);

    /** @return the ack to send, if the message asks for one. */
    std::optional<heartbeat_send> onHeartbeat(const heartbeat &message, own_revisions own, millis now);

    /** The connection to the member was refused or reset: evidence at once, without waiting for a missed ack. */
    void onUnreachable(vm_id vm, millis now);

    /** Sends the next heartbeats and ages suspicions. */
    std::vector<heartbeat_send> tick(own_revisions own, millis now);

    /** This process is about to stop: peers stop choosing it as a runner. */
    void startLeaving();

    /** Tells peers of a leaf that leaves. */
    void spread(leaving_leaf leaf);

    /** Members that may run shards, this process among them unless it leaves; sorted. */
    [[nodiscard]] std::span<const vm_id> runners() const
    {
        return m_runners;
    }

    [[nodiscard]] bool isRunner(vm_id vm) const;

    /** Listed VMs that do not leave, reachable or not: the divisor of fleet-wide limits. It counts the far side of a
     *  partition too, so both sides together admit no more than the limit. */
    [[nodiscard]] std::size_t listedCount() const;

    /** Rises whenever @ref runners changes. */
    [[nodiscard]] std::uint64_t epoch() const
    {
        return m_epoch;
    }

    [[nodiscard]] vm_id self() const
    {
        return m_self.vm;
    }

    /** What is known of each listed VM, for status. */
    [[nodiscard]] std::vector<member_rumour> members() const;

    /** What is known of one VM's incarnation. */
    [[nodiscard]] std::optional<member_rumour> find(vm_id vm) const;

private:
    struct member {
        member_rumour known;
        bool listed = false;
        bool listLeaving = false;
        millis suspectSince;
        std::optional<std::uint64_t> awaitedNonce;
        millis pingedAt;
        std::uint32_t toldTimes = 0;
        std::uint32_t skippedPings = 0;
    };

    void learn(const member_rumour &rumour, millis now);
    void refute(const member_rumour &rumour);
    void setState(member &target, member_state state, millis now);
    void refreshRunners();
    void refreshIfChanged();
    [[nodiscard]] heartbeat compose(vm_id to, own_revisions own);
    void addRumours(heartbeat &message, vm_id to);
    void addLeavingLeafs(heartbeat &message);
    std::optional<vm_id> nextToPing();
    void reshuffle();
    void judgeMissingAcks(millis now);
    void ageSuspects(millis now);
    [[nodiscard]] std::uint32_t tellLimit() const;

    membership_settings m_settings;
    seeded_random m_random;
    member_rumour m_self;
    std::map<vm_id, member> m_members; ///< without this process
    std::vector<vm_id> m_runners;
    bool m_runnersChanged = false; ///< a heartbeat brings several rumours; the list is made anew once for all
    std::vector<vm_id> m_pingOrder;
    std::set<vm_id> m_awaited; ///< members whose ack is awaited; the rest need no look at each tick
    std::set<vm_id> m_suspects;
    std::set<vm_id> m_untold; ///< members of whom something is still to be told
    std::size_t m_pingNext = 0;
    std::map<leaving_leaf, std::uint32_t> m_leavingLeafs; ///< and how often each was told
    std::uint64_t m_epoch = 1;
    std::uint64_t m_nonce = 0;
    millis m_lastTick;
    millis m_nextPing;
};

/** Who runs each shard of a service: rendezvous hashing with at most ceil(shards / runners) shards for a runner.
 *  @pre runners is not empty. @return one VM for each shard, in the order given. */
[[nodiscard]] std::vector<vm_id>
assignShards(const service_name &service, std::span<const shard_info> shards, std::span<const vm_id> runners);

} // namespace chivelock

#pragma once

/**
 * @file
 * Distributes the contents of the platform's store to a fleet with few calls to the store: one process reads the store,
 * the others follow it in a tree, and each forwards what it receives to a few followers. There is no leader election
 * and no consensus: a process that finds no upstream in time reads the store itself, so correctness does not depend on
 * the tree; the tree only saves calls. This library does no I/O, starts no threads and reads no clock.
 */

#include "fleet_actions.h"
#include "fleet_messages.h"
#include "store_view.h"

#include <base/base.h>
#include <leafs/leafs.h>
#include <quarantine/quarantine.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chivelock {

struct fleet_settings {
    std::string address; ///< of this process, at which the others reach it
    zone_name zone;
    std::vector<std::string> seeds; ///< processes to ask first, the same list in all processes; may be stale
    std::vector<std::string> prefixes; ///< of the store that this process keeps a copy of
    std::size_t fanOut = 8; ///< followers in the own zone; sending a configuration to more saturates a small VM's link
    millis heartbeatInterval {400}; ///< between two heartbeats on a link
    millis upstreamTimeout {1100}; ///< without a message the upstream counts as lost: two heartbeats and some delay
    millis drawInterval {60}; ///< between two random draws on whether to read the store; some round trips, so that a
                              ///< process that has just started reading is found before the next draw
    millis storeLostDelay {450}; ///< after the root has lost the store, before this process starts to draw
    millis seedStoreLostDelay {240}; ///< the same for a seed; the other processes look for a reader at the seeds
    std::size_t maxMembers = 4096; ///< in member lists: a fleet of some thousands, some hundred kilobytes of memory
    millis readerSearchInterval {3000}; ///< between a reader's searches for another reader to follow
    /** Longest wait for a word of another process on what was read alone at the start. Within it the others notice a
     *  silent upstream and look for another one at the seeds. */
    millis confirmationTimeout {1650};
    millis reportInterval {200}; ///< between messages with reports; each costs a packet, whatever its size
    std::size_t maxReportsPerMessage = 20; ///< in the worst case 1.2 kB per second on each link of the tree
};

/** State machine of this process's place in the tree. */
class fleet_node
{
public:
    fleet_node(fleet_settings settings, std::uint64_t seed);

    void start(millis now);

    /** A connection that this process dialled is open. */
    void onLinkOpen(link_id link, millis now);

    /** A connection was closed or could not be opened. */
    void onLinkClosed(link_id link, millis now);

    /** @param link a dialled link, or any unused number for a connection that another process opened. */
    void onMessage(link_id link, fleet_message message, millis now);

    void onStoreContents(std::string_view prefix, std::vector<store_item> items, std::uint64_t revision);
    void onStoreChanges(std::string_view prefix, std::vector<store_item> items, std::uint64_t revision);

    /** @param ok this process reads the prefix from the store successfully. */
    void onStoreState(std::string_view prefix, bool ok, millis now);

    /** This process's store reader has delivered all changes that the store accepted up to @p asOf. */
    void onStoreFreshness(millis asOf, millis now);

    /** Queues reports about leafs by this process; they are sent to the fleet with the next tick. */
    void report(std::span<const leaf_report> reports);

    /** Sends evidence about requests to the fleet without delay. @param except link that it came from; 0 for none. */
    void sendRequestEvidence(std::span<const request_evidence> requests, link_id except, millis now);

    /** Sends all evidence about requests to one process. */
    void sendAllRequestEvidence(link_id link, std::span<const request_evidence> requests, millis now);

    /**
     * Prepares the shutdown of this process, which still serves its callers until it exits. Followers are dropped, and
     * the member lists omit this process, so that no work is delegated to it. It keeps receiving from the fleet and
     * sending its findings: otherwise no other VM would know of a query of death that arrived here first, and the next
     * VM would send it to all shards again.
     */
    void leave(millis now);

    /** Performs all actions that are due; call it several times per second. */
    void tick(millis now);

    [[nodiscard]] std::vector<fleet_action> takeActions();

    /** Estimated number of processes, too high rather than too low because limits are divided by it. */
    [[nodiscard]] std::size_t fleetSize(millis now) const;

    /**
     * Number of processes that may run: more than @ref fleetSize while the settings name other processes and none is
     * heard, since these, and others that reach none of them either, may run all the same.
     */
    [[nodiscard]] std::size_t possibleFleetSize(millis now) const;

    [[nodiscard]] const store_view &view(std::string_view prefix) const;

    /**
     * Time up to which this process knows all changes that the store accepted. It is the time for which the store
     * reader confirms freshness, passed down the tree, and not the time of arrival; so process pauses and unresponsive
     * links on the way never make it too recent.
     */
    [[nodiscard]] millis currentAsOf() const
    {
        return m_currentAsOf;
    }

    /**
     * Whether the store is unavailable to the root of the tree. A process without recent peers does not conclude this,
     * since it may be cut off itself, and does not assume that missing entries have expired. Once unavailable, the
     * store stays so until it has answered again.
     */
    [[nodiscard]] bool isStoreUnavailable() const
    {
        return m_storeUnavailable;
    }

    /** Whether the root of the tree reads the store successfully, as far as this process knows. */
    [[nodiscard]] bool storeOk() const
    {
        if (m_phase == phase::Seeking) {
            return true; // unknown until an upstream is found
        }
        return m_phase == phase::Following ? m_upstreamState.storeOk || m_upstreamState.starting
                                           : ownStoreOk() || m_starting;
    }

    /**
     * Whether another process sent a message recently. If none did, an unresponsive store may only be unreachable from
     * this process.
     */
    [[nodiscard]] bool hasResponsivePeer(millis now) const;

    /** Whether this process has only contents that were read without a word of other processes, by itself or above it,
     *  although others may run: they may lack deletions. */
    [[nodiscard]] bool isUnconfirmed() const
    {
        return m_awaitsConfirmation;
    }

    /** @return the current or last upstream; empty before the first. */
    [[nodiscard]] const std::string &upstreamAddress() const
    {
        return m_upstreamAddress;
    }

    [[nodiscard]] bool isReading() const
    {
        return m_phase == phase::Reading;
    }

private:
    enum class phase : std::uint8_t {
        Seeking, ///< looking for an upstream
        Following,
        Reading ///< reads the store for itself and its subtree
    };

    using member_list = std::shared_ptr<const std::vector<fleet_member>>;

    struct upstream_candidate {
        std::string address;
        member_list sentMembers; ///< this process's subtree as sent in the request
        millis dialledAt;
        bool answered = false; ///< it has sent its state
    };

    /** How far the contents of one prefix have been sent in parts. */
    struct contents_transfer {
        std::string lastKey; ///< of the parts that were sent
        std::uint32_t nextPart = 0;
    };

    struct follower {
        std::string address;
        zone_name zone;
        std::uint32_t subtree = 1;
        millis receivedAt; ///< last request or heartbeat
        std::vector<fleet_member> members; ///< of its subtree, sorted
        member_list sentMembers; ///< the fleet as last sent to it
        bool hasContents = false; ///< it has contents of the store that do not only come from this process
        bool isUnconfirmed = false; ///< as it said last
        bool acceptsParts = false;
        std::map<std::string, contents_transfer, std::less<>> transfers; ///< by prefix; one is in progress

        /** Whether it is shutting down and accepts no followers: a leaving process omits itself from its subtree. */
        [[nodiscard]] bool isLeaving() const
        {
            return std::ranges::find(members, address, &fleet_member::address) == members.end();
        }
    };

    /** A process that asked to follow while this process was still seeking an upstream itself. */
    struct waiting_follower {
        link_id link = 0;
        follow_request request;
    };

    /** The parts of one prefix's contents that have arrived, and the changes since. */
    struct collected_parts {
        std::uint32_t count = 0;
        std::map<std::pair<std::string, bool>, store_item> items; ///< by key, and whether it is a deletion

        void add(store_item item);
    };

    struct queued_report {
        leaf_report report;
        link_id from = 0; ///< 0 for reports by this process
    };

    void startSearch(millis now);
    void dialNextSeed();
    void restartSeedSearch(millis now);
    void searchForReader(millis now);
    void dial(const std::string &address);
    void dropCandidates(link_id except);
    void becomeReader(std::string_view why, millis now);
    void followCandidate(link_id link, const upstream_state &state, millis now);
    void dropUpstream(std::string_view why, millis now);
    void checkUpstream(millis now);
    void drawToRead(millis now);
    void drawIfDue(millis now);
    void recordUndelivered(millis now);
    void drawToLeaveUpstream(millis now);
    void draw(millis now);
    void drawToReplaceReader(millis now);
    [[nodiscard]] bool isReadingFirstContents() const;
    [[nodiscard]] bool knowsAllPrefixes() const;
    [[nodiscard]] bool isSeed() const;
    [[nodiscard]] bool namesOthers() const;
    [[nodiscard]] std::vector<std::string> followableSeeds() const;
    void onState(link_id link, const upstream_state &state, millis now);
    void onUpstreamState(const upstream_state &state, millis now);
    void onCandidateState(link_id link, const upstream_state &state, millis now);

    void onFollow(link_id link, follow_request request, millis now);
    void refuse(link_id link, const follow_request &request);
    void processWaitingRequests(millis now);
    void dropCandidateBehind(const std::string &address);
    void dialReaderIfNeeded(const follow_request &request);
    [[nodiscard]] bool mayFollow(const follow_request &request, millis now) const;
    [[nodiscard]] std::vector<std::string> referralsFor(const follow_request &request) const;
    void onHeartbeat(link_id link, const follow_heartbeat &heartbeat, millis now);
    void sendStateToFollowers(millis now);
    void recordTick(millis now);
    void updateStoreAvailability(millis now);
    [[nodiscard]] bool mayHaveExpiredEntries() const;
    void onUpstreamFreshness(const upstream_state &state, millis now);
    void advanceFreshness(millis asOf, millis now);
    void dropUnresponsiveFollowers(millis now);
    void sendHeartbeat(millis now);
    void sendHeartbeatUpstream();

    void onItems(link_id link, store_items items, millis now);
    [[nodiscard]] bool applyPatches(store_items &items);
    void requestFullContents(const std::string &prefix, std::string_view key);
    void sendMissingItems(link_id link, const follow_request &request);
    void sendItems(std::vector<link_id> links, store_items items);
    void forwardItems(store_items items, std::vector<store_item> newItems);
    [[nodiscard]] std::vector<item_patch> extractPatches(std::string_view prefix, std::vector<store_item> &items) const;

    [[nodiscard]] static bool needsParts(std::size_t bytes);
    [[nodiscard]] static std::size_t bytesOf(const store_items &items);
    [[nodiscard]] bool isSendingParts(std::string_view prefix) const;
    void startTransfer(link_id link, const std::string &prefix);
    void sendNextPart(link_id link);
    [[nodiscard]] bool collectParts(store_items &items);
    void dropCollectedParts();

    void onRecentDeletions(link_id link, const recent_deletions &message);
    void sendRecentDeletions(link_id link);
    void useChanges(store_changes_action changes);
    void searchForOthers();
    void recordUnanswered(const upstream_candidate &lost, millis now);
    void onJoined(millis now);
    void onUpstreamConfirmed(millis now);
    void releaseUnconfirmed(millis now);
    [[nodiscard]] std::string_view confirmationOfChanges(millis now) const;
    void recordDeletions(const std::string &prefix, std::span<const store_item> newItems);
    void dropExpiredDeletions();
    void onLeafReports(link_id link, leaf_reports_message message, millis now);
    void onRequestEvidence(link_id link, request_evidence_message message, millis now);
    [[nodiscard]] bool isNeighbour(link_id link) const;
    void queueReport(const leaf_report &report, link_id from);
    void sendReports(millis now);
    [[nodiscard]] std::vector<link_id> neighbours() const;

    [[nodiscard]] std::vector<fleet_member> subtreeMembers() const;
    void refreshMembers();
    void setMembers(std::vector<fleet_member> members);
    void updateMembers(const upstream_state &state);

    [[nodiscard]] follow_request ownRequest() const;
    [[nodiscard]] upstream_state ownState(bool accepted) const;
    [[nodiscard]] bool canConfirmFreshness() const;
    [[nodiscard]] bool ownStoreOk() const;
    [[nodiscard]] std::uint32_t subtree() const;
    [[nodiscard]] bool hasData() const;
    void sendMessage(link_id link, fleet_message message);
    void recordFleetSize(std::uint32_t size, millis now);
    void addLogEvent(std::string_view event, std::string subject, millis upstreamSilence);

    fleet_settings m_settings;
    seeded_random m_random;
    std::map<std::string, store_view, std::less<>> m_views;
    std::map<std::string, bool, std::less<>> m_prefixReadOk; ///< by prefix; the store reader works
    phase m_phase = phase::Seeking;
    bool m_leaving = false;
    bool m_starting = false; ///< reading, and no read has succeeded or failed yet
    millis m_nextDraw;
    unsigned m_drawCount = 0; ///< since the last upstream that delivered was lost
    unsigned m_undelivered = 0; ///< upstreams in a row, the present one included, that have not confirmed the contents
    millis m_redialAt;
    millis m_stateExpectedUntil; ///< a starting process has asked to wait for its next state until then
    std::size_t m_nextSeed = 0; ///< index of the next followable seed to dial
    std::size_t m_seedsDialled = 0; ///< since the seed search was last restarted
    std::string m_previousReader; ///< root of the tree when it lost the store
    millis m_nextHeartbeat;
    millis m_tickAt;
    millis m_previousTickAt; ///< the tick before the last; a message handled now arrived after it
    bool m_storeUnavailable = false; ///< see @ref isStoreUnavailable
    millis m_storeLostSince = millis::never(); ///< no process upstream, nor this one, reads the store
    millis m_storeUnavailableAt = millis() - millis::never(); ///< when the store was last seen unavailable
    millis m_currentAsOf = millis() - millis::never();
    millis m_sentAsOf; ///< last value sent to the followers
    millis m_stateSentAt; ///< when the state was last sent to the followers
    millis m_nextReaderSearch;
    std::map<link_id, upstream_candidate> m_candidates;
    std::size_t m_referralCount = 0; ///< referrals dialled in this search
    link_id m_upstream = 0;
    std::string m_upstreamAddress;
    millis m_upstreamReceivedAt; ///< last message
    upstream_state m_upstreamState;
    millis m_upstreamStoreLostSince = millis::never();
    struct recorded_deletion {
        std::string prefix;
        store_item item;
        millis receivedAt;
    };
    std::deque<recorded_deletion> m_recentDeletions; ///< sent on new links
    bool m_awaitsConfirmation = false; ///< nothing was passed on yet, and there may be other processes that know more
    std::vector<store_changes_action> m_unconfirmed; ///< read alone and not passed on yet
    bool m_othersMayKnowMore = false; ///< another process did not answer, or runs without the store
    millis m_confirmBy = millis::never(); ///< the changes are passed on then in any case
    millis m_confirmedAt = millis::never(); ///< the deletions that the others know have arrived by then
    std::set<std::string> m_fullContentsPending; ///< prefixes whose full contents were requested and have not arrived
    std::map<std::string, collected_parts, std::less<>> m_collectedParts; ///< by prefix
    std::map<link_id, follower> m_followers;
    std::vector<waiting_follower> m_waiting;
    bool m_subtreeChanged = false; ///< since the upstream was last informed
    millis m_nextMemberUpdate; ///< when member changes may next be sent to the whole fleet
    millis m_nextReports;
    std::map<leaf_digest, queued_report> m_queuedReports; ///< to be forwarded, by leaf
    member_list m_members; ///< of the fleet, sorted
    member_list m_membersSentUpstream; ///< subtree as last sent to the upstream
    std::uint32_t m_fleetSize = 1;
    std::uint32_t m_recentLargestSize = 1; ///< largest fleet size seen recently
    millis m_recentLargestSizeUntil;
    millis m_sizeEstimateUntil; ///< until then the initial estimate is a lower bound
    link_id m_nextLink = 1;
    std::vector<fleet_action> m_actions;
};

} // namespace chivelock

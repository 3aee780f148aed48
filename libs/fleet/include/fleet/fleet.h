#pragma once

/**
 * @file
 * How a fleet learns what the platform's store says with few calls: one process reads, the others follow it in a tree,
 * each passing on what it hears to a few more. Nobody is elected and nothing is agreed: a process that hears no one in
 * time reads for itself, so the tree saves calls and nothing rests on it. No input or output, no thread, no clock.
 */

#include <base/base.h>
#include <leafs/leafs.h>
#include <quarantine/quarantine.h>

#include <tl/expected.hpp>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace chivelock {

/** One item of the store as it was written, or the word that it is gone. */
struct store_item {
    std::string key;
    std::uint64_t revision = 0; ///< of the store; rises with every change of any key
    bool deleted = false;
    std::string value; ///< empty if deleted
    std::uint64_t created = 0; ///< revision at which the key came to be; 0 where that is not told, as between processes
};

/** What is known of one prefix of the store. Takes news in any order and from several sources; never goes back. */
class store_view
{
public:
    /** @param mayHaveLapsed deletions may be the store's trouble alone. @return the items that are news here, oldest
     *  first. */
    std::vector<store_item>
    applyChanges(std::vector<store_item> items, std::uint64_t revision, bool mayHaveLapsed = false);

    /** @param items all that the prefix held at @p revision. @return as @ref applyChanges; keys that are missing
     *  count as deleted. */
    std::vector<store_item>
    applyContents(std::vector<store_item> items, std::uint64_t revision, bool mayHaveLapsed = false);

    /** Whether the contents were known at some time. */
    [[nodiscard]] bool known() const
    {
        return m_known;
    }

    /** Everything up to this revision is in. */
    [[nodiscard]] std::uint64_t revision() const
    {
        return m_revision;
    }

    /** Deletions that were told elsewhere. @return as @ref applyChanges; what was written after one follows it anew. */
    std::vector<store_item> applyPastDeletions(std::span<const store_item> items);

    struct held {
        std::uint64_t revision = 0;
        std::string value;
    };

    /** @return what is held under the key, until the next change; nullptr for nothing. */
    [[nodiscard]] const held *find(std::string_view key) const;

    /** @return what a holder of @p revision lacks, or nothing if deletions that old are forgotten. */
    [[nodiscard]] std::optional<std::vector<store_item>> changesSince(std::uint64_t revision) const;

    [[nodiscard]] std::vector<store_item> contents() const;

    /** @return the contents and the latest deletions: what is written after one may be a late write of what is gone,
     * and whoever begins to listen then must know. */
    [[nodiscard]] std::vector<store_item> contentsWithDeletions() const;

private:
    void addMissedDeletions(std::vector<store_item> &items) const;
    [[nodiscard]] bool isNews(const store_item &item) const;
    void keep(const store_item &item, bool mayHaveLapsed);
    void forgetOldDeletions();

    struct deletion {
        std::uint64_t revision = 0;
        bool mayHaveLapsed = false; ///< what is written after it is a return
    };

    bool m_known = false;
    std::uint64_t m_revision = 0;
    std::map<std::string, held, std::less<>> m_items;
    std::map<std::string, deletion, std::less<>> m_deleted; ///< the last one; some keys are written anew
    std::uint64_t m_deletionsSince = 0; ///< deletions after this revision are all in @ref m_deleted
};

// ---- messages

/** What a process knows of one prefix. */
struct known_revision {
    std::string prefix;
    std::uint64_t revision = 0;
};

/** A process of the fleet. */
struct fleet_member {
    std::string address;
    zone_name zone;
    auto operator<=>(const fleet_member &) const = default;
};

/** To a process further up: pass on to me what you hear. */
struct follow_request {
    std::string address; ///< at which the sender takes followers itself
    zone_name zone; ///< of the sender
    bool readsStore = false; ///< the sender reads the store without trouble: whoever does not may follow it instead
    std::uint32_t subtree = 1; ///< processes that hear through the sender, itself among them
    std::vector<known_revision> known;
    std::vector<fleet_member> members; ///< the subtree
};

/** How a list of processes differs from the one told before on the same link. */
struct member_changes {
    std::vector<fleet_member> joined;
    std::vector<fleet_member> left;

    [[nodiscard]] bool empty() const
    {
        return joined.empty() && left.empty();
    }
};

/** @pre both lists are sorted. */
[[nodiscard]] member_changes differenceOf(std::span<const fleet_member> before, std::span<const fleet_member> after);

/** @param before sorted. @return the list after the changes, sorted. */
[[nodiscard]] std::vector<fleet_member> applied(std::span<const fleet_member> before, const member_changes &changes);

/** Upwards: still here. */
struct follow_beat {
    std::uint32_t subtree = 1;
    member_changes changes; ///< of the subtree
};

/** Downwards: still here, and how I know what I pass on. */
struct upstream_state {
    bool accepted = false; ///< the receiver is a follower of the sender
    bool storeOk = false; ///< the process at the top reads the store without trouble
    bool starting = false; ///< the process at the top has asked the store and waits for its first answer
    std::uint32_t fleetSize = 1;
    std::vector<std::string> path; ///< addresses from the top down to the sender
    std::vector<std::string> elsewhere; ///< whom to ask instead, if not accepted
    std::vector<fleet_member> members; ///< of the fleet, all of them; empty if not all are told
    member_changes changes; ///< of the fleet
    std::optional<millis> currentAsOf; ///< see @ref fleet_node::currentAsOf; on the wire an age, decoded as that long
                                       ///< before zero
};

/** One item as the difference to what the receiver holds. */
struct item_patch {
    std::string key;
    std::uint64_t revision = 0;
    std::uint64_t baseRevision = 0; ///< of the value that it was made from
    std::uint64_t digest = 0; ///< of the whole new value
    std::uint32_t size = 0; ///< of the whole new value
    std::string bytes;
};

/** Downwards: news of one prefix. */
struct store_items {
    std::string prefix;
    bool whole = false; ///< all that the prefix holds, not only what changed
    std::uint64_t revision = 0;
    std::vector<store_item> items;
    std::vector<item_patch> patches;
};

/** Up and down: what VMs found out about leafs. */
struct leaf_news {
    std::vector<leaf_report> reports; ///< with ages on the wire; decoded as observed that long before zero
};

/** Up and down, at once: what VMs found out about requests that end leafs. */
struct request_news {
    std::vector<request_evidence> requests; ///< with ages on the wire; decoded as seen that long before zero
};

/** Up and down: what was deleted of late, to whoever joins. The store does not say it to one that begins to read. */
struct past_deletions {
    std::string prefix;
    std::vector<store_item> items;
};

using fleet_message =
    std::variant<follow_request, follow_beat, upstream_state, store_items, leaf_news, request_news, past_deletions>;

/** Why bytes are not a message of the fleet. */
enum class fleet_wire_error : std::uint8_t {
    Malformed, ///< the FlatBuffers verifier refused it
    Unpackable, ///< compressed bytes that are not what their sender said
    UnknownMessage
};

/** @return a whole frame: length in four bytes, little-endian, then the message. */
[[nodiscard]] std::string encodeFleetFrame(const fleet_message &message);

/** @param payload one frame without its length. */
[[nodiscard]] tl::expected<fleet_message, fleet_wire_error> decodeFleetPayload(std::span<const std::uint8_t> payload);

// ---- the tree

/** Names one connection to another process of the fleet, as long as it lasts. */
using link_id = std::uint64_t;

struct fleet_settings {
    std::string address; ///< of this process, as others know it
    zone_name zone;
    std::vector<std::string> seeds; ///< processes to ask first, the same list for all; may be stale
    std::vector<std::string> prefixes; ///< of the store that are followed
    std::size_t fanOut = 8; ///< followers in the own zone: passing a configuration on to more fills a small VM's link
    millis beat {400}; ///< between signs of life
    millis silence {1100}; ///< without one, the process above counts as lost: two beats and some delay
    millis drawInterval {60}; ///< between two draws for who reads the store; some round trips, so that whoever has just
                              ///< begun can be found before the next
    millis patience {450}; ///< with a process above whose store is lost, before the draws begin
    millis seedPatience {240}; ///< the same of a seed: the others look to the seeds
    std::size_t mostMembers = 4096; ///< that are told of: a fleet of some thousands, some hundred kilobytes of memory
    millis mergeInterval {3000}; ///< between a reader's looks for another reader to follow
    millis reportInterval {200}; ///< between messages with reports: each is a packet, however little it says
    std::size_t mostReports = 20; ///< in one message: 1.2 kB a second on each link of the tree on the worst day
};

/** Connect to a process. */
struct dial_action {
    link_id link = 0;
    std::string address;
};

/** Close a connection. */
struct hang_up_action {
    link_id link = 0;
};

/** Send the same message on each of these connections. */
struct tell_action {
    std::vector<link_id> links;
    fleet_message message;
};

/** Begin or end reading the store. */
struct read_action {
    bool reading = false;
};

/** The store's news for this process's own use. */
struct news_action {
    std::string prefix;
    std::vector<store_item> items;
};

/** The processes of the fleet, this one among them; at most @ref fleet_settings::mostMembers. */
struct members_action {
    std::vector<fleet_member> members;
};

/** What other processes found out about leafs. */
struct reports_action {
    std::vector<leaf_report> reports;
};

/** What other processes found out about requests; what of it is news here goes to @ref fleet_node::tellRequests. */
struct requests_action {
    link_id from = 0;
    std::vector<request_evidence> requests;
};

/** A process has come to the link: tell it all that is known of requests. */
struct greet_action {
    link_id link = 0;
};

/** A change of what this process believes of the tree; for the log. */
struct tree_note_action {
    std::string_view event;
    std::string about;
    millis input; ///< silence, or time spent
};

using fleet_action = std::variant<dial_action,
                                  hang_up_action,
                                  tell_action,
                                  read_action,
                                  news_action,
                                  members_action,
                                  reports_action,
                                  requests_action,
                                  greet_action,
                                  tree_note_action>;

/** This process's place in the tree. */
class fleet_node
{
public:
    fleet_node(fleet_settings settings, std::uint64_t seed);

    void start(millis now);

    /** A connection that was dialled is open. */
    void onLinkOpen(link_id link, millis now);

    /** A connection is gone, or could not be made. */
    void onLinkClosed(link_id link, millis now);

    /** @param link a dialled one, or any new number for a connection that another process opened. */
    void onMessage(link_id link, fleet_message message, millis now);

    void onStoreContents(std::string_view prefix, std::vector<store_item> items, std::uint64_t revision);
    void onStoreChanges(std::string_view prefix, std::vector<store_item> items, std::uint64_t revision);

    /** Whether this process's own reading of the prefix goes on without trouble. */
    void onStoreState(std::string_view prefix, bool ok, millis now);

    /** All that the store accepted up to then, of what is vouched for, was told by this process's own reading. */
    void onStoreCurrent(millis asOf, millis now);

    /** Tells the fleet what this process found out about leafs, with the next tick. */
    void report(std::span<const leaf_report> reports);

    /** Tells what was found out about requests, at once. @param except the link from which it came; 0 for none. */
    void tellRequests(std::span<const request_evidence> requests, link_id except, millis now);

    /** Tells one process all that is known of requests. */
    void greet(link_id link, std::span<const request_evidence> requests, millis now);

    /**
     * This process stops, and serves its callers until it ends. Nobody follows it any more, and nobody is told of it as
     * one that takes work; it goes on hearing the fleet and telling it what it finds out. Without that a request that
     * ends leafs, met here first, was known to nobody else: the next VM sent it to all shards once more.
     */
    void leave(millis now);

    /** Does what is due; call it some times a second. */
    void tick(millis now);

    [[nodiscard]] std::vector<fleet_action> takeActions();

    /** Processes of the fleet, rather too many than too few: limits are divided by it. */
    [[nodiscard]] std::size_t fleetSize(millis now) const;

    [[nodiscard]] const store_view &view(std::string_view prefix) const;

    /**
     * All that the store accepted up to this moment is known here, whatever stands still or is silent on the way: it is
     * the moment for which the reader vouches, handed down, never that of its arrival.
     */
    [[nodiscard]] millis currentAsOf() const
    {
        return m_asOf;
    }

    /** The store does not answer whoever is at the top of the tree. A process that hears nobody may be cut off itself,
     * and for it nothing lapses; but what it has known it believes until the store has answered again. */
    [[nodiscard]] bool storeInTrouble() const
    {
        return m_inTrouble;
    }

    /** Whether the process at the top of the tree reads the store without trouble, as far as is known here. */
    [[nodiscard]] bool storeOk() const
    {
        if (m_phase == phase::Seeking) {
            return true; // not known; whoever is found will tell
        }
        return m_phase == phase::Following ? m_upstreamState.storeOk || m_upstreamState.starting
                                           : ownStoreOk() || m_starting;
    }

    /** Whether another process was heard of late: without one, a store that is silent may only be out of reach of here.
     */
    [[nodiscard]] bool hearsPeers(millis now) const;

    /** @return the process that this one follows, or followed last; empty before the first. */
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
        Seeking, ///< for a process to follow
        Following,
        Reading ///< the store, for itself and all below
    };

    using member_list = std::shared_ptr<const std::vector<fleet_member>>;

    struct candidate {
        std::string address;
        member_list told; ///< this process's subtree, as the request said
    };

    struct follower {
        std::string address;
        zone_name zone;
        std::uint32_t subtree = 1;
        millis heardAt;
        std::vector<fleet_member> members; ///< of its subtree, sorted
        member_list told; ///< the fleet as it knows it

        /** It stops and takes no followers: whoever is below it names itself but for that. */
        [[nodiscard]] bool isLeaving() const
        {
            return std::ranges::find(members, address, &fleet_member::address) == members.end();
        }
    };

    /** One that asked while this process had nothing to say yet. */
    struct waiting_follower {
        link_id link = 0;
        follow_request request;
    };

    struct kept_report {
        leaf_report report;
        link_id from = 0; ///< 0 for this process's own
    };

    void seek(millis now);
    void dialNext();
    void lookAgain(millis now);
    void lookForReader(millis now);
    void dial(const std::string &address);
    void dropCandidates(link_id except);
    void becomeReader(std::string_view why, millis now);
    void adopt(link_id link, const upstream_state &state, millis now);
    void loseUpstream(std::string_view why, millis now);
    void judgeUpstream(millis now);
    void drawToRead(millis now);
    void drawBesideUpstream(millis now);
    [[nodiscard]] bool isSeed() const;
    [[nodiscard]] std::vector<std::string> candidates() const;
    void onState(link_id link, const upstream_state &state, millis now);
    void onUpstreamState(const upstream_state &state, millis now);
    void onCandidateState(link_id link, const upstream_state &state, millis now);

    void onFollow(link_id link, follow_request request, millis now);
    void refuse(link_id link, const follow_request &request);
    void answerWaiting(millis now);
    void noticeReader(const follow_request &request);
    [[nodiscard]] bool mayFollow(const follow_request &request, millis now) const;
    [[nodiscard]] std::vector<std::string> referralsFor(const follow_request &request) const;
    void onBeat(link_id link, const follow_beat &sign, millis now);
    void tellFollowers(millis now);
    void noteTick(millis now);
    void judgeStore(millis now);
    [[nodiscard]] bool mayLapse() const;
    void hearCurrent(const upstream_state &state, millis now);
    void noteCurrent(millis asOf, millis now);
    void dropSilentFollowers(millis now);
    void beat(millis now);

    void onItems(link_id link, store_items items, millis now);
    [[nodiscard]] bool unpack(store_items &items);
    void askForWhole(const std::string &prefix, std::string_view key);
    void sendMissing(link_id link, const follow_request &request);
    void passOn(store_items items, std::vector<store_item> news);
    [[nodiscard]] std::vector<item_patch> takePatches(std::string_view prefix, std::vector<store_item> &items) const;

    void onPastDeletions(link_id link, const past_deletions &told);
    void tellPastDeletions(link_id link);
    void keepDeletions(const std::string &prefix, std::span<const store_item> news);
    void forgetLateDeletions();
    void onLeafNews(link_id link, leaf_news news, millis now);
    void onRequestNews(link_id link, request_news news, millis now);
    [[nodiscard]] bool isNeighbour(link_id link) const;
    void keepReport(const leaf_report &report, link_id from);
    void tellReports(millis now);
    [[nodiscard]] std::vector<link_id> neighbours() const;

    [[nodiscard]] std::vector<fleet_member> subtreeMembers() const;
    void refreshMembers();
    void setMembers(std::vector<fleet_member> members);
    void hearMembers(const upstream_state &state);

    [[nodiscard]] follow_request ownRequest() const;
    [[nodiscard]] upstream_state ownState(bool accepted) const;
    [[nodiscard]] bool mayVouch() const;
    [[nodiscard]] bool ownStoreOk() const;
    [[nodiscard]] std::uint32_t subtree() const;
    [[nodiscard]] bool hasData() const;
    void tell(link_id link, fleet_message message);
    void noteSize(std::uint32_t size, millis now);
    void note(std::string_view event, std::string about, millis input);

    fleet_settings m_settings;
    seeded_random m_random;
    std::map<std::string, store_view, std::less<>> m_views;
    std::map<std::string, bool, std::less<>> m_readOk; ///< by prefix, while reading
    phase m_phase = phase::Seeking;
    bool m_leaving = false;
    bool m_starting = false; ///< reads, and the store has not answered or failed yet
    millis m_nextDraw;
    unsigned m_draws = 0; ///< since the search began
    millis m_redialAt;
    millis m_promisedUntil; ///< a process that is starting will say more by then
    std::size_t m_nextSeed = 0; ///< of those that may be followed, to be dialled
    std::size_t m_seedsDialled = 0; ///< since the last look
    std::string m_lastTop; ///< process at the top when its store was lost
    millis m_nextBeat;
    millis m_tickAt;
    millis m_quietAt; ///< the tick before the last: what is handled now arrived later than that
    bool m_inTrouble = false; ///< see @ref storeInTrouble
    millis m_lostSince = millis::never(); ///< nobody above reads the store
    millis m_troubleAt = millis() - millis::never(); ///< its last sign
    millis m_asOf = millis() - millis::never();
    millis m_toldAsOf; ///< as the followers know it
    millis m_toldAt; ///< when they last heard
    millis m_nextMerge;
    std::map<link_id, candidate> m_candidates;
    std::size_t m_referrals = 0; ///< followed in this search
    link_id m_upstream = 0;
    std::string m_upstreamAddress;
    millis m_upstreamHeardAt;
    upstream_state m_upstreamState;
    millis m_upstreamBadSince = millis::never();
    struct late_deletion {
        std::string prefix;
        store_item item;
        millis heardAt;
    };
    std::deque<late_deletion> m_lateDeletions; ///< for whoever joins
    std::set<std::string> m_wholeAsked; ///< prefixes of which all was asked for and has not come yet
    std::map<link_id, follower> m_followers;
    std::vector<waiting_follower> m_waiting;
    bool m_subtreeChanged = false; ///< since the process above was told
    millis m_nextMembers; ///< when the whole fleet may be told of changes again
    millis m_nextReports;
    std::map<leaf_digest, kept_report> m_reports; ///< to be passed on, by leaf
    member_list m_members; ///< of the fleet, sorted
    member_list m_toldUpstream; ///< subtree as the process above knows it
    std::uint32_t m_size = 1;
    std::uint32_t m_rememberedSize = 1; ///< the greatest of late
    millis m_rememberedUntil;
    millis m_guessUntil; ///< nothing is known yet
    link_id m_nextLink = 1;
    std::vector<fleet_action> m_actions;
};

} // namespace chivelock

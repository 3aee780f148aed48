#pragma once

/**
 * @file
 * What one process knows of leafs: who there is, how fast they are, which of them are in trouble, and how many extra
 * requests may be sent to a service. Pure: events come in with the time.
 */

#include <base/base.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chivelock {

/**
 * After the store's trouble, within which entries that lapsed for it come back. They need two seconds; four after its
 * trouble the store's word counts again, and whoever reads it notices the end up to a second late.
 */
inline constexpr millis lapseEcho(2500);

/** What a leaf says of itself in the platform's store. */
struct leaf_entry {
    std::string id;
    service_name service;
    std::string address; ///< IP number and port
    zone_name zone;
    unsigned slots = 1; ///< requests that it processes at a time
    bool draining = false;
    millis coldFor; ///< how much longer it is slow after its start
    std::optional<millis> bornAt; ///< its start by its own time of day; a later one under the same id is another leaf
    std::uint64_t sequence = 0; ///< rises with what it says of itself; begins anew with each start
};

/** Follows a quantile of a stream of times without keeping them: each value moves the estimate a small step. */
class quantile_tracker
{
public:
    quantile_tracker(double share, millis first)
        : m_share(share)
        , m_estimate(first)
    {
    }

    void add(millis value);

    [[nodiscard]] millis estimate() const
    {
        return m_estimate;
    }

private:
    double m_share;
    millis m_estimate;
};

/** How long leafs take for the requests of one route. */
struct route_pace {
    explicit route_pace(millis objective);

    /** @param took from sending to the answer. @param worked the part of it that was not spent in the leaf's queue. */
    void add(millis took, millis worked);

    /** After this time without an answer a second leaf is worth asking. */
    [[nodiscard]] millis hedgeAfter() const;

    quantile_tracker typical; ///< median of the time without the leaf's queue
    quantile_tracker slow; ///< few answers take longer, queue and all
    millis objective;
};

/**
 * Extra sends that one VM may make to one service. The fleet's limit is a share of the requests for the service plus a
 * fixed number in each window. Without shared state each VM keeps to the same share of its own requests and to its part
 * of the fixed number, so that the sum over the fleet stays inside the limit whatever the others do.
 */
class retry_budget
{
public:
    retry_budget(double ratio, millis window)
        : m_ratio(ratio)
        , m_window(window)
    {
    }

    void countRequest(millis now);

    /** @param fixedPart extra sends allowed in each window besides the share of requests.
     *  @param reserve share of the allowance that stays untouched. @return whether the extra send may be made. */
    [[nodiscard]] bool tryTake(double fixedPart, double reserve, millis now);

private:
    struct slice {
        std::int64_t index = 0;
        double requests = 0;
        double extras = 0;
    };

    slice &current(millis now);

    double m_ratio;
    millis m_window;
    std::deque<slice> m_slices;
};

/** Stands for a leaf's id in reports, which are many: two ids with the same one are a leaf wrongly thought slow. */
using leaf_digest = std::uint32_t;

/** Numbers the turns of one VM at one cold leaf. */
using cold_turn = std::int64_t;

/** What a VM knows of the fleet for its turns at cold leafs. */
struct cold_fleet {
    std::size_t size = 1; ///< VMs, rather too many than too few
    std::uint64_t ownSeed = 0; ///< another one for each VM
};

/**
 * Whether this VM may ask a cold leaf now, once in a turn. A cold leaf bears few requests a second from the whole fleet
 * and ends under many more; VMs can't count together, and what each of many saves up would be spent by all at the next
 * burst. So each has a turn of a second at times of its own, drawn for each leaf, and what it does not use lapses.
 * @param perSecond what the leaf bears, above 0. @return the turn that it is in; nothing between turns.
 */
[[nodiscard]] std::optional<cold_turn>
coldTurnOf(leaf_digest leaf, const cold_fleet &fleet, double perSecond, millis now);

/** What a leaf tells of its load in an answer. */
struct leaf_load {
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
    std::optional<double> hostSlowdown; ///< how long work takes on its host at this moment, over the usual
};

[[nodiscard]] leaf_digest digestOf(std::string_view leafId);

/** Stands for a zone in reports. */
using zone_digest = std::uint16_t;

[[nodiscard]] zone_digest digestOf(const zone_name &zone);

/** What one VM found out about a leaf, for the others: few requests of each VM meet each leaf, yet all together meet a
 *  slow one many times a second. */
struct leaf_report {
    leaf_digest leaf = 0;
    zone_digest observer = 0; ///< zone of the VM that found out: a leaf may serve one zone and fail another
    double slowness = 1; ///< see @ref leaf::slowness
    bool unreachable = false; ///< silent, or no connection
    millis observedAt; ///< on the clock of whoever holds the report
};

using send_id = std::uint64_t;

/** What this process knows of one leaf. */
struct leaf {
    explicit leaf(leaf_entry described)
        : entry(std::move(described))
    {
    }

    struct open_send {
        send_id id = 0;
        millis sentAt;
        millis expectedBy; ///< later than that is a sign of a stall
    };

    leaf_entry entry;
    millis coldUntil;
    std::optional<cold_turn> coldTurnUsed; ///< the last one in which this VM asked it
    millis drainSeenAt = millis::never(); ///< since when it may be leaving
    millis missingSince = millis::never(); ///< since when its entry may be missing from the store
    bool mayHaveLapsed = false; ///< it is missing for the store's trouble, perhaps
    millis removeAt = millis::never(); ///< it is forgotten then
    millis doubtfulUntil = millis() - millis::never(); ///< its entry came back after it was removed
    bool misdirected = false; ///< another instance answered at its address
    bool entryUnreadable = false; ///< spoilt by another writer; it is not asked until its entry is written again
    millis bornHereAt = millis() - millis::never(); ///< word of its id from before that speaks of an earlier life
    std::vector<open_send> open;
    millis lastReplyAt = millis() - millis::never();
    double slowness = 1; ///< its times over what is typical
    millis slownessAt; ///< when that was last measured
    double toldSlowness = 1; ///< as the other VMs know it
    millis toldAt; ///< since when they do; it fades there as here
    bool toldUnreachable = false; ///< what the other VMs heard from here
    millis othersFailAt = millis() - millis::never(); ///< when another VM last found it unreachable
    millis mixedWork; ///< what its requests take, of all routes in the mix in which they come; 0 before the first
    double failing = 0; ///< share of failures among recent answers
    millis failingAt;
    double refusing = 0; ///< share of refusals among recent answers
    millis refusingAt;
    unsigned keptConnections = 0; ///< idle ones, ready for the next request
    millis takesConnectionsAt = millis() - millis::never(); ///< when it took one after another had ended unanswered
    unsigned failuresInRow = 0; ///< without any answer between
    millis downUntil = millis() - millis::never();
    leaf_load load;
    millis loadAt = millis() - millis::never();

    /** Since when it has been silent on a request that should have been answered; never if it is not. */
    [[nodiscard]] millis stalledSince() const;

    /** It will leave or is gone from the store; only asked where nobody else is. */
    [[nodiscard]] bool isLeaving() const
    {
        return entry.draining || removeAt < millis::never() || doubtfulUntil > millis();
    }

    /** @return since when it may have been leaving; nothing if it is not. */
    [[nodiscard]] std::optional<millis> leavingSince() const;

    /** @return a word for logs. */
    [[nodiscard]] std::string_view standing() const;
};

/** What is kept of a leaf whose entry is gone: it may be written once more by a write that comes late. */
struct departed_leaf {
    millis missingSince;
    bool mayHaveLapsed = false; ///< for the store's trouble
    bool draining = false; ///< by its own word
    std::optional<millis> bornAt;
    millis keptUntil;
};

/** Leafs by id and by service, as the platform's store tells of them. */
class leaf_directory
{
public:
    /** @param hold how long a leaf whose entry is missing stays usable: entries lapse while the store is away. */
    explicit leaf_directory(millis hold)
        : m_hold(hold)
    {
    }

    /** How often leafs write their entries; three times that without a word and the store removes one. */
    void setHeartbeat(millis interval)
    {
        m_heartbeat = interval;
    }

    /** The store does not answer: entries lapse that their leafs write again when it is back. */
    void noteStoreTrouble(millis now)
    {
        m_troubleAt = now;
    }

    /** Everything that the store said up to then is known here. What is learnt after a gap may be as old as that. */
    void noteCurrent(millis asOf)
    {
        m_currentAsOf = asOf;
    }

    /** @return how long ago what is learnt now may have happened at most. */
    [[nodiscard]] millis ageOfNews(millis now) const
    {
        return now - std::min(now, m_currentAsOf);
    }

    /** @return true if something changed that matters. */
    bool put(const leaf_entry &entry, millis now);

    /** The entry can't be read: it names no leaf to use until it is written anew. @return false for an unknown id. */
    bool markUnreadable(std::string_view id);

    /** The entry is missing from the store. @return false for an unknown id. */
    bool remove(std::string_view id, millis now);

    /** Removes all that are not in @p entries, puts the others. */
    void replaceAll(std::span<const leaf_entry> entries, millis now);

    /** Forgets leafs whose hold is over. @return how many. */
    std::size_t expire(millis now);

    [[nodiscard]] std::span<const std::shared_ptr<leaf>> of(const service_name &service) const;
    [[nodiscard]] std::shared_ptr<leaf> find(std::string_view id) const;
    [[nodiscard]] std::shared_ptr<leaf> find(leaf_digest digest) const;

    [[nodiscard]] std::size_t size() const
    {
        return m_byId.size();
    }

    [[nodiscard]] std::size_t countIn(const zone_name &zone) const;

private:
    [[nodiscard]] bool mayLapse(millis now) const;
    [[nodiscard]] millis sinceWhen(bool mayHaveLapsed, millis now) const;
    void add(const leaf_entry &entry, millis now);
    bool update(leaf &known, const leaf_entry &entry, millis now);
    void unlink(const leaf &gone);
    void keepDeparted(std::string_view id, const departed_leaf &gone);
    void forgetDeparted(millis now);
    void takeReturn(leaf &known, const departed_leaf &before, millis now);
    void endDoubt(leaf &known, millis now);

    millis m_hold;
    millis m_heartbeat {1200};
    millis m_currentAsOf = millis::never();
    millis m_troubleAt = millis() - millis::never(); ///< last sign of the store's
    std::map<std::string, std::shared_ptr<leaf>, std::less<>> m_byId;
    std::map<std::string, departed_leaf, std::less<>> m_departed;
    std::unordered_map<service_name, std::vector<std::shared_ptr<leaf>>> m_byService;
    std::unordered_map<leaf_digest, std::shared_ptr<leaf>> m_byDigest;
    millis m_nextExpiry = millis::never();
};

} // namespace chivelock

#pragma once

#include "fake_leaf.h"
#include "virtual_time.h"

#include <entry/entry.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chivelock::fakes {

/** The platform's documents. */
enum class platform_name : std::uint8_t {
    VmList,
    Topology,
    Catalogue
};

struct fleet_options {
    std::size_t entries = 3;
    entry_settings entry; ///< self, incarnation and seed are set for each
    std::string topology; ///< text as published
    std::string vms;
    std::string catalogue;
    millis hop {0.5}; ///< one way, between any two
    service_draw draw = [](seeded_random &) { return millis(5); };
    std::uint64_t seed = 1;
    bool throughCodec = false; ///< peer messages pass the real codec
    bool checkNotAfter = true; ///< false leaves out the guard against sends decided before a sleep
};

/** What the network between entries does to frames. */
struct network_disorder {
    bool doubled = false; ///< each frame arrives twice
    bool late = false; ///< frames overtake each other
};

/** What one caller got. */
struct caller_record {
    std::size_t entry = 0;
    std::uint64_t entryStart = 0; ///< which start of that entry it asked
    lookup_request request;
    millis askedAt;
    std::optional<millis> answeredAt;
    std::vector<lookup_answer> answers;
    bool connectionLost = false;
};

/**
 * Real decision cores joined by fakes in virtual time: network, leafs, platform, callers. Tests bring about faults and
 * then read what leafs and callers saw.
 */
class fake_fleet
{
public:
    explicit fake_fleet(fleet_options options);

    [[nodiscard]] virtual_time &time()
    {
        return m_time;
    }

    /** Events handled so far: the steps at which faults are placed. */
    [[nodiscard]] std::uint64_t steps() const
    {
        return m_steps;
    }

    network_disorder disorder;

    /** Called after each step. */
    std::function<void()> onStep;

    /** Called with each answer. */
    std::function<void(const caller_record &)> onAnswer;

    std::size_t ask(std::size_t entry, lookup_request request);

    void killEntry(std::size_t entry);
    void startEntry(std::size_t entry);
    void freezeEntry(std::size_t entry);
    void wakeEntry(std::size_t entry);
    void stopEntry(std::size_t entry);
    void cut(std::size_t from, std::size_t to, bool isCut);

    void publish(platform_name name, const std::string &text);
    void setPlatformUp(bool up);

    [[nodiscard]] fake_leaf &leaf(leaf_id id)
    {
        return *m_leafs.at(id);
    }

    [[nodiscard]] std::map<leaf_id, std::unique_ptr<fake_leaf>> &leafs()
    {
        return m_leafs;
    }

    [[nodiscard]] entry_core &core(std::size_t entry)
    {
        return *m_nodes.at(entry).core;
    }

    [[nodiscard]] bool isUp(std::size_t entry) const
    {
        return m_nodes.at(entry).core != nullptr;
    }

    [[nodiscard]] bool hasEnded(std::size_t entry) const
    {
        return m_nodes.at(entry).ended;
    }

    [[nodiscard]] std::vector<caller_record> &callers()
    {
        return m_callers;
    }

    [[nodiscard]] const execution_ledger &ledger() const
    {
        return m_ledger;
    }

    /** Revisions that fell at some entry while it ran; must stay 0. */
    [[nodiscard]] std::uint64_t fallenRevisions() const
    {
        return m_fallenRevisions;
    }

    [[nodiscard]] std::uint64_t peerMessages() const
    {
        return m_peerMessages;
    }

    /** Counted only with @ref fleet_options::throughCodec. */
    [[nodiscard]] std::uint64_t peerBytes() const
    {
        return m_peerBytes;
    }

private:
    using input = std::function<void(entry_core &, millis, entry_core::actions &)>;

    struct node {
        std::unique_ptr<entry_core> core;
        std::uint64_t start = 0; ///< counts starts of this VM
        bool frozen = false;
        bool ended = false;
        std::vector<input> unread;
        entry_core::actions unsent;
        millis tickAt = millis::never();
        std::uint64_t tickSerial = 0;
        std::map<call_id, std::uint64_t> openCalls; ///< to serials
        std::uint64_t highestRevision = 0;
    };

    struct action_handler;

    void deliver(std::size_t entry, std::uint64_t start, input event);
    void carryOut(std::size_t entry, const entry_core::actions &actions);
    void scheduleTick(std::size_t entry);
    void sendPeer(std::size_t from, const peer_send &send);
    void sendCall(std::size_t entry, const leaf_call &call);
    void endCall(std::size_t entry, std::uint64_t start, leaf_reply reply);
    void sendCancel(std::size_t entry, const leaf_cancel &cancel);
    void sendProbe(std::size_t entry, const leaf_probe &probe);
    void takeAnswer(std::size_t entry, const caller_answer &answer);
    void readPlatform(std::size_t entry);

    fleet_options m_options;
    virtual_time m_time;
    execution_ledger m_ledger;
    seeded_random m_random;
    std::map<leaf_id, std::unique_ptr<fake_leaf>> m_leafs;
    std::vector<node> m_nodes;
    std::vector<caller_record> m_callers;
    std::set<std::pair<std::size_t, std::size_t>> m_cuts;
    std::map<platform_name, std::string> m_documents;
    bool m_platformUp = true;
    std::uint64_t m_steps = 0;
    std::uint64_t m_nextSerial = 1;
    std::uint64_t m_fallenRevisions = 0;
    std::uint64_t m_peerMessages = 0;
    std::uint64_t m_peerBytes = 0;
};

} // namespace chivelock::fakes

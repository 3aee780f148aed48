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

/** The documents that the platform publishes. */
enum class platform_name : std::uint8_t {
    VmList,
    Topology,
    Catalogue
};

struct fleet_options {
    std::size_t entries = 3;
    entry_settings entry; ///< template for all entries; self, incarnation, seed and ticketKey are set for each
    std::string topology; ///< document text as the platform publishes it, like the next two
    std::string vms;
    std::string catalogue;
    millis hop {0.5}; ///< one-way network delay between any two processes
    service_time_sampler draw = [](seeded_random &) { return millis(5); };
    std::uint64_t seed = 1;
    bool throughCodec = false; ///< peer messages are encoded and decoded by the real codec
    bool checkNotAfter = true; ///< false sends calls that a process pause has delayed beyond their notAfter time
};

/** Faults of the network between entries. */
struct network_faults {
    bool duplicateFrames = false; ///< each frame arrives twice
    bool reorderFrames = false; ///< random extra delays let frames overtake each other
};

/** One caller's request and the answers it received. */
struct caller_record {
    std::size_t entry = 0;
    std::uint64_t entryIncarnation = 0; ///< incarnation of the entry that received the request
    lookup_request request;
    millis askedAt;
    std::optional<millis> answeredAt;
    std::vector<lookup_answer> answers;
    bool connectionLost = false;
};

/**
 * Runs real decision cores in virtual time, connected by a fake network, fake leafs, a fake platform and fake callers.
 * Tests inject faults and then inspect what leafs executed and callers received.
 */
class fake_fleet
{
public:
    explicit fake_fleet(fleet_options options);

    [[nodiscard]] virtual_time &time()
    {
        return m_time;
    }

    /** Number of events that entries have handled so far. Tests inject faults at a given step. */
    [[nodiscard]] std::uint64_t steps() const
    {
        return m_steps;
    }

    network_faults networkFaults;

    /** Called after each step. */
    std::function<void()> onStep;

    /** Called when a caller receives an answer. */
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

    /** Number of events after which a running entry held a lower catalogue revision than before; must stay 0. */
    [[nodiscard]] std::uint64_t revisionRegressions() const
    {
        return m_revisionRegressions;
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
        std::uint64_t incarnation = 0; ///< increases with each start of this VM's process
        bool frozen = false;
        bool ended = false;
        std::vector<input> pendingInputs;
        entry_core::actions heldActions;
        millis tickAt = millis::never();
        std::uint64_t tickSerial = 0;
        std::map<call_id, std::uint64_t> openCalls; ///< serial number of each call that has no reply yet
        std::uint64_t highestRevision = 0;
    };

    struct action_handler;

    void deliver(std::size_t entry, std::uint64_t incarnation, input event);
    void executeActions(std::size_t entry, const entry_core::actions &actions);
    void scheduleTick(std::size_t entry);
    void sendPeer(std::size_t from, const peer_send &send);
    void sendCall(std::size_t entry, const leaf_call &call);
    void completeCall(std::size_t entry, std::uint64_t incarnation, leaf_reply reply);
    void sendCancel(std::size_t entry, const leaf_cancel &cancel);
    void sendProbe(std::size_t entry, const leaf_probe &probe);
    void recordAnswer(std::size_t entry, const caller_answer &answer);
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
    std::uint64_t m_revisionRegressions = 0;
    std::uint64_t m_peerMessages = 0;
    std::uint64_t m_peerBytes = 0;
};

} // namespace chivelock::fakes

#include "scenarios.h"

#include "documents.h"

#include <algorithm>
#include <array>

namespace chivelock::fakes {

namespace {

constexpr std::size_t entryCount = 3;
constexpr std::uint32_t shardCount = 4;
constexpr std::uint32_t deskFirstLeaf = shardCount * 2;
constexpr millis warmUp {1500};
constexpr millis balancerDelay {500};
constexpr millis shortFaultDuration {120};
constexpr millis longFaultDuration {3500}; ///< longer than the time for which a leaving target may still receive work

std::string searchTopology(std::uint64_t revision,
                           std::uint32_t shards,
                           std::uint32_t snapshot,
                           std::uint32_t version,
                           const std::vector<std::uint32_t> &leaving)
{
    // Twelve shards' worth of leafs exist from the start, so that a later map can use more of them.
    std::vector<service_spec> services = {{"search", shardCount, 2, 2, snapshot, version}, {"desk", 2, 2, 2, 1, 1}};
    services[0].shards = shards;
    return topologyText(revision, services, leaving);
}

fleet_options optionsFor(guard disabledGuard, std::uint64_t seed)
{
    fleet_options options;
    options.entries = entryCount;
    options.topology = searchTopology(1, shardCount, 1, 1, {});
    options.vms = vmListText(1, entryCount);
    options.catalogue = catalogueText(1);
    options.seed = seed;
    options.throughCodec = true;
    options.draw = [](seeded_random &random) { return millis(4 + 8 * random.uniform()); };
    // With leafs that answer from the requested snapshot, the attempt check or the snapshot check alone prevents the
    // violation. The case without the attempt check therefore also disables the snapshot check of the root.
    options.entry.guards.checkSnapshot = disabledGuard != guard::SnapshotCheck && disabledGuard != guard::AttemptCheck;
    options.entry.runner.checkReplies = disabledGuard != guard::SnapshotCheck;
    options.entry.guards.checkAttempt = disabledGuard != guard::AttemptCheck;
    options.entry.guards.dropDuplicates = disabledGuard != guard::DuplicateCheck;
    options.checkNotAfter = disabledGuard != guard::SendTimeCheck;
    options.entry.tickets.checkIssuer = disabledGuard != guard::TicketIssuerCheck;
    options.entry.refuseOlderCatalogue = disabledGuard != guard::RevisionCheck;
    if (disabledGuard == guard::HealthFreshness) {
        options.entry.runner.maxHealthAge = millis(100000);
        options.entry.runner.probeInterval = millis(100000);
    }
    if (disabledGuard == guard::StopNotice) {
        options.entry.lameDuck = millis();
        options.entry.stopLimit = millis();
    }
    return options;
}

/** Runs the actions of one scenario and injects the faults of one case. */
class case_run
{
public:
    case_run(scenario chosen, std::vector<placed_fault> faults, guard disabledGuard, std::uint64_t seed)
        : m_scenario(chosen)
        , m_faults(std::move(faults))
        , m_fleet(optionsFor(disabledGuard, seed))
    {
    }

    case_result run()
    {
        m_fleet.time().runUntil(m_fleet.time().now() + warmUp);
        m_firstStep = m_fleet.steps();
        m_start = m_fleet.time().now();
        m_fleet.onStep = [this] { injectDueFaults(); };
        injectDueFaults();
        runScenario();
        case_result result;
        result.steps = m_faultWindowSteps == 0 ? m_fleet.steps() - m_firstStep : m_faultWindowSteps;
        result.violations = checkPromises(m_fleet);
        checkConvergence(result.violations);
        checkStop(result.violations);
        return result;
    }

private:
    void runScenario()
    {
        switch (m_scenario) {
        case scenario::Lookups:
            scheduleLookupsOnAllEntries(millis(), 3, millis(7));
            runToEnd(millis(1500));
            break;
        case scenario::Ticket:
            scheduleTicketRetries();
            runToEnd(millis(4000));
            break;
        case scenario::Change:
            schedule(millis(), [this] { publishCatalogue(2); });
            schedule(millis(30), [this] { publishCatalogue(3); });
            scheduleLookupsOnAllEntries(millis(), 3, millis(20));
            runToEnd(millis(5000));
            break;
        case scenario::Leaving:
            schedule(millis(), [this] { m_fleet.leaf({0}).startLeaving(); });
            scheduleLookupsOnAllEntries(millis(), 60, millis(100));
            runToEnd(millis(7500));
            break;
        case scenario::Stop:
            schedule(millis(5), [this] { stop(1); });
            scheduleLookupsOnAllEntries(millis(), 30, millis(10));
            runToEnd(millis(4000));
            break;
        case scenario::Split:
            scheduleLookupsOnAllEntries(millis(), 6, millis(9));
            schedule(millis(12), [this] { split(); });
            runToEnd(millis(2500));
            break;
        }
    }

    void runToEnd(millis offset)
    {
        constexpr millis faultWindow {200};
        m_fleet.time().runUntil(m_start + std::min(faultWindow, offset));
        m_faultWindowSteps = m_fleet.steps() - m_firstStep;
        m_fleet.time().runUntil(m_start + offset + longFaultDuration);
    }

    void schedule(millis offset, std::function<void()> action)
    {
        m_fleet.time().at(m_start + offset, std::move(action));
    }

    void scheduleLookupsOnAllEntries(millis from, std::size_t rounds, millis pause)
    {
        for (std::size_t round = 0; round < rounds; ++round) {
            schedule(from + pause * static_cast<double>(round), [this, round] {
                for (std::size_t entry = 0; entry < entryCount; ++entry) {
                    // The load balancer sends no requests to an entry that has reported itself not ready for
                    // balancerDelay.
                    const bool stopping = m_stoppedEntry == entry;
                    const bool balancerHasNoticed = stopping && m_fleet.time().now() - m_stoppedAt > balancerDelay;
                    if (!balancerHasNoticed && (stopping || m_fleet.isUp(entry))) {
                        ask(entry, round % 2 == 0 ? "whole" : "partial", "", "");
                    }
                }
            });
        }
    }

    std::size_t ask(std::size_t entry, const std::string &kind, const std::string &ticket, const std::string &tag)
    {
        lookup_request request;
        request.requestId = "r" + std::to_string(m_fleet.callers().size());
        request.kind = {kind};
        request.shardKey = "key";
        request.body = tag.empty() ? "body-" + request.requestId : tag;
        request.remaining = millis(400);
        request.ticket = ticket;
        return m_fleet.ask(entry, request);
    }

    void scheduleTicketRetries()
    {
        for (std::size_t index = 0; index < 2; ++index) {
            const std::string tag = "claim-" + std::to_string(index);
            const std::size_t issuer = index;
            const std::size_t first = ask(issuer, "claim", "", tag);
            const auto retry = [this, first, tag](std::size_t entry) {
                const caller_record &asked = m_fleet.callers().at(first);
                if (!asked.answers.empty()) {
                    ask(entry, "claim", asked.answers.front().ticket, tag);
                }
            };
            schedule(millis(3), [retry, issuer] { retry(issuer); });
            schedule(millis(5), [retry, issuer] { retry((issuer + 1) % entryCount); });
            schedule(millis(30), [retry, issuer] { retry((issuer + 2) % entryCount); });
            schedule(millis(450), [retry, issuer] { retry((issuer + 1) % entryCount); });
            schedule(millis(2000), [retry, issuer] { retry(issuer); });
        }
    }

    void publishCatalogue(std::uint64_t revision)
    {
        m_newestRevision = std::max(m_newestRevision, revision);
        m_fleet.publish(platform_name::Catalogue, catalogueText(revision, 100 + static_cast<std::uint32_t>(revision)));
    }

    void stop(std::size_t entry)
    {
        m_stoppedEntry = entry;
        m_stoppedAt = m_fleet.time().now();
        m_fleet.stopEntry(entry);
    }

    void split()
    {
        // Half of the replicas load the new snapshot before the topology is published, the others 15 ms after it.
        const auto move = [this](std::uint32_t parity) {
            for (std::uint32_t id = 0; id < deskFirstLeaf; ++id) {
                if (id % 2 == parity) {
                    m_fleet.leaf({id}).hold({2}, {1});
                    m_fleet.leaf({id}).drop({1});
                }
            }
        };
        move(0);
        m_fleet.publish(platform_name::Topology, searchTopology(2, shardCount, 2, 1, {}));
        schedule(m_fleet.time().now() - m_start + millis(15), [move] { move(1); });
    }

    void injectDueFaults()
    {
        const std::uint64_t step = m_fleet.steps() - m_firstStep;
        for (placed_fault &placed : m_faults) {
            if (placed.what != fault::None && step >= placed.step) {
                const fault what = std::exchange(placed.what, fault::None);
                injectFault(what);
            }
        }
    }

    void scheduleAfter(millis after, std::function<void()> action)
    {
        m_fleet.time().after(after, std::move(action));
    }

    void cutBetween(std::size_t left, std::size_t right, bool both)
    {
        m_fleet.cut(left, right, true);
        m_fleet.cut(right, left, both);
        scheduleAfter(longFaultDuration, [this, left, right] {
            m_fleet.cut(left, right, false);
            m_fleet.cut(right, left, false);
        });
    }

    void injectLeafFault(std::uint32_t id, fake_leaf::faults faults, std::optional<millis> recoverAfter)
    {
        // Killing a leaf sends replies to the entries at once. The task is deferred, so that these replies do not
        // arrive while an entry is still handling the current step.
        m_fleet.time().after(millis(), [this, id, faults] { m_fleet.leaf({id}).setFaults(faults); });
        if (recoverAfter) {
            scheduleAfter(*recoverAfter, [this, id] { m_fleet.leaf({id}).setFaults({}); });
        }
    }

    void freeze(std::size_t entry, millis duration)
    {
        m_fleet.freezeEntry(entry);
        scheduleAfter(duration, [this, entry] { m_fleet.wakeEntry(entry); });
    }

    void injectFault(fault what)
    {
        fake_leaf::faults leafFault;
        switch (what) {
        case fault::None:
            break;
        case fault::EntryKilled:
            m_fleet.time().after(millis(), [this] { m_fleet.killEntry(0); });
            break;
        case fault::EntryRestarted:
            m_fleet.time().after(millis(), [this] { m_fleet.killEntry(0); });
            scheduleAfter(shortFaultDuration, [this] { m_fleet.startEntry(0); });
            break;
        case fault::EntryFrozenShort:
            freeze(0, shortFaultDuration);
            break;
        case fault::EntryFrozenLong:
            freeze(0, longFaultDuration);
            break;
        case fault::OtherKilled:
            m_fleet.time().after(millis(), [this] { m_fleet.killEntry(2); });
            break;
        case fault::OtherFrozenLong:
            freeze(2, longFaultDuration);
            break;
        case fault::CutOneWay:
            cutBetween(0, 1, false);
            break;
        case fault::CutOtherWay:
            cutBetween(1, 0, false);
            break;
        case fault::CutBothWays:
            cutBetween(0, 1, true);
            break;
        case fault::FramesDuplicated:
            m_fleet.networkFaults.duplicateFrames = true;
            break;
        case fault::FramesReordered:
            m_fleet.networkFaults.reorderFrames = true;
            break;
        case fault::LeafKilled:
            leafFault.dead = true;
            injectLeafFault(0, leafFault, std::nullopt);
            injectLeafFault(deskFirstLeaf, leafFault, std::nullopt);
            break;
        case fault::LeafRestarted:
            leafFault.dead = true;
            injectLeafFault(1, leafFault, shortFaultDuration);
            injectLeafFault(deskFirstLeaf + 1, leafFault, shortFaultDuration);
            break;
        case fault::LeafFrozen:
            leafFault.frozen = true;
            injectLeafFault(1, leafFault, longFaultDuration);
            injectLeafFault(deskFirstLeaf + 1, leafFault, longFaultDuration);
            break;
        case fault::LeafSlow:
            leafFault.slowFactor = 100;
            injectLeafFault(1, leafFault, std::nullopt);
            injectLeafFault(deskFirstLeaf, leafFault, std::nullopt);
            break;
        case fault::LeafShedding:
            leafFault.shed = true;
            injectLeafFault(1, leafFault, shortFaultDuration);
            injectLeafFault(deskFirstLeaf, leafFault, shortFaultDuration);
            break;
        case fault::LeafCold:
            leafFault.cold = true;
            injectLeafFault(1, leafFault, longFaultDuration);
            break;
        case fault::LeafRefusesLeaving:
            leafFault.refusesAsLeaving = true;
            leafFault.healthHidesLeaving = true;
            injectLeafFault(1, leafFault, std::nullopt);
            injectLeafFault(deskFirstLeaf, leafFault, std::nullopt);
            break;
        case fault::LeafOtherSnapshot:
            m_fleet.leaf({1}).hold({2}, {1});
            leafFault.answersFromNewestSnapshot = true;
            injectLeafFault(1, leafFault, std::nullopt);
            break;
        case fault::PlatformDown:
            m_fleet.setPlatformUp(false);
            scheduleAfter(longFaultDuration * 2, [this] { m_fleet.setPlatformUp(true); });
            break;
        case fault::PlatformOldPublication:
            m_fleet.publish(platform_name::Catalogue, catalogueText(1));
            break;
        case fault::OperatorsRace:
            publishCatalogue(5);
            scheduleAfter(millis(1), [this] { m_fleet.publish(platform_name::Catalogue, catalogueText(4)); });
            scheduleAfter(millis(2), [this] { m_fleet.publish(platform_name::Catalogue, catalogueText(5, 7)); });
            break;
        case fault::VmListStale:
            m_fleet.publish(platform_name::VmList, vmListText(2, entryCount + 2));
            break;
        case fault::EntryStopped:
            m_fleet.time().after(millis(), [this] { stop(2); });
            break;
        }
    }

    /** At the end of a case, all running entries must hold the highest catalogue revision held by any of them. */
    void checkConvergence(std::vector<violation> &found)
    {
        std::uint64_t highest = 0;
        for (std::size_t entry = 0; entry < entryCount; ++entry) {
            highest = std::max(highest, m_fleet.isUp(entry) ? m_fleet.core(entry).catalogue().current()->revision : 0);
        }
        for (std::size_t entry = 0; entry < entryCount; ++entry) {
            const std::uint64_t held =
                m_fleet.isUp(entry) ? m_fleet.core(entry).catalogue().current()->revision : highest;
            if (held != highest) {
                found.push_back({"catalogue in force everywhere",
                                 "entry " + std::to_string(entry) + " holds " + std::to_string(held)});
            }
        }
    }

    /** A planned stop without other faults must neither refuse a lookup nor break a caller's connection. */
    void checkStop(std::vector<violation> &found)
    {
        const bool hasOtherFault =
            std::ranges::any_of(m_faults, [](const placed_fault &placed) { return placed.step != 0; });
        if (!m_stoppedEntry || hasOtherFault) {
            return;
        }
        const auto lost = std::ranges::count_if(m_fleet.callers(), &caller_record::connectionLost);
        const auto refused = std::ranges::count_if(m_fleet.callers(), [](const caller_record &caller) {
            return std::ranges::any_of(
                caller.answers, [](const lookup_answer &answer) { return answer.outcome > lookup_outcome::Partial; });
        });
        if (refused > 0) {
            found.push_back({"graceful stop", std::to_string(refused) + " lookups refused or failed"});
        }
        if (lost > 0) {
            found.push_back({"graceful stop", std::to_string(lost) + " callers cut off"});
        }
        if (!m_fleet.hasEnded(*m_stoppedEntry)) {
            found.push_back({"graceful stop", "the process did not end"});
        }
    }

    scenario m_scenario;
    std::vector<placed_fault> m_faults;
    fake_fleet m_fleet;
    millis m_start;
    std::uint64_t m_firstStep = 0;
    std::uint64_t m_faultWindowSteps = 0;
    std::uint64_t m_newestRevision = 1;
    std::optional<std::size_t> m_stoppedEntry;
    millis m_stoppedAt;
};

} // namespace

std::string_view toString(scenario value)
{
    constexpr std::array<std::string_view, scenarioCount> names {
        "lookups", "ticket", "change", "leaving", "stop", "split"};
    return names.at(static_cast<std::size_t>(value));
}

std::string_view toString(fault value)
{
    constexpr std::array<std::string_view, faultCount> names {
        "none",           "entry killed",       "entry restarted", "entry frozen 120 ms", "entry frozen 3.5 s",
        "other killed",   "other frozen 3.5 s", "cut one way",     "cut other way",       "cut both ways",
        "frames doubled", "frames late",        "leaf killed",     "leaf revived",        "leaf frozen",
        "leaf slow",      "leaf shedding",      "leaf cold",       "leaf refuses",        "leaf other snapshot",
        "platform down",  "old published",      "operators race",  "list lags",           "entry stopped"};
    return names.at(static_cast<std::size_t>(value));
}

std::string_view toString(guard value)
{
    constexpr std::array<std::string_view, guardCount> names {"none",
                                                              "snapshot check",
                                                              "attempt check",
                                                              "doubled check",
                                                              "check before the send",
                                                              "fresh signs",
                                                              "ticket's issuer",
                                                              "never back",
                                                              "notice of a stop"};
    return names.at(static_cast<std::size_t>(value));
}

case_result runCase(scenario chosen, const std::vector<placed_fault> &faults, guard disabledGuard, std::uint64_t seed)
{
    return case_run(chosen, faults, disabledGuard, seed).run();
}

} // namespace chivelock::fakes

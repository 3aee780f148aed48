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
constexpr millis balancerLag {500};
constexpr millis healAfterShort {120};
constexpr millis healAfterLong {3500}; ///< longer than a leaving target may still get work

std::string searchTopology(std::uint64_t revision,
                           std::uint32_t shards,
                           std::uint32_t snapshot,
                           std::uint32_t version,
                           const std::vector<std::uint32_t> &leaving)
{
    // Twelve shards' worth of leafs exist from the start, so that a later map can use more of them.
    std::vector<service_sizes> services = {{"search", shardCount, 2, 2, snapshot, version}, {"desk", 2, 2, 2, 1, 1}};
    services[0].shards = shards;
    return topologyText(revision, services, leaving);
}

fleet_options optionsFor(guard leftOut, std::uint64_t seed)
{
    fleet_options options;
    options.entries = entryCount;
    options.topology = searchTopology(1, shardCount, 1, 1, {});
    options.vms = vmListText(1, entryCount);
    options.catalogue = catalogueText(1);
    options.seed = seed;
    options.throughCodec = true;
    options.draw = [](seeded_random &random) { return millis(4 + 8 * random.uniform()); };
    // Against leafs that answer what they were asked, the attempt check and the snapshot check cover for each other.
    options.entry.guards.checkSnapshot = leftOut != guard::Snapshot && leftOut != guard::Attempt;
    options.entry.runner.checkReplies = leftOut != guard::Snapshot;
    options.entry.guards.checkAttempt = leftOut != guard::Attempt;
    options.entry.guards.dropDuplicates = leftOut != guard::Doubled;
    options.checkNotAfter = leftOut != guard::NotAfter;
    options.entry.tickets.checkIssuer = leftOut != guard::TicketIssuer;
    options.entry.refuseOlderCatalogue = leftOut != guard::NeverBack;
    if (leftOut == guard::FreshSigns) {
        options.entry.runner.maxHealthAge = millis(100000);
        options.entry.runner.probeInterval = millis(100000);
    }
    if (leftOut == guard::Notice) {
        options.entry.lameDuck = millis();
        options.entry.stopLimit = millis();
    }
    return options;
}

/** One run: a scenario's actions and the placed faults. */
class case_run
{
public:
    case_run(scenario chosen, std::vector<placed_fault> faults, guard leftOut, std::uint64_t seed)
        : m_scenario(chosen)
        , m_faults(std::move(faults))
        , m_fleet(optionsFor(leftOut, seed))
    {
    }

    case_result run()
    {
        m_fleet.time().runUntil(m_fleet.time().now() + warmUp);
        m_firstStep = m_fleet.steps();
        m_start = m_fleet.time().now();
        m_fleet.onStep = [this] { placeFaults(); };
        placeFaults();
        act();
        case_result result;
        result.steps = m_busySteps == 0 ? m_fleet.steps() - m_firstStep : m_busySteps;
        result.violations = checkPromises(m_fleet);
        checkConvergence(result.violations);
        checkStop(result.violations);
        return result;
    }

private:
    void act()
    {
        switch (m_scenario) {
        case scenario::Lookups:
            askEverywhere(millis(), 3, millis(7));
            finishAt(millis(1500));
            break;
        case scenario::Ticket:
            useTickets();
            finishAt(millis(4000));
            break;
        case scenario::Change:
            later(millis(), [this] { publishCatalogue(2); });
            later(millis(30), [this] { publishCatalogue(3); });
            askEverywhere(millis(), 3, millis(20));
            finishAt(millis(5000));
            break;
        case scenario::Leaving:
            later(millis(), [this] { m_fleet.leaf({0}).startLeaving(); });
            askEverywhere(millis(), 60, millis(100));
            finishAt(millis(7500));
            break;
        case scenario::Stop:
            later(millis(5), [this] { stop(1); });
            askEverywhere(millis(), 30, millis(10));
            finishAt(millis(4000));
            break;
        case scenario::Split:
            askEverywhere(millis(), 6, millis(9));
            later(millis(12), [this] { split(); });
            finishAt(millis(2500));
            break;
        }
    }

    void finishAt(millis offset)
    {
        constexpr millis faultWindow {200};
        m_fleet.time().runUntil(m_start + std::min(faultWindow, offset));
        m_busySteps = m_fleet.steps() - m_firstStep;
        m_fleet.time().runUntil(m_start + offset + healAfterLong);
    }

    void later(millis offset, std::function<void()> action)
    {
        m_fleet.time().at(m_start + offset, std::move(action));
    }

    void askEverywhere(millis from, std::size_t rounds, millis pause)
    {
        for (std::size_t round = 0; round < rounds; ++round) {
            later(from + pause * static_cast<double>(round), [this, round] {
                for (std::size_t entry = 0; entry < entryCount; ++entry) {
                    // The balancer sends nothing to an entry that has said for a while that it is not ready.
                    const bool stopping = m_stopped == entry;
                    const bool balancerKnows = stopping && m_fleet.time().now() - m_stoppedAt > balancerLag;
                    if (!balancerKnows && (stopping || m_fleet.isUp(entry))) {
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

    void useTickets()
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
            later(millis(3), [retry, issuer] { retry(issuer); });
            later(millis(5), [retry, issuer] { retry((issuer + 1) % entryCount); });
            later(millis(30), [retry, issuer] { retry((issuer + 2) % entryCount); });
            later(millis(450), [retry, issuer] { retry((issuer + 1) % entryCount); });
            later(millis(2000), [retry, issuer] { retry(issuer); });
        }
    }

    void publishCatalogue(std::uint64_t revision)
    {
        m_newestRevision = std::max(m_newestRevision, revision);
        m_fleet.publish(platform_name::Catalogue, catalogueText(revision, 100 + static_cast<std::uint32_t>(revision)));
    }

    void stop(std::size_t entry)
    {
        m_stopped = entry;
        m_stoppedAt = m_fleet.time().now();
        m_fleet.stopEntry(entry);
    }

    void split()
    {
        // Half of the replicas move first; the map is published then; the others follow.
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
        later(m_fleet.time().now() - m_start + millis(15), [move] { move(1); });
    }

    void placeFaults()
    {
        const std::uint64_t step = m_fleet.steps() - m_firstStep;
        for (placed_fault &placed : m_faults) {
            if (placed.what != fault::None && step >= placed.step) {
                const fault what = std::exchange(placed.what, fault::None);
                bring(what);
            }
        }
    }

    void heal(millis after, std::function<void()> action)
    {
        m_fleet.time().after(after, std::move(action));
    }

    void cutBetween(std::size_t left, std::size_t right, bool both)
    {
        m_fleet.cut(left, right, true);
        m_fleet.cut(right, left, both);
        heal(healAfterLong, [this, left, right] {
            m_fleet.cut(left, right, false);
            m_fleet.cut(right, left, false);
        });
    }

    void troubleLeaf(std::uint32_t id, fake_leaf::faults faults, std::optional<millis> healAfter)
    {
        // Killing a leaf answers the entries at once; that must not happen inside the step that is being handled.
        m_fleet.time().after(millis(), [this, id, faults] { m_fleet.leaf({id}).setFaults(faults); });
        if (healAfter) {
            heal(*healAfter, [this, id] { m_fleet.leaf({id}).setFaults({}); });
        }
    }

    void freeze(std::size_t entry, millis duration)
    {
        m_fleet.freezeEntry(entry);
        heal(duration, [this, entry] { m_fleet.wakeEntry(entry); });
    }

    void bring(fault what)
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
            heal(healAfterShort, [this] { m_fleet.startEntry(0); });
            break;
        case fault::EntryFrozenShort:
            freeze(0, healAfterShort);
            break;
        case fault::EntryFrozenLong:
            freeze(0, healAfterLong);
            break;
        case fault::OtherKilled:
            m_fleet.time().after(millis(), [this] { m_fleet.killEntry(2); });
            break;
        case fault::OtherFrozenLong:
            freeze(2, healAfterLong);
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
        case fault::FramesDoubled:
            m_fleet.disorder.doubled = true;
            break;
        case fault::FramesLate:
            m_fleet.disorder.late = true;
            break;
        case fault::LeafKilled:
            leafFault.dead = true;
            troubleLeaf(0, leafFault, std::nullopt);
            troubleLeaf(deskFirstLeaf, leafFault, std::nullopt);
            break;
        case fault::LeafRevived:
            leafFault.dead = true;
            troubleLeaf(1, leafFault, healAfterShort);
            troubleLeaf(deskFirstLeaf + 1, leafFault, healAfterShort);
            break;
        case fault::LeafFrozen:
            leafFault.frozen = true;
            troubleLeaf(1, leafFault, healAfterLong);
            troubleLeaf(deskFirstLeaf + 1, leafFault, healAfterLong);
            break;
        case fault::LeafSlow:
            leafFault.slowFactor = 100;
            troubleLeaf(1, leafFault, std::nullopt);
            troubleLeaf(deskFirstLeaf, leafFault, std::nullopt);
            break;
        case fault::LeafShedding:
            leafFault.shed = true;
            troubleLeaf(1, leafFault, healAfterShort);
            troubleLeaf(deskFirstLeaf, leafFault, healAfterShort);
            break;
        case fault::LeafCold:
            leafFault.cold = true;
            troubleLeaf(1, leafFault, healAfterLong);
            break;
        case fault::LeafRefusesLeaving:
            leafFault.refusesLeaving = true;
            leafFault.healthSilent = true;
            troubleLeaf(1, leafFault, std::nullopt);
            troubleLeaf(deskFirstLeaf, leafFault, std::nullopt);
            break;
        case fault::LeafOtherSnapshot:
            m_fleet.leaf({1}).hold({2}, {1});
            leafFault.answersOther = true;
            troubleLeaf(1, leafFault, std::nullopt);
            break;
        case fault::PlatformDown:
            m_fleet.setPlatformUp(false);
            heal(healAfterLong * 2, [this] { m_fleet.setPlatformUp(true); });
            break;
        case fault::PlatformOldPublication:
            m_fleet.publish(platform_name::Catalogue, catalogueText(1));
            break;
        case fault::OperatorsRace:
            publishCatalogue(5);
            heal(millis(1), [this] { m_fleet.publish(platform_name::Catalogue, catalogueText(4)); });
            heal(millis(2), [this] { m_fleet.publish(platform_name::Catalogue, catalogueText(5, 7)); });
            break;
        case fault::ListLags:
            m_fleet.publish(platform_name::VmList, vmListText(2, entryCount + 2));
            break;
        case fault::EntryStopped:
            m_fleet.time().after(millis(), [this] { stop(2); });
            break;
        }
    }

    /** At the end, every entry that is up has the newest revision that any entry saw. */
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

    /** A planned stop without another fault cuts off no caller. */
    void checkStop(std::vector<violation> &found)
    {
        const bool other = std::ranges::any_of(m_faults, [](const placed_fault &placed) { return placed.step != 0; });
        if (!m_stopped || other) {
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
        if (!m_fleet.hasEnded(*m_stopped)) {
            found.push_back({"graceful stop", "the process did not end"});
        }
    }

    scenario m_scenario;
    std::vector<placed_fault> m_faults;
    fake_fleet m_fleet;
    millis m_start;
    std::uint64_t m_firstStep = 0;
    std::uint64_t m_busySteps = 0;
    std::uint64_t m_newestRevision = 1;
    std::optional<std::size_t> m_stopped;
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

case_result runCase(scenario chosen, const std::vector<placed_fault> &faults, guard leftOut, std::uint64_t seed)
{
    return case_run(chosen, faults, leftOut, seed).run();
}

} // namespace chivelock::fakes

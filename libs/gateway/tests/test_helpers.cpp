#define BOOST_TEST_MODULE helpers
#include <boost/test/included/unit_test.hpp>

#include "delegating_vm.h"
#include "two_vms.h"

using namespace chivelock;
using namespace chivelock::testing;

namespace {

/** Whether each record of the answer belongs to another shard, and no digest is repeated. */
bool hasEachShardOnce(const answer_action &answer)
{
    std::set<std::string> seen;
    for (std::size_t at = 0; at < answer.body.size(); at += recordBytes) {
        const std::string record = answer.body.substr(at, recordBytes);
        if (!seen.insert(record.substr(0, record.find('-'))).second) {
            return false;
        }
    }
    const std::set<std::string> stamps(answer.stamps.begin(), answer.stamps.end());
    return stamps.size() == answer.stamps.size();
}

} // namespace

BOOST_AUTO_TEST_CASE(lookups_are_delegated_to_a_vm_near_the_leafs)
{
    two_vms world;
    const exchange_id id = world.submit();
    world.runFor(millis(100));
    const answer_action &answer = world.answers.at(id);
    BOOST_CHECK(answer.outcome == exchange_outcome::Merged);
    BOOST_TEST(answer.missing == 0U);
    BOOST_TEST(hasEachShardOnce(answer));
    BOOST_TEST(world.sends[0] == 0U);
    BOOST_TEST(world.runs.size() == two_vms::shards);
}

BOOST_AUTO_TEST_CASE(leafs_of_the_local_zone_are_asked_without_delegation)
{
    two_vms world;
    for (std::size_t shard = 0; shard < two_vms::shards; ++shard) {
        world.addLeaf(shard, "here");
    }
    world.submit();
    world.runFor(millis(100));
    BOOST_TEST(world.sends[0] == two_vms::shards);
    BOOST_TEST(world.sends[1] == 0U);
}

// Guards against a lookup that waits until its time limit for shards that a stopping helper gave up without saying so.
BOOST_AUTO_TEST_CASE(work_that_a_stopping_helper_gives_up_is_asked_again)
{
    two_vms world;
    bool isSilent = true;
    for (auto &[id, behaviour] : world.behaviours) {
        behaviour.neverAnswers = std::exchange(isSilent, !isSilent);
    }
    const exchange_id id = world.submit();
    world.runFor(millis(2));
    world.engineOf(1).beginStop(world.now + millis(10), world.now);
    world.runFor(millis(300));
    BOOST_REQUIRE(world.answers.contains(id));
    BOOST_CHECK(world.answers.at(id).outcome == exchange_outcome::Merged);
    BOOST_TEST(hasEachShardOnce(world.answers.at(id)));
}

// Guards against late lookups while a VM is paused: the helper stops with its link open and sends no update, and its
// work was not taken over.
BOOST_AUTO_TEST_CASE(work_of_a_paused_helper_is_taken_over_in_time)
{
    two_vms world;
    world.helperPaused = true;
    const exchange_id id = world.submit();
    world.runFor(millis(100));
    BOOST_TEST(world.answers.at(id).missing == 0U);
    BOOST_TEST(world.answers.at(id).elapsed.count() < 90);
    // The next lookups avoid this helper for a while.
    const exchange_id next = world.submit();
    world.runFor(millis(100));
    BOOST_TEST(world.answers.at(next).elapsed.count() < 30);
}

// Guards against more requests for a shard than the route allows: the helper's report is late and the delegating VM
// takes over, while the helper still asks its leafs, which are unresponsive. Each side counted only its own attempts.
BOOST_AUTO_TEST_CASE(a_late_helper_and_a_takeover_stay_within_max_attempts)
{
    for (const bool neverAnswers : {true, false}) {
        two_vms world;
        for (auto &[id, behaviour] : world.behaviours) {
            behaviour.neverAnswers = neverAnswers;
            behaviour.processingTime = millis(80);
        }
        world.helperPaused = true;
        const exchange_id id = world.submit();
        world.runFor(millis(60));
        world.helperPaused = false;
        world.runFor(millis(1000));
        BOOST_TEST(world.answers.contains(id));
        BOOST_TEST(world.maxRunsPerShard() <= 2U);
    }
}

// Guards against records that count twice: a leaf asked by the helper is slow, a second leaf is asked, and both answer.
// The helper's merged records included the shard that another leaf had answered meanwhile.
BOOST_AUTO_TEST_CASE(a_duplicate_part_is_merged_once)
{
    for (double work = 20; work < 70; work += 1) {
        two_vms world;
        bool slow = true;
        for (auto &[id, behaviour] : world.behaviours) {
            behaviour.processingTime = slow ? millis(work) : millis(8);
            slow = !slow;
        }
        const exchange_id id = world.submit();
        world.runFor(millis(400));
        BOOST_TEST(hasEachShardOnce(world.answers.at(id)));
        BOOST_TEST(world.maxRunsPerShard() <= 2U);
    }
}

BOOST_AUTO_TEST_CASE(an_unresponsive_leaf_of_the_helper_is_hedged)
{
    two_vms world;
    world.behaviours.begin()->second.neverAnswers = true;
    for (int at = 0; at < 5; ++at) {
        const exchange_id id = world.submit();
        world.runFor(millis(120));
        BOOST_TEST(world.answers.at(id).missing == 0U);
    }
}

BOOST_AUTO_TEST_CASE(work_is_taken_over_at_once_when_the_link_is_lost)
{
    two_vms world;
    const exchange_id id = world.submit();
    world.runFor(millis(3));
    world.cutLink();
    world.runFor(millis(100));
    BOOST_TEST(world.answers.at(id).missing == 0U);
    BOOST_TEST(world.answers.at(id).elapsed.count() < 30);
    BOOST_TEST(world.maxRunsPerShard() <= 2U);
}

// Guards against new cross-zone connections for each hedge or retry when a leaf of the helper is unresponsive, refuses
// or breaks the connection. The delegating VM, which counts attempts, sent 96 in 100 of them itself; now it sends none,
// because the helper has connections to the leafs.
BOOST_AUTO_TEST_CASE(hedges_and_retries_are_sent_by_the_vm_near_the_leafs)
{
    for (int kind = 0; kind < 3; ++kind) {
        two_vms world;
        std::size_t leafNumber = 0;
        for (auto &[id, behaviour] : world.behaviours) {
            const bool isFirstLeaf = ++leafNumber % 2 == 1; // one of the two leafs of each shard
            behaviour.neverAnswers = isFirstLeaf && kind == 0;
            behaviour.refusesRequests = isFirstLeaf && kind == 1;
            behaviour.dropsConnection = isFirstLeaf && kind == 2;
        }
        const exchange_id id = world.submit();
        world.runFor(millis(150));
        BOOST_TEST(world.answers.at(id).missing == 0U);
        BOOST_TEST(world.answers.at(id).elapsed.count() < 90);
        BOOST_TEST(world.sends[0] == 0U);
        BOOST_TEST(world.answers.at(id).delegatedSecondSends
                   == world.answers.at(id).hedges + world.answers.at(id).retries);
        BOOST_TEST(world.maxRunsPerShard() <= 2U);
        BOOST_TEST(hasEachShardOnce(world.answers.at(id)));
    }
}

// Guards against losing all parts of a helper whose first report is some milliseconds late, which affected one lookup
// in six without any fault: its work was taken over and its parts were dropped, because late was treated as lost.
BOOST_AUTO_TEST_CASE(parts_of_a_late_helper_are_merged)
{
    two_vms world;
    for (auto &[id, behaviour] : world.behaviours) {
        behaviour.processingTime = millis(30);
    }
    world.helperPaused = true;
    const exchange_id id = world.submit();
    world.runFor(millis(46)); // the report was due 45 ms after the lookup arrived
    world.helperPaused = false;
    world.runFor(millis(200));
    BOOST_TEST(world.answers.at(id).missing == 0U);
    BOOST_TEST(world.answers.at(id).elapsed.count() < 92);
    BOOST_TEST(world.maxRunsPerShard() <= 2U);
}

// The attempt limit must hold, and no available part may be lost, whichever message between the VMs is lost, duplicated
// or delayed, or whenever the helper crashes or pauses, while leafs answer, are unresponsive, refuse or break
// connections. No such failure is known.
BOOST_AUTO_TEST_CASE(max_attempts_hold_under_every_message_fault)
{
    using enum message_fault;
    std::size_t cases = 0;
    for (const message_fault fault : {Lost, Duplicated, Delayed, DelayedPastAnswer, HelperKilled, HelperPaused}) {
        for (int kind = 0; kind < 4; ++kind) {
            for (std::size_t at = 0; at < 24; ++at) {
                two_vms world;
                world.faultyMessage = at;
                world.faultKind = fault;
                std::size_t leafNumber = 0;
                for (auto &[id, behaviour] : world.behaviours) {
                    const bool isFirstLeaf = ++leafNumber % 2 == 1;
                    behaviour.neverAnswers = isFirstLeaf && kind == 1;
                    behaviour.refusesRequests = isFirstLeaf && kind == 2;
                    behaviour.dropsConnection = isFirstLeaf && kind == 3;
                }
                const exchange_id id = world.submit();
                world.runFor(millis(1500));
                BOOST_TEST_CONTEXT("fault " << static_cast<int>(fault) << " kind " << kind << " message " << at)
                {
                    BOOST_TEST(world.maxRunsPerShard() <= 2U);
                    BOOST_REQUIRE(world.answers.contains(id));
                    const answer_action &answer = world.answers.at(id);
                    BOOST_TEST(hasEachShardOnce(answer));
                    BOOST_TEST(answer.elapsed.count() <= 600);
                    // With healthy leafs the second attempt replaces what the lost message cost.
                    BOOST_TEST((kind != 0 || answer.missing == 0U));
                }
                cases += 1;
            }
        }
    }
    BOOST_TEST(cases == 576U);
}

// Guards against the crash of a process that has just started: other VMs delegated work to it before it had read a
// configuration, and it looked up the leafs' limits in that configuration.
BOOST_AUTO_TEST_CASE(a_helper_without_configuration_returns_delegated_work)
{
    two_vms world;
    world.restartHelper();
    const exchange_id id = world.submit();
    world.runFor(millis(100));
    BOOST_TEST(world.answers.at(id).missing == 0U);
    BOOST_TEST(world.sends[0] == two_vms::shards);
}

BOOST_AUTO_TEST_CASE(the_helpers_sends_are_cancelled_when_the_caller_disconnects)
{
    two_vms world;
    for (auto &[id, behaviour] : world.behaviours) {
        behaviour.neverAnswers = true;
    }
    const exchange_id id = world.submit();
    world.runFor(millis(5));
    world.disconnectCaller(id);
    world.runFor(millis(400));
    BOOST_TEST(world.cancels == two_vms::shards);
    BOOST_TEST(world.answers.empty());
}

namespace {

/** One of four VMs of a zone that has all leafs of thirty shards, and the helper to which it delegates each shard. */
class zone_vm
{
public:
    static constexpr std::size_t vms = 4;
    static constexpr std::size_t shards = 30;

    explicit zone_vm(std::size_t rank)
        : m_engine(settings(), rank)
    {
        gateway_config config;
        config.version = 1;
        config.routes = {gateway_world::gatherRoute(shards, 0.8)};
        for (const service_name &shard : config.routes.front().shards) {
            config.services.push_back({shard, 100});
            leaf_entry entry;
            entry.id = shard.value + "-leaf";
            entry.service = shard;
            entry.zone = {"here"};
            m_engine.leafs().put(entry, millis(0));
        }
        m_engine.applyConfig(std::move(config));
        std::vector<helper_vm> helpers;
        for (std::size_t at = 0; at < vms; ++at) {
            if (at != rank) {
                helpers.push_back({"vm" + std::to_string(at), {"here"}, at});
            }
        }
        m_engine.setHelpers(std::move(helpers), rank);
    }

    /** @return the VM that asks the leafs of each shard; an empty address stands for this VM. */
    std::map<std::string, std::string> assignShards(millis now)
    {
        std::map<std::string, std::string> vmOfShard;
        m_engine.arrive({"q", "h", "/all/x", millis(600)}, now);
        for (const gateway_action &action : m_engine.takeActions()) {
            if (const auto *work = std::get_if<delegate_action>(&action)) {
                std::ranges::for_each(work->work.shards, [&](const auto &one) { vmOfShard[one.value] = work->helper; });
            } else if (const auto *sent = std::get_if<send_action>(&action)) {
                vmOfShard[sent->to->entry.service.value] = "";
            }
        }
        return vmOfShard;
    }

    void loseHelper(const std::string &helper, millis now)
    {
        m_engine.onHelperLost(helper, now);
        (void)m_engine.takeActions();
    }

private:
    static gateway_settings settings()
    {
        gateway_settings settings;
        settings.zone = {"here"};
        settings.maxShardsPerVm = 15; // two groups of shards, with two VMs each
        return settings;
    }

    gateway_engine m_engine;
};

} // namespace

// Guards against many missing shards after a power loss of the VMs: each VM chose helpers at random, so every VM of a
// zone had connections to all leafs there. Leafs still counted the dead connections and reset new ones for seconds.
BOOST_AUTO_TEST_CASE(each_leaf_is_asked_by_two_vms_of_its_zone)
{
    std::map<std::string, std::set<std::string>> vmsOfShard;
    for (std::size_t rank = 0; rank < zone_vm::vms; ++rank) {
        zone_vm vm(rank);
        for (int at = 0; at < 20; ++at) {
            for (const auto &[shard, helper] : vm.assignShards(millis(1000 + at * 50))) {
                vmsOfShard[shard].insert(helper.empty() ? "vm" + std::to_string(rank) : helper);
            }
        }
    }
    BOOST_TEST(vmsOfShard.size() == zone_vm::shards);
    for (const auto &[shard, vms] : vmsOfShard) {
        BOOST_TEST(vms.size() == 2U);
    }
}

BOOST_AUTO_TEST_CASE(shards_of_lost_helpers_are_assigned_to_other_vms)
{
    zone_vm vm(0);
    (void)vm.assignShards(millis(1000));
    vm.loseHelper("vm1", millis(1001));
    vm.loseHelper("vm3", millis(1001));
    (void)vm.assignShards(millis(1010));
    vm.loseHelper("vm1", millis(1011));
    vm.loseHelper("vm3", millis(1011));
    std::size_t delegated = 0;
    for (const auto &[shard, helper] : vm.assignShards(millis(1020))) {
        delegated += helper.empty() ? 0 : 1;
        BOOST_TEST((helper.empty() || helper == "vm2"));
    }
    BOOST_TEST(delegated == 15U);
}

// Guards against shards that are asked again although a helper has delivered them: its merged report was discarded
// because a second leaf had answered one of its shards.
BOOST_AUTO_TEST_CASE(a_merged_report_is_used_after_a_second_leaf_answered_one_of_its_shards)
{
    for (const std::size_t helpers : {1U, 2U}) {
        delegating_vm vm(helpers);
        vm.runUntilHedged();
        if (helpers == 1) { // the second leafs are asked by this VM
            BOOST_REQUIRE(vm.sends.size() == delegating_vm::shards);
            vm.reply(0);
            for (std::uint32_t send = 1; send < delegating_vm::shards; ++send) {
                vm.failSend(send);
            }
        } else {
            BOOST_REQUIRE(vm.delegations.size() == 2U);
            vm.report(1, delegating_vm::reportOf({0}, "second"));
            vm.report(1, delegating_vm::lossOf({1, 2, 3, 4, 5}));
        }
        vm.report(0, delegating_vm::reportOf({0, 1, 2, 3, 4, 5}, "first"));
        BOOST_REQUIRE(vm.answer.has_value());
        BOOST_TEST(vm.answer->missing == 0U);
        BOOST_TEST(vm.answer->retries == 0U);
        BOOST_TEST(vm.isAnswerConsistent());
    }
}

// Guards against a part that is left out of the answer because its shard had been given up before.
BOOST_AUTO_TEST_CASE(a_part_of_a_shard_that_was_given_up_is_used)
{
    delegating_vm vm(2);
    vm.runUntilHedged();
    const delegated_progress bothAttemptsRan {{}, {}, {{0, true, true, false, {}}}, {}, false};
    vm.report(0, bothAttemptsRan);
    vm.report(1, bothAttemptsRan);
    vm.report(0, delegating_vm::reportOf({0, 1, 2, 3, 4, 5}, "first"));
    BOOST_REQUIRE(vm.answer.has_value());
    BOOST_TEST(vm.answer->missing == 0U);
    BOOST_TEST(vm.timesAsked(0) == 2U);
    BOOST_TEST(vm.isAnswerConsistent());
}

// Guards against records of a shard that are in the answer twice: two reports with merged records share a shard.
BOOST_AUTO_TEST_CASE(a_merged_report_that_shares_a_shard_with_another_is_discarded)
{
    delegating_vm vm(2);
    vm.runUntilHedged();
    vm.report(0, delegating_vm::reportOf({0, 1, 2}, "first"));
    vm.report(1, delegating_vm::reportOf({2, 3}, "second"));
    vm.report(0, delegating_vm::reportOf({4, 5}, "first"));
    vm.report(0, delegating_vm::reportOf({3}, "first"));
    BOOST_REQUIRE(vm.answer.has_value());
    BOOST_TEST(vm.answer->missing == 0U);
    BOOST_TEST(vm.isAnswerConsistent());
}

// Guards against an answer that names a shard twice or a part without digest, whatever a faulty helper reports.
BOOST_AUTO_TEST_CASE(malformed_reports_are_discarded)
{
    delegated_progress withoutDigest = delegating_vm::reportOf({0, 1}, "first");
    withoutDigest.parts.front().stamp.clear();
    const std::vector<delegated_progress> malformed = {
        withoutDigest,
        delegating_vm::reportOf({0, 0}, "first"),
        delegating_vm::reportOf({0, 17}, "first"),
        delegating_vm::reportOf({17}, "first"),
    };
    for (const delegated_progress &report : malformed) {
        delegating_vm vm(2);
        vm.runUntilHedged();
        vm.report(0, report);
        vm.report(1, delegating_vm::reportOf({2, 3}, "second"));
        for (std::uint32_t shard = 0; shard < delegating_vm::shards; ++shard) {
            vm.report(1, delegating_vm::reportOf({shard}, "second"));
        }
        BOOST_REQUIRE(vm.answer.has_value());
        BOOST_TEST(vm.answer->missing == 0U);
        BOOST_TEST(vm.isAnswerConsistent());
    }
}

namespace {

/** Reports of one helper about all shards, in random portions: merged, single, lost or repeated. */
class random_reports
{
public:
    random_reports(seeded_random &random, std::size_t delegation, bool alone)
        : m_random(random)
        , m_delegation(delegation)
        , m_alone(alone)
    {
    }

    void addTo(std::vector<std::pair<std::size_t, delegated_progress>> &reports, std::set<std::uint32_t> &delivered)
    {
        const std::string source = "vm" + std::to_string(m_delegation);
        std::vector<std::uint32_t> lost;
        std::array<std::vector<std::uint32_t>, 2> merged;
        for (std::uint32_t shard = 0; shard < delegating_vm::shards; ++shard) {
            if (m_random.below(4) == 0) {
                lost.push_back(shard);
                continue;
            }
            delivered.insert(shard);
            if (m_alone || m_random.below(4) == 0) {
                add(reports, delegating_vm::reportOf({shard}, source));
            } else {
                merged[m_random.below(2)].push_back(shard);
            }
        }
        std::ranges::for_each(merged, [&](const auto &one) { add(reports, delegating_vm::reportOf(one, source)); });
        add(reports, delegating_vm::lossOf(lost));
    }

private:
    void add(std::vector<std::pair<std::size_t, delegated_progress>> &reports, const delegated_progress &report)
    {
        reports.resize(reports.size() + 1 + m_random.below(2), {m_delegation, report});
    }

    seeded_random &m_random;
    std::size_t m_delegation;
    bool m_alone;
};

} // namespace

// Guards against parts that are lost, asked again or merged twice when reports on the same shards come in any order.
BOOST_AUTO_TEST_CASE(reports_in_any_order_are_merged_once_and_none_is_lost)
{
    constexpr std::uint64_t seeds = 500;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        seeded_random random(seed);
        delegating_vm vm(2);
        vm.runUntilHedged();
        BOOST_REQUIRE(vm.delegations.size() == 2U);
        std::vector<std::pair<std::size_t, delegated_progress>> reports;
        std::set<std::uint32_t> delivered;
        random_reports(random, 0, false).addTo(reports, delivered);
        random_reports(random, 1, true).addTo(reports, delivered);
        for (std::size_t at = reports.size(); at > 1; --at) {
            std::swap(reports[at - 1], reports[random.below(at)]);
        }
        for (const auto &[delegation, report] : reports) {
            vm.report(delegation, report);
        }
        vm.runUntilAnswered();
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(vm.answer->missing == delegating_vm::shards - delivered.size());
            BOOST_TEST(vm.isAnswerConsistent());
            for (const std::uint32_t shard : delivered) {
                BOOST_TEST(vm.timesAsked(shard) == 2U);
            }
        }
    }
}

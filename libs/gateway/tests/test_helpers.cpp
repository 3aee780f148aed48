#define BOOST_TEST_MODULE helpers
#include <boost/test/included/unit_test.hpp>

#include "two_vms.h"

using namespace chivelock;
using namespace chivelock::testing;

namespace {

/** Each record of the answer belongs to another shard: none counts twice. */
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

BOOST_AUTO_TEST_CASE(a_vm_near_the_leafs_asks_them)
{
    two_vms world;
    const exchange_id id = world.ask();
    world.run(millis(100));
    const answer_action &answer = world.answers.at(id);
    BOOST_CHECK(answer.outcome == exchange_outcome::Merged);
    BOOST_TEST(answer.missing == 0U);
    BOOST_TEST(hasEachShardOnce(answer));
    BOOST_TEST(world.sends[0] == 0U);
    BOOST_TEST(world.runs.size() == two_vms::shards);
}

BOOST_AUTO_TEST_CASE(leafs_of_the_own_zone_are_asked_from_here)
{
    two_vms world;
    for (std::size_t shard = 0; shard < two_vms::shards; ++shard) {
        world.addLeaf(shard, "here");
    }
    world.ask();
    world.run(millis(100));
    BOOST_TEST(world.sends[0] == two_vms::shards);
    BOOST_TEST(world.sends[1] == 0U);
}

// Symptom: lookups are late for as long as one VM is frozen.
// Sequence: the helper freezes with its link open and says nothing.
// Cause: nobody took over what it had in hand.
BOOST_AUTO_TEST_CASE(a_frozen_helper_is_replaced_in_time)
{
    two_vms world;
    world.helperFrozen = true;
    const exchange_id id = world.ask();
    world.run(millis(100));
    BOOST_TEST(world.answers.at(id).missing == 0U);
    BOOST_TEST(world.answers.at(id).elapsed.count() < 90);
    // The next lookups do not try it for a while.
    const exchange_id next = world.ask();
    world.run(millis(100));
    BOOST_TEST(world.answers.at(next).elapsed.count() < 30);
}

// Symptom: a shard of one lookup runs on more leafs than the route allows.
// Sequence: the helper's word is late; the VM that waits takes over; the helper asks all the same, its leafs are
// silent. Cause: both sides counted attempts, neither knew of the other's.
BOOST_AUTO_TEST_CASE(a_late_helper_and_a_takeover_stay_within_the_attempts)
{
    for (const bool silent : {true, false}) {
        two_vms world;
        for (auto &[id, behaviour] : world.behaviours) {
            behaviour.silent = silent;
            behaviour.work = millis(80);
        }
        world.helperFrozen = true;
        const exchange_id id = world.ask();
        world.run(millis(60));
        world.helperFrozen = false;
        world.run(millis(1000));
        BOOST_TEST(world.answers.contains(id));
        BOOST_TEST(world.mostRunsOfOneShard() <= 2U);
    }
}

// Symptom: an answer's records are not the greatest of its parts: some count twice.
// Sequence: a leaf asked by the helper is slow, a second one is asked, both answer.
// Cause: the helper's merged records held the shard that was answered otherwise meanwhile.
BOOST_AUTO_TEST_CASE(a_part_that_comes_twice_counts_once)
{
    for (double work = 20; work < 70; work += 1) {
        two_vms world;
        bool slow = true;
        for (auto &[id, behaviour] : world.behaviours) {
            behaviour.work = slow ? millis(work) : millis(8);
            slow = !slow;
        }
        const exchange_id id = world.ask();
        world.run(millis(400));
        BOOST_TEST(hasEachShardOnce(world.answers.at(id)));
        BOOST_TEST(world.mostRunsOfOneShard() <= 2U);
    }
}

BOOST_AUTO_TEST_CASE(a_silent_leaf_of_the_helper_is_hedged_from_here)
{
    two_vms world;
    world.behaviours.begin()->second.silent = true;
    for (int at = 0; at < 5; ++at) {
        const exchange_id id = world.ask();
        world.run(millis(120));
        BOOST_TEST(world.answers.at(id).missing == 0U);
    }
}

BOOST_AUTO_TEST_CASE(a_lost_link_is_taken_over_at_once)
{
    two_vms world;
    const exchange_id id = world.ask();
    world.run(millis(3));
    world.loseLink();
    world.run(millis(100));
    BOOST_TEST(world.answers.at(id).missing == 0U);
    BOOST_TEST(world.answers.at(id).elapsed.count() < 30);
    BOOST_TEST(world.mostRunsOfOneShard() <= 2U);
}

// Symptom: a process that has just started ends by a signal.
// Sequence: others hand it work before it has read a configuration.
// Cause: it looked up the leafs' limits in a configuration that it did not have.
BOOST_AUTO_TEST_CASE(a_helper_that_has_just_started_gives_the_work_back)
{
    two_vms world;
    world.replaceHelper();
    const exchange_id id = world.ask();
    world.run(millis(100));
    BOOST_TEST(world.answers.at(id).missing == 0U);
    BOOST_TEST(world.sends[0] == two_vms::shards);
}

BOOST_AUTO_TEST_CASE(the_helpers_leafs_are_stopped_when_the_caller_leaves)
{
    two_vms world;
    for (auto &[id, behaviour] : world.behaviours) {
        behaviour.silent = true;
    }
    const exchange_id id = world.ask();
    world.run(millis(5));
    world.leave(id);
    world.run(millis(400));
    BOOST_TEST(world.cancels == two_vms::shards);
    BOOST_TEST(world.answers.empty());
}

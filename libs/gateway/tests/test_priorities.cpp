#define BOOST_TEST_MODULE priorities
#include <boost/test/included/unit_test.hpp>

#include "delegating_vm.h"
#include "gateway_world.h"

#include <utility>

using namespace chivelock;
using namespace chivelock::testing;

namespace {

/** One leaf with one connection for this VM; urgent and patient requests to it. */
class one_place_world : public gateway_world
{
public:
    explicit one_place_world(bool priorities = true)
        : gateway_world(settings(priorities))
    {
        gateway_route urgent = singleRoute(true);
        gateway_route patient = urgent;
        patient.name = "patient";
        patient.pathPrefix = "/patient/";
        patient.rank = 1;
        publish({urgent, patient});
        engine.setFleetSize(fleetThatLeavesOneConnection);
        addLeaf("single");
    }

    exchange_id submitUrgent()
    {
        return submit("/one/" + std::to_string(m_targets++));
    }

    exchange_id submitPatient()
    {
        return submit("/patient/" + std::to_string(m_targets++));
    }

private:
    static constexpr std::size_t fleetThatLeavesOneConnection = 100;

    static gateway_settings settings(bool priorities)
    {
        gateway_settings result;
        result.scheduling.priorities = priorities;
        return result;
    }

    unsigned m_targets = 0;
};

/** @return how many urgent and how many patient requests of a surge are served. */
std::pair<std::size_t, std::size_t> servedInSurge(bool priorities)
{
    one_place_world world(priorities);
    std::vector<exchange_id> urgent;
    std::vector<exchange_id> patient;
    for (unsigned round = 0; round < 100; ++round) {
        patient.push_back(world.submitPatient());
        patient.push_back(world.submitPatient());
        urgent.push_back(world.submitUrgent());
        world.runFor(millis(15)); // the leaf takes 10 ms for each of the three
    }
    world.runFor(millis(3000));
    const auto served = [&](const std::vector<exchange_id> &ids) {
        return static_cast<std::size_t>(std::ranges::count_if(
            ids, [&](exchange_id id) { return world.answerOf(id).answer.outcome == exchange_outcome::Relayed; }));
    };
    return {served(urgent), served(patient)};
}

} // namespace

// Guards against a place that goes to the call that happens to poll first.
BOOST_AUTO_TEST_CASE(a_freed_place_goes_to_the_most_urgent_oldest_call)
{
    one_place_world world;
    world.submitUrgent();
    const exchange_id patient = world.submitPatient();
    world.runFor(millis(2));
    const exchange_id first = world.submitUrgent();
    world.runFor(millis(2));
    const exchange_id second = world.submitUrgent();
    world.runFor(millis(100));
    BOOST_CHECK(world.answerOf(first).at < world.answerOf(second).at);
    BOOST_CHECK(world.answerOf(second).at < world.answerOf(patient).at);
    BOOST_TEST(world.engine.priorityCounts().placesGivenFirst == 2U);
}

BOOST_AUTO_TEST_CASE(a_freed_place_is_used_at_once)
{
    one_place_world world;
    const exchange_id first = world.submitUrgent();
    const exchange_id second = world.submitPatient();
    world.runFor(millis(100));
    BOOST_TEST((world.answerOf(second).at - world.answerOf(first).at).count() == 10.0);
}

// Guards against urgent requests that are refused while a surge of patient ones holds the places at the leafs.
BOOST_AUTO_TEST_CASE(a_surge_of_patient_requests_leaves_places_to_urgent_ones)
{
    const auto before = servedInSurge(false);
    const auto after = servedInSurge(true);
    BOOST_TEST_MESSAGE("served of 100 urgent and 200 patient requests: without priorities "
                       << before.first << " and " << before.second << ", with " << after.first << " and "
                       << after.second);
    BOOST_TEST(after.first == 100U);
    BOOST_TEST(before.first < 80U);
    BOOST_TEST(after.first + after.second + 10 >= before.first + before.second);
}

// Guards against a place that is kept for a caller that has left.
BOOST_AUTO_TEST_CASE(a_caller_that_left_gets_no_place)
{
    one_place_world world;
    world.submitUrgent();
    const exchange_id gone = world.submitUrgent();
    const exchange_id patient = world.submitPatient();
    world.disconnectCaller(gone);
    world.runFor(millis(100));
    BOOST_CHECK(world.answerOf(patient).answer.outcome == exchange_outcome::Relayed);
    BOOST_TEST(world.runsAt("single") == 2U);
}

// Guards against calls that wait for ever behind one that can use no place.
BOOST_AUTO_TEST_CASE(waiting_calls_are_given_up_when_their_leaf_goes)
{
    one_place_world world;
    const std::string leaf = world.behaviours.begin()->first;
    world.behaviours.at(leaf).neverAnswers = true;
    world.submitUrgent();
    const exchange_id waiting = world.submitPatient();
    world.runFor(millis(20));
    world.engine.leafs().remove(leaf, world.now);
    world.runFor(millis(3000));
    BOOST_CHECK(world.answerOf(waiting).answer.outcome == exchange_outcome::Refused);
    BOOST_TEST(world.engine.openExchanges() == 0U);
}

// Guards against requests that are served in full after their caller's time has passed in the run queue.
BOOST_AUTO_TEST_CASE(the_time_in_the_queue_counts_against_the_deadline)
{
    gateway_world world;
    world.publish({gateway_world::gatherRoute(4, 0.5)});
    world.addShards(4, 1);
    world.behaviours.begin()->second.neverAnswers = true;
    caller_request request {"q", "h", "/all/x", millis(600), {}, world.keyOf("/all/x")};
    request.waited = millis(50);
    const exchange_id late = world.arrive(request);
    request.waited = millis(700);
    const exchange_id expired = world.arrive(request);
    const millis arrived = world.now - millis(50);
    world.runFor(millis()); // performs the sends
    world.runFor(millis(1000));
    BOOST_TEST((world.answerOf(late).at - arrived).count() <= 100.0);
    BOOST_TEST(world.answerOf(late).answer.missing == 1U);
    BOOST_CHECK(world.answerOf(expired).answer.outcome == exchange_outcome::Refused);
    BOOST_TEST(world.answerOf(expired).answer.cause == "queued_too_long");
    BOOST_TEST(world.answerOf(expired).answer.sends == 0U);
}

// Guards against work of an expired or old delegation that reaches leafs: the first after its limit, the second never.
BOOST_AUTO_TEST_CASE(delegated_work_of_any_version_is_ordered_and_expired_work_is_refused)
{
    one_place_world world;
    BOOST_TEST(world.engine.urgencyOf(0) == 1.0);
    BOOST_TEST(world.engine.urgencyOf(unknownRank) == 0.0);
    delegated_work work;
    work.route = "all";
    work.shards = {{"single"}};
    work.objective = millis(100);
    work.firstReportIn = millis(20);
    work.cutoffIn = millis(-10);
    work.limitIn = millis(-1);
    world.engine.acceptDelegatedWork("q", work, world.now);
    bool refused = false;
    for (const gateway_action &action : world.engine.takeActions()) {
        const auto *report = std::get_if<progress_action>(&action);
        refused = refused || (report != nullptr && report->progress.last && report->progress.lost.size() == 1);
        BOOST_TEST(!std::holds_alternative<send_action>(action));
    }
    BOOST_TEST(refused);
}

BOOST_AUTO_TEST_CASE(delegated_work_tells_the_rank_of_its_route)
{
    delegating_vm vm(1);
    BOOST_TEST(vm.delegations.at(0).work.rank == 0U);
}

// Guards against urgent requests without a retry because a surge of patient ones has spent the budget.
BOOST_AUTO_TEST_CASE(patient_requests_leave_a_share_of_the_retry_budget)
{
    gateway_settings settings;
    settings.retryRatio = 0;
    settings.retrySlack = 20;
    gateway_world world(settings);
    gateway_route urgent = gateway_world::singleRoute(true);
    gateway_route patient = urgent;
    patient.name = "patient";
    patient.pathPrefix = "/patient/";
    patient.rank = 1;
    world.publish({urgent, patient});
    for (unsigned leaf = 0; leaf < 2; ++leaf) {
        world.addLeaf("single", {.refusesRequests = true});
    }
    for (unsigned at = 0; at < 30; ++at) {
        world.submit("/patient/" + std::to_string(at));
        world.runFor(millis(5));
    }
    const std::size_t byPatient = world.arrivals.size() - 30;
    const exchange_id id = world.submit("/one/x");
    world.runFor(millis(5));
    BOOST_TEST(byPatient <= 10U); // of fifteen
    BOOST_TEST(byPatient > 0U);
    BOOST_TEST(world.answerOf(id).answer.retries > 0U);
    BOOST_TEST(world.engine.priorityCounts().budgetLeft > 0U);
}

BOOST_AUTO_TEST_CASE(with_one_rank_nothing_is_ordered)
{
    gateway_world world;
    world.publish({gateway_world::singleRoute(true), gateway_world::gatherRoute(2, 1)});
    BOOST_TEST(!world.engine.hasPriorities());
    BOOST_TEST(world.engine.urgencyOf(unknownRank) == 1.0);
    one_place_world switchedOff(false);
    BOOST_TEST(!switchedOff.engine.hasPriorities());
}

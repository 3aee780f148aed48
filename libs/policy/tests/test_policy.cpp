#define BOOST_TEST_MODULE policy
#include <boost/test/included/unit_test.hpp>

#include <policy/policy.h>

#include <fakes/documents.h>

using namespace chivelock;

namespace {

constexpr std::uint64_t seed = 5;

/** A runner with one shard on two leafs of two slots each, both confirmed healthy. */
struct one_shard {
    explicit one_shard(runner_settings settings = {})
        : engine(settings, seed)
    {
        engine.onTopology(
            std::make_shared<topology_document>(*readTopology(fakes::topologyText(1, {{"s", 1, 2, 2, 1, 1}}))));
        reportHealthy(0);
        reportHealthy(1);
    }

    void reportHealthy(std::uint32_t leaf)
    {
        engine.onHealth({{leaf}, now, true, true, false, false, 1}, now, out);
    }

    void run(std::uint64_t sequence,
             urgency priority = urgency::Ordinary,
             millis remaining = millis(1000),
             bool honouredRetryAfter = false)
    {
        run_shards message;
        message.requestId = "r" + std::to_string(sequence);
        message.honouredRetryAfter = honouredRetryAfter;
        message.key = {{1}, 1, sequence};
        message.attempt = 1;
        message.service = {"s"};
        message.priority = priority;
        message.snapshot = {1};
        message.version = {1};
        message.remaining = remaining;
        message.shards = {{0}};
        engine.onRun({1}, message, now, out);
    }

    template<typename action>
    [[nodiscard]] std::vector<action> takeActions()
    {
        std::vector<action> found;
        for (const runner_action &one : out) {
            if (const auto *held = std::get_if<action>(&one)) {
                found.push_back(*held);
            }
        }
        out.clear();
        return found;
    }

    void reply(const leaf_call &call, call_status status)
    {
        leaf_reply answer;
        answer.id = call.id;
        answer.status = status;
        answer.shard = call.shard;
        answer.snapshot = call.snapshot;
        answer.version = call.version;
        answer.incarnation = 1;
        engine.onLeafReply(answer, now, out);
    }

    void advance(millis time)
    {
        now = now + time;
        engine.tick(now, out);
    }

    runner_engine engine;
    runner_engine::actions out;
    millis now {1000};
};

at_most_once_request makeClaim(millis deadline)
{
    at_most_once_request request;
    request.atMostOnceId = 9;
    request.service = {"s"};
    request.snapshot = {1};
    request.version = {1};
    request.deadline = deadline;
    return request;
}

} // namespace

BOOST_AUTO_TEST_CASE(budget_bounds_the_share_of_extra_work)
{
    ratio_budget budget(0.1);
    int spent = 0;
    for (int round = 0; round < 1000; ++round) {
        budget.deposit();
        spent += budget.tryWithdraw() ? 1 : 0;
    }
    BOOST_TEST(spent <= 104);
    BOOST_TEST(spent >= 100);
}

BOOST_AUTO_TEST_CASE(sketch_finds_quantiles_within_a_bucket)
{
    latency_sketch sketch;
    for (int value = 1; value <= 100; ++value) {
        sketch.add(millis(value));
    }
    BOOST_TEST(sketch.quantile(0.9, millis()).count() >= 88);
    BOOST_TEST(sketch.quantile(0.9, millis()).count() <= 90 * 1.22);
    BOOST_TEST(latency_sketch().quantile(0.9, millis(7)).count() == 7);
}

BOOST_AUTO_TEST_CASE(slots_fill_evenly_and_the_extra_request_is_sent_only_while_many_wait)
{
    one_shard shard;
    for (std::uint64_t sequence = 1; sequence <= 11; ++sequence) {
        shard.run(sequence);
    }
    const auto exact = shard.takeActions<leaf_call>();
    BOOST_TEST(exact.size() == 4); // Two leafs of two slots are full; seven requests wait.
    BOOST_TEST(std::ranges::count(exact, leaf_id {0}, &leaf_call::leaf) == 2);
    shard.run(12);
    // Eight requests wait behind the one being dispatched, two per slot: one beyond the slots hides the round trip.
    shard.run(13);
    const auto extra = shard.takeActions<leaf_call>();
    BOOST_TEST(!extra.empty());
    BOOST_TEST(extra.size() <= 2);
}

// Guards against new work for a leaf that may have started to leave: its health was last confirmed longer ago than the
// freshness bound when a request arrives. A missing report must not count as a report of good health.
BOOST_AUTO_TEST_CASE(leaf_without_recent_health_confirmation_gets_no_new_work)
{
    one_shard shard;
    shard.now = shard.now + millis(2001);
    shard.run(1);
    BOOST_TEST(!shard.takeActions<leaf_probe>().empty());
    shard.run(2);
    BOOST_TEST(shard.takeActions<leaf_call>().empty());
    shard.reportHealthy(1);
    const auto calls = shard.takeActions<leaf_call>();
    BOOST_REQUIRE(!calls.empty());
    BOOST_TEST(std::ranges::all_of(calls, [](const leaf_call &call) { return call.leaf == leaf_id {1}; }));
    BOOST_TEST((calls.front().notAfter <= shard.now + millis(2000)));
}

// Guards against new work for a leaf that left during a process pause of the entry: a health report that waited unread
// for 3 s must be dated by its request, not by the time of reading.
BOOST_AUTO_TEST_CASE(health_report_is_dated_by_its_request)
{
    one_shard shard;
    const millis asked = shard.now;
    shard.now = shard.now + millis(3000);
    shard.engine.onHealth({{0}, asked, true, true, false, false, 1}, shard.now, shard.out);
    shard.run(1);
    BOOST_TEST(shard.takeActions<leaf_call>().empty());
}

BOOST_AUTO_TEST_CASE(leaving_is_final_for_an_incarnation)
{
    one_shard shard;
    shard.engine.onHealth({{0}, shard.now, true, false, false, true, 1}, shard.now, shard.out);
    BOOST_TEST(shard.takeActions<leaving_leaf_report>().size() == 1);
    shard.reportHealthy(0); // The same incarnation reports serving again, which is ignored.
    shard.run(1);
    shard.run(2);
    const auto calls = shard.takeActions<leaf_call>();
    BOOST_TEST(std::ranges::none_of(calls, [](const leaf_call &call) { return call.leaf == leaf_id {0}; }));
    shard.engine.onHealth({{0}, shard.now, true, true, false, false, 2}, shard.now, shard.out);
    shard.run(3);
    BOOST_TEST(shard.takeActions<leaf_call>().size() == 1);
}

BOOST_AUTO_TEST_CASE(hedge_goes_to_another_idle_leaf_and_the_slower_request_is_cancelled)
{
    one_shard shard;
    shard.run(1);
    const auto first = shard.takeActions<leaf_call>();
    shard.advance(millis(31));
    const auto hedge = shard.takeActions<leaf_call>();
    BOOST_REQUIRE(hedge.size() == 1);
    BOOST_TEST((hedge.front().leaf != first.front().leaf));
    shard.reply(hedge.front(), call_status::Ok);
    const auto cancels = shard.takeActions<leaf_cancel>();
    BOOST_REQUIRE(cancels.size() == 1);
    BOOST_TEST(cancels.front().id == first.front().id);
}

// Guards against a tail latency three times as long as necessary near capacity: all slots are taken, some by
// stragglers, when a hedge falls due. If hedges had to wait for an empty queue, none would be sent while requests wait,
// and stragglers would keep their slots until they finish.
BOOST_AUTO_TEST_CASE(due_hedge_takes_the_next_free_slot_before_new_work)
{
    one_shard shard;
    for (std::uint64_t sequence = 1; sequence <= 6; ++sequence) {
        shard.run(sequence);
    }
    const auto running = shard.takeActions<leaf_call>();
    BOOST_REQUIRE(running.size() == 4);
    shard.advance(millis(40));
    BOOST_TEST(shard.takeActions<leaf_call>().empty()); // No slot is free.
    BOOST_TEST(shard.engine.counters().hedges == 0);
    shard.reply(running.front(), call_status::Ok);
    BOOST_TEST(shard.takeActions<leaf_call>().size() == 1);
    BOOST_TEST(shard.engine.counters().hedges == 1);
    BOOST_TEST(shard.engine.counters().firstSends == 4);
}

// Guards against refusing callers repeatedly although they retry after the given Retry-After time: without precedence,
// new callers fill the queue before them.
BOOST_AUTO_TEST_CASE(scheduled_retry_goes_before_new_ordinary_requests)
{
    runner_settings settings;
    settings.hedging = false;
    one_shard shard(settings);
    for (std::uint64_t sequence = 1; sequence <= 8; ++sequence) {
        shard.run(sequence, urgency::Ordinary, millis(100000));
    }
    shard.run(9, urgency::Ordinary, millis(100000), true);
    const auto running = shard.takeActions<leaf_call>();
    BOOST_REQUIRE(running.size() == 4);
    shard.reply(running.front(), call_status::Ok);
    const auto next = shard.takeActions<leaf_call>();
    BOOST_REQUIRE(next.size() == 1);
    BOOST_TEST(next.front().requestId == "r9");
}

BOOST_AUTO_TEST_CASE(urgent_goes_first_but_ordinary_keeps_its_minimum_share)
{
    runner_settings settings;
    settings.admission = false;
    settings.hedging = false;
    one_shard shard(settings);
    for (std::uint64_t sequence = 1; sequence <= 40; ++sequence) {
        shard.run(sequence, sequence <= 20 ? urgency::Ordinary : urgency::Urgent, millis(100000));
    }
    auto open = shard.takeActions<leaf_call>();
    std::vector<urgency> order;
    for (int round = 0; round < 16; ++round) {
        shard.reply(open.front(), call_status::Ok);
        open.erase(open.begin());
        for (const leaf_call &next : shard.takeActions<leaf_call>()) {
            order.push_back(next.priority);
            open.push_back(next);
        }
    }
    const auto ordinary = std::ranges::count(order, urgency::Ordinary);
    BOOST_TEST(ordinary == 2);
    BOOST_TEST(order.size() == 16);
}

// Guards against memory corruption when all shards of a run are refused on arrival: each refusal may remove the
// attempt's entry, so that a reference to it must not be kept across the loop over the shards.
BOOST_AUTO_TEST_CASE(run_whose_shards_are_all_refused_on_arrival_ends_cleanly)
{
    one_shard shard;
    run_shards message;
    message.key = {{1}, 1, 1};
    message.attempt = 1;
    message.service = {"unknown"};
    message.remaining = millis(100);
    message.shards = {{0}, {1}, {2}};
    shard.engine.onRun({1}, message, shard.now, shard.out);
    const auto replies = shard.takeActions<runner_reply>();
    BOOST_REQUIRE(replies.size() == 3);
    BOOST_TEST((replies.back().reply.status == shard_status::NoLeaf));
    BOOST_TEST(shard.engine.taskCount() == 0);
}

BOOST_AUTO_TEST_CASE(request_that_would_wait_too_long_is_refused_with_its_own_retry_after_time)
{
    one_shard shard;
    std::vector<millis> retryAfterTimes;
    for (std::uint64_t sequence = 1; sequence <= 60; ++sequence) {
        shard.run(sequence, urgency::Ordinary, millis(60));
        for (const runner_reply &refused : shard.takeActions<runner_reply>()) {
            BOOST_TEST((refused.reply.status == shard_status::Overloaded));
            BOOST_TEST(refused.reply.attempts == 0);
            retryAfterTimes.push_back(refused.reply.retryAfter);
        }
    }
    BOOST_REQUIRE(retryAfterTimes.size() > 20);
    BOOST_TEST((retryAfterTimes.back() > retryAfterTimes.front() + millis(20))); // The retry times are spread out.
}

BOOST_AUTO_TEST_CASE(cancel_empties_the_queue_and_cancels_the_requests_at_leafs)
{
    one_shard shard;
    for (std::uint64_t sequence = 1; sequence <= 7; ++sequence) {
        shard.run(sequence);
    }
    (void)shard.takeActions<leaf_call>();
    for (std::uint64_t sequence = 1; sequence <= 7; ++sequence) {
        shard.engine.onCancel({{{1}, 1, sequence}, 1}, shard.now, shard.out);
    }
    BOOST_TEST(shard.takeActions<leaf_cancel>().size() == 4);
    BOOST_TEST(shard.engine.taskCount() == 0);
}

BOOST_AUTO_TEST_CASE(reply_from_another_snapshot_is_dropped)
{
    one_shard shard;
    shard.run(1);
    const leaf_call call = shard.takeActions<leaf_call>().front();
    leaf_reply wrong;
    wrong.id = call.id;
    wrong.status = call_status::Ok;
    wrong.shard = call.shard;
    wrong.snapshot = {2};
    wrong.version = call.version;
    shard.engine.onLeafReply(wrong, shard.now, shard.out);
    BOOST_TEST(shard.takeActions<runner_reply>().empty());
    BOOST_TEST(shard.engine.counters().mismatchedReplies == 1);
}

// Guards against running a parts claim twice: after a broken connection the request may have run, and must not be
// retried at another leaf.
BOOST_AUTO_TEST_CASE(non_idempotent_request_is_resent_only_if_proven_not_run)
{
    one_shard shard;
    shard.engine.onAtMostOnceRequest(makeClaim(shard.now + millis(1000)), shard.now, shard.out);
    leaf_call call = shard.takeActions<leaf_call>().front();
    BOOST_TEST(call.once);
    shard.reply(call, call_status::Shed); // A refusal proves that it did not run; it is sent to another leaf.
    call = shard.takeActions<leaf_call>().front();
    shard.advance(millis(200)); // It is not hedged, however long it takes.
    BOOST_TEST(shard.takeActions<leaf_call>().empty());
    shard.reply(call, call_status::Failed);
    const auto result = shard.takeActions<at_most_once_result>();
    BOOST_REQUIRE(result.size() == 1);
    BOOST_TEST(result.front().mayHaveRun);
    BOOST_TEST(shard.engine.callCount() == 0);
}

BOOST_AUTO_TEST_CASE(late_result_of_a_non_idempotent_request_is_still_reported)
{
    one_shard shard;
    shard.engine.onAtMostOnceRequest(makeClaim(shard.now + millis(50)), shard.now, shard.out);
    const leaf_call call = shard.takeActions<leaf_call>().front();
    shard.advance(millis(51));
    BOOST_TEST(shard.takeActions<at_most_once_result>().front().mayHaveRun);
    shard.reply(call, call_status::Ok);
    const auto late = shard.takeActions<at_most_once_result>();
    BOOST_REQUIRE(late.size() == 1);
    BOOST_TEST((late.front().status == shard_status::Ok));
}

BOOST_AUTO_TEST_CASE(choosers_prefer_less_loaded_leafs)
{
    const std::vector<replica_candidate> candidates = {{{1}, 2, millis(1)}, {{2}, 0, millis(9)}, {{3}, 0, millis(5)}};
    seeded_random random(seed);
    BOOST_TEST(least_in_flight()(candidates, random) == 2);
    std::size_t best = 0;
    for (int round = 0; round < 300; ++round) {
        best += power_of_two()(candidates, random) != 0 ? 1 : 0;
        BOOST_TEST(uniform_choice()(candidates, random) < 3);
    }
    BOOST_TEST(best > 240);
}

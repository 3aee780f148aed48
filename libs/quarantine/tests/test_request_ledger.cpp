#define BOOST_TEST_MODULE request_ledger
#include <boost/test/included/unit_test.hpp>

#include <quarantine/quarantine.h>

#include <algorithm>
#include <array>
#include <numeric>

using namespace chivelock;

namespace {

constexpr request_fingerprint suspectRequest {1, 2};
constexpr request_fingerprint otherRequest {1, 3};
constexpr route_digest route = 9;
constexpr millis start(10000);

/** @return @p count leaf digests in sequence, starting with @p first. */
std::vector<leaf_digest> leafs(leaf_digest first, std::size_t count)
{
    std::vector<leaf_digest> result(count);
    std::iota(result.begin(), result.end(), first);
    return result;
}

request_ledger quarantinedLedger()
{
    request_ledger ledger({});
    ledger.recordCrashes(suspectRequest, route, 1, leafs(10, 2), false, start);
    ledger.recordCrashes(suspectRequest, route, 2, leafs(20, 1), true, start);
    return ledger;
}

/** Records crashed leafs in each of several attempts of this request, as when another one crashes many leafs. */
void crashUnderManyAttempts(request_ledger &ledger, const request_fingerprint &key, millis at)
{
    constexpr attempt_tag attempts = 6;
    for (attempt_tag attempt = 1; attempt <= attempts; ++attempt) {
        ledger.recordCrashes(key, route, attempt, leafs(10, 3), false, at);
    }
}

quarantine_state stateAfter(const request_ledger &ledger, millis after = millis())
{
    return ledger.quarantineStateOf(suspectRequest, start + after);
}

} // namespace

BOOST_AUTO_TEST_CASE(a_request_without_evidence_is_clear)
{
    BOOST_CHECK(stateAfter(request_ledger({})) == quarantine_state::Clear);
}

BOOST_AUTO_TEST_CASE(two_crashed_leafs_and_a_crashed_canary_quarantine_a_request)
{
    BOOST_CHECK(stateAfter(quarantinedLedger()) == quarantine_state::Quarantined);
    BOOST_CHECK(quarantinedLedger().quarantineRemaining(suspectRequest, start) >= quarantine_settings().hold);
    BOOST_CHECK(quarantinedLedger().quarantineStateOf(otherRequest, start) == quarantine_state::Clear);
}

// Guards against a request that is refused for ten minutes because of unrelated crashes: a host fails with many leafs,
// and each lookup in flight has lost many of them without an answer. Crashes at one time are no evidence of a cause.
BOOST_AUTO_TEST_CASE(one_attempt_does_not_quarantine_however_many_leafs_crashed)
{
    request_ledger ledger({});
    ledger.recordCrashes(suspectRequest, route, 1, leafs(10, 100), false, start);
    BOOST_CHECK(stateAfter(ledger) == quarantine_state::Suspect);
}

// Guards against a popular lookup that all VMs refuse for 693 s, and then for 1,387 s. Another request crashes leafs
// while several attempts of the lookup are in flight, and each loses three. Attempts that lose leafs in one event must
// not count as separate evidence.
BOOST_AUTO_TEST_CASE(many_attempts_that_lose_leafs_in_one_event_do_not_quarantine)
{
    request_ledger ledger({});
    crashUnderManyAttempts(ledger, suspectRequest, start);
    BOOST_CHECK(stateAfter(ledger) == quarantine_state::Suspect);
    crashUnderManyAttempts(ledger, suspectRequest, start + millis(3000));
    BOOST_CHECK(stateAfter(ledger, millis(3000)) == quarantine_state::Suspect);
}

// An answer before the first crash is remembered, although the ledger then has no evidence about the request.
BOOST_AUTO_TEST_CASE(a_request_that_was_answered_before_needs_three_crashed_canaries)
{
    request_ledger ledger({});
    BOOST_CHECK(!ledger.recordAnswer(suspectRequest, start));
    BOOST_CHECK_EQUAL(ledger.size(), 0U);
    millis at = start + millis(5000);
    crashUnderManyAttempts(ledger, suspectRequest, at);
    for (attempt_tag canary = 20; canary < 22; ++canary) {
        at = at + millis(1000);
        ledger.recordCrashes(suspectRequest, route, canary, leafs(canary, 1), true, at);
        BOOST_CHECK(ledger.quarantineStateOf(suspectRequest, at) == quarantine_state::Suspect);
    }
    at = at + millis(1000);
    ledger.recordCrashes(suspectRequest, route, 22, leafs(22, 1), true, at);
    BOOST_CHECK(ledger.quarantineStateOf(suspectRequest, at) == quarantine_state::Quarantined);
}

// Each VM sends its own canary requests, and one unrelated event may crash the leafs of all of them.
BOOST_AUTO_TEST_CASE(simultaneous_canaries_of_several_vms_are_one_event)
{
    request_ledger ledger({});
    std::ignore = ledger.recordAnswer(suspectRequest, start);
    const millis at = start + millis(5000);
    crashUnderManyAttempts(ledger, suspectRequest, at);
    for (attempt_tag canary = 20; canary < 28; ++canary) {
        ledger.recordCrashes(suspectRequest, route, canary, leafs(canary, 1), true, at + millis(canary));
    }
    BOOST_CHECK(ledger.quarantineStateOf(suspectRequest, at + millis(100)) == quarantine_state::Suspect);
}

// Guards against a new request that is refused for ten minutes because it shares a leaf with a query of death. Leafs
// crash under both, and the canary leaf runs both when it crashes, so the evidence is the same. Another canary decides.
BOOST_AUTO_TEST_CASE(two_suspects_on_one_crashed_leaf_are_held_only_briefly)
{
    request_ledger ledger({});
    for (const request_fingerprint &key : {suspectRequest, otherRequest}) {
        ledger.recordCrashes(key, route, 1, leafs(10, 2), false, start);
        ledger.recordCrashes(key, route, key == suspectRequest ? 2 : 3, leafs(20, 1), true, start + millis(1000));
    }
    const millis at = start + millis(1000);
    constexpr millis maxAmbiguousHold(2000);
    BOOST_CHECK(ledger.quarantineRemaining(suspectRequest, at) <= maxAmbiguousHold);
    BOOST_CHECK(ledger.quarantineRemaining(otherRequest, at) <= maxAmbiguousHold);
    const millis released = at + maxAmbiguousHold;
    ledger.recordCrashes(suspectRequest, route, 4, leafs(30, 1), true, released);
    BOOST_CHECK(ledger.quarantineRemaining(suspectRequest, released) >= quarantine_settings().hold);
    std::ignore = ledger.recordAnswer(otherRequest, released);
    BOOST_CHECK(ledger.quarantineStateOf(otherRequest, released) == quarantine_state::Clear);
}

// Many different requests must not evict a request that is answered repeatedly for as long as the table size allows.
BOOST_AUTO_TEST_CASE(answers_are_kept_in_bounded_memory_and_popular_ones_longest)
{
    answered_request_cache cache;
    constexpr millis within(600000);
    auto recordOthers = [&, next = std::uint64_t {1}](std::size_t count) mutable {
        for (std::size_t at = 0; at < count; ++at, ++next) {
            cache.record({7, next * 0x9e3779b97f4a7c15U}, start);
        }
    };
    BOOST_CHECK(!cache.contains(suspectRequest, within, start));
    for (std::size_t repeat = 0; repeat < 50; ++repeat) {
        cache.record(suspectRequest, start);
        recordOthers(1000);
        BOOST_REQUIRE(cache.contains(suspectRequest, within, start));
    }
    recordOthers(1000000);
    BOOST_CHECK(!cache.contains(suspectRequest, within, start));
    cache.record(suspectRequest, start);
    BOOST_CHECK(!cache.contains(suspectRequest, within, start + within));
}

// Guards against a query of death that keeps reaching leafs. It takes longer to crash a leaf than its time limit, so
// the canary leaf reports a timeout. Such attempts must count as well as those that crash a leaf.
BOOST_AUTO_TEST_CASE(attempts_that_time_out_count_too)
{
    request_ledger ledger({});
    const std::array<leaf_digest, 1> none {noLeaf};
    ledger.recordCrashes(suspectRequest, route, 1, leafs(10, 3), false, start);
    ledger.recordCrashes(suspectRequest, route, 2, none, true, start);
    BOOST_CHECK(stateAfter(ledger) == quarantine_state::Suspect);
    ledger.recordCrashes(suspectRequest, route, 3, none, true, start + millis(300));
    BOOST_CHECK(stateAfter(ledger, millis(300)) == quarantine_state::Quarantined);
}

BOOST_AUTO_TEST_CASE(timeouts_alone_do_not_quarantine)
{
    request_ledger ledger({});
    const std::array<leaf_digest, 1> none {noLeaf};
    for (attempt_tag attempt = 1; attempt < 8; ++attempt) {
        ledger.recordCrashes(suspectRequest, route, attempt, none, true, start + millis(1000) * attempt);
    }
    BOOST_CHECK(stateAfter(ledger) != quarantine_state::Quarantined);
}

BOOST_AUTO_TEST_CASE(an_answer_clears_the_state_and_older_evidence_received_later_does_not_count)
{
    request_ledger ledger = quarantinedLedger();
    const std::vector<request_evidence> late = ledger.all();
    ledger.recordAnswer(suspectRequest, start + millis(5));
    BOOST_CHECK(stateAfter(ledger, millis(6)) == quarantine_state::Clear);
    ledger.join(late, start + millis(50));
    BOOST_CHECK(stateAfter(ledger, millis(50)) == quarantine_state::Clear);
}

BOOST_AUTO_TEST_CASE(an_answer_clears_the_state_on_other_vms_too)
{
    request_ledger here = quarantinedLedger();
    request_ledger there = quarantinedLedger();
    here.recordAnswer(suspectRequest, start + millis(700));
    BOOST_CHECK_EQUAL(there.join(here.takeUpdates(), start + millis(701)).size(), 1U);
    BOOST_CHECK(stateAfter(there, millis(701)) == quarantine_state::Clear);
}

// After a network partition, the evidence of both sides together must suffice, in whichever order it is merged.
BOOST_AUTO_TEST_CASE(evidence_merges_in_any_order_and_any_number_of_times)
{
    std::array<request_ledger, 3> seen {request_ledger({}), request_ledger({}), request_ledger({})};
    for (std::uint32_t at = 0; at < seen.size(); ++at) {
        seen[at].recordCrashes(suspectRequest, route, at, leafs(at * 10 + 1, 1), at == 2, start);
    }
    std::array<std::size_t, 5> order {0, 1, 2, 0, 1};
    do {
        request_ledger joined({});
        std::ranges::for_each(order, [&](std::size_t at) { joined.join(seen[at].all(), start); });
        BOOST_REQUIRE(stateAfter(joined) == quarantine_state::Quarantined);
        BOOST_REQUIRE_EQUAL(joined.find(suspectRequest)->ends.size(), 3U);
    } while (std::ranges::next_permutation(order).found);
}

// Guards against VMs that forward one answer forever: its age grows in transit, so that an echo looks newer.
BOOST_AUTO_TEST_CASE(an_echoed_answer_is_not_forwarded)
{
    request_ledger here = quarantinedLedger();
    request_ledger there({});
    BOOST_CHECK_EQUAL(there.join(here.all(), start).size(), 1U);
    here.recordAnswer(suspectRequest, start + millis(700));
    std::vector<request_evidence> echo = here.takeUpdates();
    BOOST_CHECK_EQUAL(there.join(echo, start + millis(700)).size(), 1U);
    std::ranges::for_each(echo, [](request_evidence &one) { one.answeredAt = one.answeredAt + millis(40); });
    BOOST_CHECK(here.join(echo, start + millis(740)).empty());
    BOOST_CHECK(there.join(echo, start + millis(740)).empty());
}

BOOST_AUTO_TEST_CASE(after_the_hold_a_request_is_suspect_and_the_next_hold_is_longer)
{
    request_ledger ledger = quarantinedLedger();
    const millis first = ledger.quarantineRemaining(suspectRequest, start);
    const millis released = start + first + millis(1);
    BOOST_CHECK(ledger.quarantineStateOf(suspectRequest, released) == quarantine_state::Suspect);
    ledger.recordCrashes(suspectRequest, route, 3, leafs(30, 1), true, released);
    BOOST_CHECK(ledger.quarantineStateOf(suspectRequest, released) == quarantine_state::Quarantined);
    BOOST_CHECK(ledger.quarantineRemaining(suspectRequest, released) >= first * 1.9);
}

BOOST_AUTO_TEST_CASE(vms_release_a_request_at_different_times)
{
    std::set<std::int64_t> moments;
    constexpr std::uint64_t vms = 8;
    for (std::uint64_t seed = 0; seed < vms; ++seed) {
        request_ledger ledger({}, seed);
        ledger.join(quarantinedLedger().all(), start);
        moments.insert(ledger.quarantineRemaining(suspectRequest, start).ceiled() / 1000);
    }
    BOOST_CHECK_EQUAL(moments.size(), vms);
}

BOOST_AUTO_TEST_CASE(a_route_requires_canaries_after_its_requests_crashed_leafs)
{
    request_ledger ledger({});
    ledger.recordCrashes(suspectRequest, route, 1, leafs(10, 1), false, start);
    BOOST_CHECK(!ledger.requiresCanary(route, start)); // one leaf may crash for any reason
    ledger.recordCrashes(otherRequest, route, 2, leafs(20, 2), false, start);
    BOOST_CHECK(ledger.requiresCanary(route, start));
    BOOST_CHECK(!ledger.requiresCanary(route + 1, start));
    const millis end = start + quarantine_settings().canaryFor;
    BOOST_CHECK(!ledger.requiresCanary(route, end));
    ledger.recordCrashes({1, 4}, route, 3, leafs(30, 1), false, end - millis(1));
    BOOST_CHECK(ledger.requiresCanary(route, end)); // a further crash extends it
}

// Guards against unbounded memory or a lost verdict when a caller changes a byte of a query of death each time.
BOOST_AUTO_TEST_CASE(memory_is_bounded_and_verdicts_are_evicted_last)
{
    request_ledger ledger = quarantinedLedger();
    for (std::uint64_t at = 0; at < 2000; ++at) {
        ledger.recordCrashes({2, at + 1}, route, 7, leafs(1, 3), false, start + millis(1));
    }
    BOOST_CHECK_EQUAL(ledger.size(), quarantine_settings().capacity);
    BOOST_CHECK(stateAfter(ledger, millis(1)) == quarantine_state::Quarantined);
}

BOOST_AUTO_TEST_CASE(old_evidence_expires)
{
    request_ledger ledger = quarantinedLedger();
    ledger.expire(start + ledger.quarantineRemaining(suspectRequest, start) + millis(1));
    BOOST_CHECK_EQUAL(ledger.size(), 1U);
    ledger.expire(start + quarantine_settings().hold * 3);
    BOOST_CHECK_EQUAL(ledger.size(), 0U);
}

BOOST_AUTO_TEST_CASE(work_without_a_request_key_leaves_no_evidence)
{
    request_ledger ledger({});
    ledger.recordCrashes({}, route, 1, leafs(10, 3), false, start);
    ledger.recordCrashes({}, route, 2, leafs(20, 3), true, start);
    BOOST_CHECK_EQUAL(ledger.size(), 0U);
}

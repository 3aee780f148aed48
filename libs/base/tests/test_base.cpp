#define BOOST_TEST_MODULE base
#include <boost/test/included/unit_test.hpp>

#include <base/base.h>

#include <thread>
#include <vector>

using namespace chivelock;

BOOST_AUTO_TEST_CASE(millis_keeps_microseconds_and_rounds_up_for_callers)
{
    BOOST_TEST(millis(2.5).micros() == 2500);
    BOOST_TEST(millis::fromMicros(1).ceiled() == 1);
    BOOST_TEST(millis(3).ceiled() == 3);
    BOOST_TEST(((millis(5) - millis(7)) < millis()));
    BOOST_TEST((millis(4) * 0.25).micros() == 1000);
}

BOOST_AUTO_TEST_CASE(same_seed_gives_same_numbers)
{
    seeded_random left(7);
    seeded_random right(7);
    for (int round = 0; round < 100; ++round) {
        const double value = left.uniform();
        BOOST_TEST(value == right.uniform());
        BOOST_TEST((value >= 0 && value < 1));
    }
}

// Symptom: a caller waits for ever, or the decision thread stands still.
// Sequence: a ring is full and the writer either blocks or drops the item without a word.
// Cause: a push that does not say whether it took the item.
BOOST_AUTO_TEST_CASE(full_ring_refuses_and_leaves_the_item_whole)
{
    bounded_ring<std::string> ring(2);
    std::size_t taken = 0;
    std::string item = "kept";
    while (ring.push(std::string("x"))) {
        ++taken;
    }
    BOOST_TEST(taken >= 2);
    const bool pushed = ring.push(std::move(item));
    BOOST_TEST(!pushed);
    // NOLINTNEXTLINE(bugprone-use-after-move): this is what is tested
    BOOST_TEST(item == "kept");
    std::size_t drained = ring.drain([](std::string &&) {});
    BOOST_TEST(drained == taken);
}

BOOST_AUTO_TEST_CASE(ring_loses_and_doubles_nothing_between_threads)
{
    constexpr int perThread = 20000;
    bounded_ring<int> ring(1024);
    std::vector<std::thread> writers;
    writers.reserve(4);
    for (int writer = 0; writer < 4; ++writer) {
        writers.emplace_back([&ring] {
            for (int count = 0; count < perThread; ++count) {
                while (!ring.push(1)) {
                    std::this_thread::yield();
                }
            }
        });
    }
    int sum = 0;
    while (sum < 4 * perThread) {
        ring.drain([&sum](int &&one) { sum += one; });
    }
    std::ranges::for_each(writers, [](std::thread &writer) { writer.join(); });
    BOOST_TEST(sum == 4 * perThread);
    BOOST_TEST(ring.drain([](int &&) {}) == 0);
}

BOOST_AUTO_TEST_CASE(repeated_cause_is_logged_once_an_interval_and_counted)
{
    log_limiter limiter {millis(100)};
    BOOST_TEST(limiter.allow(millis(1000)));
    BOOST_TEST(!limiter.allow(millis(1050)));
    BOOST_TEST(!limiter.allow(millis(1099)));
    BOOST_TEST(limiter.allow(millis(1100)));
    BOOST_TEST(limiter.takeSuppressed() == 2);
}

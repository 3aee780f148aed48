#define BOOST_TEST_MODULE base
#include <boost/test/included/unit_test.hpp>

#include <base/base.h>

#include <thread>
#include <vector>

using namespace chivelock;

BOOST_AUTO_TEST_CASE(millis_keeps_microseconds_and_ceiled_rounds_up)
{
    BOOST_TEST(millis(2.5).micros() == 2500);
    BOOST_TEST(millis::fromMicros(1).ceiled() == 1);
    BOOST_TEST(millis(3).ceiled() == 3);
    BOOST_TEST(((millis(5) - millis(7)) < millis()));
    BOOST_TEST((millis(4) * 0.25).micros() == 1000);
}

BOOST_AUTO_TEST_CASE(same_seed_gives_the_same_sequence)
{
    seeded_random left(7);
    seeded_random right(7);
    for (int round = 0; round < 100; ++round) {
        const double value = left.uniform();
        BOOST_TEST(value == right.uniform());
        BOOST_TEST((value >= 0 && value < 1));
    }
}

// Guards against a caller that waits forever or a blocked decision thread. Either happens if push() on a full ring
// blocks, or drops the item without reporting it to the producer.
BOOST_AUTO_TEST_CASE(push_to_full_ring_fails_and_keeps_the_item)
{
    bounded_ring<std::string> ring(2);
    std::size_t accepted = 0;
    std::string item = "kept";
    while (ring.push(std::string("x"))) {
        ++accepted;
    }
    BOOST_TEST(accepted >= 2);
    const bool pushed = ring.push(std::move(item));
    BOOST_TEST(!pushed);
    // NOLINTNEXTLINE(bugprone-use-after-move): push() must not move from the item if it fails
    BOOST_TEST(item == "kept");
    std::size_t drained = ring.drain([](std::string &&) {});
    BOOST_TEST(drained == accepted);
}

BOOST_AUTO_TEST_CASE(ring_delivers_each_item_exactly_once_between_threads)
{
    constexpr int itemsPerThread = 20000;
    bounded_ring<int> ring(1024);
    std::vector<std::thread> producers;
    producers.reserve(4);
    for (int producer = 0; producer < 4; ++producer) {
        producers.emplace_back([&ring] {
            for (int count = 0; count < itemsPerThread; ++count) {
                while (!ring.push(1)) {
                    std::this_thread::yield();
                }
            }
        });
    }
    int sum = 0;
    while (sum < 4 * itemsPerThread) {
        ring.drain([&sum](int &&one) { sum += one; });
    }
    std::ranges::for_each(producers, [](std::thread &producer) { producer.join(); });
    BOOST_TEST(sum == 4 * itemsPerThread);
    BOOST_TEST(ring.drain([](int &&) {}) == 0);
}

BOOST_AUTO_TEST_CASE(recurring_event_is_logged_once_per_interval_and_counted)
{
    log_limiter limiter {millis(100)};
    BOOST_TEST(limiter.allow(millis(1000)));
    BOOST_TEST(!limiter.allow(millis(1050)));
    BOOST_TEST(!limiter.allow(millis(1099)));
    BOOST_TEST(limiter.allow(millis(1100)));
    BOOST_TEST(limiter.takeSuppressed() == 2);
}

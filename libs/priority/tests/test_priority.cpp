#define BOOST_TEST_MODULE priority
#include <boost/test/included/unit_test.hpp>

#include <priority/priority.h>

#include <deque>
#include <iterator>
#include <limits>
#include <map>
#include <string>
#include <vector>

using namespace chivelock;

namespace {

constexpr std::uint32_t unknown = std::numeric_limits<std::uint32_t>::max();

priority_scale scaleOf(const std::vector<std::uint32_t> &ranks)
{
    return priority_scale(ranks);
}

/** One kind of request that arrives at a VM. */
struct load_kind {
    std::string name;
    std::uint32_t rank = 0;
    millis objective;
    double perSecond = 0;
    millis work; ///< processor time at the VM
};

/** Serves in order of arrival, as the reactor does without priorities. */
class arrival_order
{
public:
    void push(const load_kind *kind, const queue_terms &terms)
    {
        m_entries.push_back({kind, terms});
    }

    std::optional<run_queue<const load_kind *>::entry> pop(millis)
    {
        auto first = m_entries.front();
        m_entries.pop_front();
        return first;
    }

    [[nodiscard]] bool isEmpty() const
    {
        return m_entries.empty();
    }

private:
    std::deque<run_queue<const load_kind *>::entry> m_entries;
};

using arrivals = std::multimap<millis, const load_kind *>;

/** @return ten seconds of requests, with a surge that lasts from the second to the fourth. */
arrivals surgeOf(const std::vector<load_kind> &kinds, double surgeFactor)
{
    seeded_random random(3);
    arrivals all;
    for (const load_kind &kind : kinds) {
        for (millis at; at < millis(10000);) {
            const bool surge = at >= millis(2000) && at < millis(4000);
            at = at + millis(1000 / kind.perSecond / (surge ? surgeFactor : 1.0) * (0.5 + random.uniform()));
            all.emplace(at, &kind);
        }
    }
    return all;
}

/** Begins the requests one after another, as a VM does whose processor is the bottleneck.
 *  @return the share of each kind that was begun within half of its objective. */
template<typename queue_type>
std::map<std::string, double> shareInTime(const arrivals &load, const priority_scale &scale)
{
    queue_type queue;
    std::map<std::string, std::pair<double, double>> counts; // in time, and all
    millis now;
    auto next = load.begin();
    while (next != load.end() || !queue.isEmpty()) {
        now = queue.isEmpty() ? std::max(now, next->first) : now;
        for (; next != load.end() && next->first <= now; ++next) {
            const load_kind &kind = *next->second;
            queue.push(&kind, {scale.urgencyOf(kind.rank), next->first, kind.objective});
        }
        const auto begun = queue.pop(now);
        auto &[inTime, all] = counts[begun->item->name];
        inTime += now - begun->terms.arrivedAt <= begun->item->objective * 0.5 ? 1 : 0;
        all += 1;
        now = now + begun->item->work;
    }
    std::map<std::string, double> shares;
    for (const auto &[name, count] : counts) {
        shares[name] = count.first / count.second;
    }
    return shares;
}

const std::vector<load_kind> busyLoad = {{"urgent", 0, millis(40), 14.5, millis(10)},
                                         {"usual", 1, millis(120), 25.2, millis(12)},
                                         {"patient", 2, millis(500), 8.4, millis(1)}};

} // namespace

BOOST_AUTO_TEST_CASE(urgency_follows_the_order_of_the_configured_ranks)
{
    const priority_scale scale = scaleOf({7, 2, 4, 2});
    BOOST_TEST(!scale.isUniform());
    BOOST_TEST(scale.urgencyOf(2) == 1.0);
    BOOST_TEST(scale.urgencyOf(4) == 0.5);
    BOOST_TEST(scale.urgencyOf(7) == 0.0);
}

// Guards against a helper that drops or misplaces work whose rank is not in its own configuration.
BOOST_AUTO_TEST_CASE(unknown_ranks_have_a_place_on_the_scale)
{
    const priority_scale scale = scaleOf({2, 4, 7});
    BOOST_TEST(scale.urgencyOf(0) == 1.0);
    BOOST_TEST(scale.urgencyOf(3) == 0.5);
    BOOST_TEST(scale.urgencyOf(unknown) == 0.0);
}

BOOST_AUTO_TEST_CASE(one_rank_orders_nothing)
{
    BOOST_TEST(priority_scale().isUniform());
    BOOST_TEST(scaleOf({3, 3}).isUniform());
    BOOST_TEST(scaleOf({3, 3}).urgencyOf(unknown) == 1.0);
}

BOOST_AUTO_TEST_CASE(urgent_work_goes_first_and_equals_keep_their_order)
{
    run_queue<int> queue;
    queue.push(1, {0, millis(0), millis(100)});
    queue.push(2, {0, millis(0), millis(100)});
    queue.push(3, {1, millis(20), millis(100)});
    BOOST_TEST(queue.pop(millis(20))->item == 3);
    BOOST_TEST(queue.pop(millis(20))->item == 1);
    BOOST_TEST(queue.pop(millis(20))->item == 2);
    BOOST_TEST(!queue.pop(millis(20)).has_value());
    BOOST_TEST(queue.yielded() == 2U);
}

BOOST_AUTO_TEST_CASE(less_urgent_work_goes_first_once_it_has_yielded)
{
    run_queue<int> queue;
    queue.push(1, {0.7, millis(0), millis(100)});
    queue.push(2, {1, millis(40), millis(100)});
    BOOST_TEST(queue.pop(millis(40))->item == 1);
    BOOST_TEST(queue.yielded() == 0U);
}

// Guards against starvation: urgent work that never ends must not hold back other work.
BOOST_AUTO_TEST_CASE(work_is_begun_however_much_urgent_work_arrives)
{
    run_queue<int> queue;
    queue.push(0, {0, millis(0), millis(100)});
    bool begun = false;
    for (millis now; now < millis(1000); now = now + millis(1)) {
        queue.push(1, {1, now, millis(40)});
        queue.push(1, {1, now, millis(40)});
        begun = begun || queue.pop(now)->item == 0;
    }
    BOOST_TEST(begun);
}

// Guards against answering every request late: work that is late already must not delay work that is not.
BOOST_AUTO_TEST_CASE(late_work_waits_for_work_that_can_be_in_time)
{
    run_queue<int> queue;
    for (int item = 0; item < 8; ++item) {
        queue.push(item, {1, millis(0), millis(40)});
    }
    const millis now(300);
    for (int item = 100; item < 108; ++item) {
        queue.push(item, {0, now, millis(100)});
    }
    std::vector<int> order;
    while (const auto next = queue.pop(now)) {
        order.push_back(next->item);
    }
    const std::vector<int> expected = {100, 101, 102, 0, 103, 104, 105, 1, 106, 107, 2, 3, 4, 5, 6, 7};
    BOOST_TEST(order == expected, boost::test_tools::per_element());
}

// Guards against work that changes its place, or is lost, when a new configuration arrives while it is queued.
BOOST_AUTO_TEST_CASE(queued_work_keeps_the_urgency_with_which_it_was_queued)
{
    priority_scale scale = scaleOf({0, 1});
    run_queue<int> queue;
    queue.push(1, {scale.urgencyOf(1), millis(0), millis(100)});
    scale = scaleOf({1, 2});
    queue.push(2, {scale.urgencyOf(2), millis(1), millis(100)});
    queue.push(3, {scale.urgencyOf(1), millis(2), millis(100)});
    BOOST_TEST(queue.pop(millis(2))->item == 3);
    BOOST_TEST(queue.pop(millis(2))->item == 1);
    BOOST_TEST(queue.pop(millis(2))->item == 2);
}

BOOST_AUTO_TEST_CASE(work_of_a_caller_that_left_is_removed)
{
    run_queue<int> queue;
    queue.push(1, {1, millis(0), millis(100)});
    queue.push(2, {1, millis(0), millis(100)});
    BOOST_TEST(queue.contains([](int one) { return one == 1; }));
    BOOST_TEST(queue.removeIf([](int one) { return one == 1; }) == 1U);
    BOOST_TEST(queue.size() == 1U);
    BOOST_TEST(queue.pop(millis(0))->item == 2);
    BOOST_TEST(queue.isEmpty());
}

// Guards against urgent requests that are late because a VM behind its work serves all kinds in order of arrival.
BOOST_AUTO_TEST_CASE(a_vm_that_is_behind_serves_urgent_requests_in_time)
{
    const arrivals load = surgeOf(busyLoad, 3);
    const auto before = shareInTime<arrival_order>(load, priority_scale());
    const auto after = shareInTime<run_queue<const load_kind *>>(load, scaleOf({0, 1, 2}));
    for (const load_kind &kind : busyLoad) {
        BOOST_TEST_MESSAGE(kind.name << ": in time " << before.at(kind.name) << " without, " << after.at(kind.name)
                                     << " with priorities");
    }
    BOOST_TEST(after.at("urgent") > before.at("urgent"));
    BOOST_TEST(after.at("urgent") >= after.at("usual"));
    BOOST_TEST(after.at("usual") > before.at("usual"));
    BOOST_TEST(after.at("usual") >= after.at("patient"));
    BOOST_TEST(after.at("patient") > before.at("patient") - 0.05);
}

BOOST_AUTO_TEST_CASE(calls_wait_in_order_of_urgency_then_age)
{
    std::vector<waiting_position> calls = {
        {0, millis(1), 1, 0}, {1, millis(9), 4, 1}, {1, millis(9), 4, 0}, {1, millis(5), 3, 0}};
    std::ranges::sort(calls);
    std::vector<std::uint64_t> order;
    std::ranges::transform(calls, std::back_inserter(order), &waiting_position::exchange);
    BOOST_TEST(order == (std::vector<std::uint64_t> {3, 4, 4, 1}), boost::test_tools::per_element());
    BOOST_TEST(calls[1].call == 0U);
}

BOOST_AUTO_TEST_CASE(only_routes_beside_more_urgent_ones_leave_a_share_of_the_budget)
{
    BOOST_TEST(budgetReserve(0.3, 1, 1) == 0.3, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(budgetReserve(0, 0, 0) == 0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(budgetReserve(0, 0.5, 1) > 0);
    BOOST_TEST(budgetReserve(0, 0, 1) > budgetReserve(0, 0.5, 1));
    BOOST_TEST(budgetReserve(0.3, 0, 1) < 1);
}

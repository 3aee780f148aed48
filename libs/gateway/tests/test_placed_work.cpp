#define BOOST_TEST_MODULE placed_work
#include <boost/test/included/unit_test.hpp>

#include "gateway_world.h"

#include <numeric>

using namespace chivelock;
using namespace chivelock::testing;

namespace {

constexpr double largeCores = 0.5;
constexpr double smallCores = 0.12;

/** A VM of a zone that has a leaf of each shard; the VMs 0 and 1 are large. */
class uneven_zone
{
public:
    static constexpr std::size_t vms = 21;
    static constexpr std::size_t shards = 90;

    explicit uneven_zone(std::size_t ownRank, bool placement = true)
        : m_ownRank(ownRank)
        , m_engine(settings(ownRank, placement), ownRank)
    {
        gateway_config config;
        config.version = 1;
        config.routes = {gateway_world::gatherRoute(shards, 0.8)};
        for (const service_name &shard : config.routes.front().shards) {
            config.services.push_back({shard, 1000});
            for (const std::string name : {"-a", "-b"}) {
                leaf_entry entry;
                entry.id = shard.value + name;
                entry.service = shard;
                entry.zone = {"here"};
                entry.slots = 100;
                m_engine.leafs().put(entry, now);
            }
        }
        m_engine.applyConfig(std::move(config));
        std::vector<helper_vm> helpers;
        for (std::size_t rank = 0; rank < vms; ++rank) {
            if (rank != ownRank) {
                helpers.push_back({addressOf(rank), {"here"}, rank});
            }
        }
        m_engine.setHelpers(std::move(helpers), ownRank);
    }

    static std::string addressOf(std::size_t rank)
    {
        return "vm" + std::to_string(rank);
    }

    static double capacityOf(std::size_t rank)
    {
        return rank < 2 ? largeCores : smallCores;
    }

    void reportLoad(std::size_t rank, millis lag = {})
    {
        m_engine.onHelperLoad(addressOf(rank), {capacityOf(rank), lag, 0}, now);
    }

    void reportAllLoads()
    {
        for (std::size_t rank = 0; rank < vms; ++rank) {
            if (rank != m_ownRank) {
                reportLoad(rank);
            }
        }
    }

    /** What one lookup asked of each VM, by rank. */
    struct division {
        std::vector<std::size_t> shardsOf = std::vector<std::size_t>(vms);
        std::size_t messages = 0;
        std::size_t secondSends = 0; ///< of the messages, those for second leafs
    };

    division submit()
    {
        m_engine.arrive({"q", "h", "/all/x", millis(600)}, now);
        return takeDivision();
    }

    division advanceBy(millis time)
    {
        division sum;
        const millis end = now + time;
        while (m_engine.nextDue() <= end) {
            now = std::max(now, m_engine.nextDue());
            m_engine.advance(now);
            const division step = takeDivision();
            std::ranges::transform(sum.shardsOf, step.shardsOf, sum.shardsOf.begin(), std::plus<>());
            sum.messages += step.messages;
            sum.secondSends += step.secondSends;
        }
        now = end;
        return sum;
    }

    /** The VM reports all shards of its latest work. */
    void reportWork(std::size_t rank)
    {
        const delegate_action work = m_latest.at(addressOf(rank));
        delegated_progress report;
        report.last = true;
        for (std::uint32_t at = 0; at < work.work.shards.size(); ++at) {
            report.parts.push_back({at, "digest-" + work.work.shards[at].value});
        }
        m_engine.onProgress(work.id, std::move(report), now);
        (void)takeDivision();
    }

    gateway_engine &engine()
    {
        return m_engine;
    }

    [[nodiscard]] bool wasLogged(std::string_view event) const
    {
        return m_logged.contains(std::string(event));
    }

    millis now {10000};

private:
    static gateway_settings settings(std::size_t rank, bool placement)
    {
        gateway_settings settings;
        settings.zone = {"here"};
        settings.capacity = capacityOf(rank);
        settings.maxShardsPerVm = placement::shardsAtOnce(settings.capacity);
        settings.retrySlack = 10000;
        settings.scheduling.placement = placement;
        return settings;
    }

    division takeDivision()
    {
        division result;
        for (gateway_action &action : m_engine.takeActions()) {
            if (auto *work = std::get_if<delegate_action>(&action)) {
                result.shardsOf.at(std::stoul(work->helper.substr(2))) += work->work.shards.size();
                result.messages += 1;
                result.secondSends += work->work.alone ? 1 : 0;
                m_latest[work->helper] = std::move(*work);
            } else if (std::holds_alternative<send_action>(action)) {
                result.shardsOf.at(m_ownRank) += 1;
            } else if (const auto *logged = std::get_if<log_event_action>(&action)) {
                m_logged.insert(std::string(logged->event));
            }
        }
        return result;
    }

    std::size_t m_ownRank;
    gateway_engine m_engine;
    std::map<std::string, delegate_action> m_latest;
    std::set<std::string> m_logged;
};

constexpr std::size_t ownRank = 20;

std::size_t sum(const uneven_zone::division &division)
{
    return std::accumulate(division.shardsOf.begin(), division.shardsOf.end(), std::size_t {0});
}

} // namespace

// Guards against seven messages from a small VM to small VMs for one lookup.
BOOST_AUTO_TEST_CASE(a_small_vm_delegates_mostly_to_the_large_ones)
{
    uneven_zone zone(ownRank);
    zone.reportAllLoads();
    for (int at = 0; at < 20; ++at) {
        const uneven_zone::division made = zone.submit();
        BOOST_TEST(made.messages <= 3U);
        BOOST_TEST(made.shardsOf[0] + made.shardsOf[1] >= 60U);
        BOOST_TEST(sum(made) == uneven_zone::shards);
        zone.now = zone.now + millis(30);
    }
    BOOST_TEST(zone.engine().placed().large > zone.engine().placed().all / 2);
}

BOOST_AUTO_TEST_CASE(a_vm_that_is_behind_gets_less_work)
{
    uneven_zone zone(ownRank);
    zone.reportAllLoads();
    zone.reportLoad(0, millis(30));
    BOOST_TEST(zone.submit().shardsOf[0] == 0U);
    zone.now = zone.now + millis(1100); // the report is outdated
    BOOST_TEST(zone.submit().shardsOf[0] > 0U);
}

BOOST_AUTO_TEST_CASE(a_receiving_vm_that_is_behind_keeps_less)
{
    uneven_zone zone(0);
    zone.reportAllLoads();
    const std::size_t before = zone.submit().shardsOf[0];
    BOOST_TEST(before > 20U);
    zone.now = zone.now + millis(200);
    zone.engine().setOwnLoad({largeCores, millis(30), 0}, zone.now);
    BOOST_TEST(zone.submit().shardsOf[0] < before);
}

// Guards against work that goes to a VM whose messages are lost or that has stopped with its link open.
BOOST_AUTO_TEST_CASE(a_stalled_vm_gets_no_work_until_it_is_tried_again)
{
    uneven_zone zone(ownRank);
    zone.reportAllLoads();
    const uneven_zone::division first = zone.submit();
    BOOST_TEST(first.shardsOf[0] > 0U);
    zone.advanceBy(millis(20));
    zone.reportWork(1);
    zone.advanceBy(millis(60));
    BOOST_TEST(zone.wasLogged("helper_late"));
    BOOST_TEST(zone.wasLogged("helper_behind"));
    const uneven_zone::division next = zone.submit();
    BOOST_TEST(next.shardsOf[0] == 0U);
    BOOST_TEST(next.shardsOf[1] > 0U);
    BOOST_TEST(sum(next) == uneven_zone::shards);
    zone.advanceBy(millis(3000));
    BOOST_TEST(zone.submit().shardsOf[0] > 0U);
}

// Guards against a narrow link that no VM reports: the reports of the VM behind it come later than agreed.
BOOST_AUTO_TEST_CASE(a_vm_whose_reports_come_late_gets_less)
{
    uneven_zone zone(ownRank);
    zone.reportAllLoads();
    BOOST_TEST(zone.submit().shardsOf[0] > 0U);
    zone.advanceBy(millis(20));
    zone.reportWork(1);
    zone.advanceBy(millis(22)); // the first report was due 29 ms after the work was delegated
    zone.reportLoad(0);
    zone.reportWork(0);
    BOOST_TEST(zone.engine().helperLoads().lagOf("vm0", zone.now).count() > 5);
    BOOST_TEST(zone.submit().shardsOf[0] < 30U);
}

// Guards against VMs of the preceding version, which report no load, being left out or overrated.
BOOST_AUTO_TEST_CASE(vms_that_report_no_load_count_as_equal)
{
    uneven_zone zone(ownRank);
    uneven_zone off(ownRank, false);
    const uneven_zone::division made = zone.submit();
    BOOST_TEST(made.messages == 7U);
    BOOST_TEST((made.shardsOf == off.submit().shardsOf));
    BOOST_TEST(zone.engine().placed().all == 0U);
    zone.reportLoad(1);
    const uneven_zone::division withOne = zone.submit();
    BOOST_TEST(withOne.shardsOf[1] > 40U);
    BOOST_TEST(sum(withOne) == uneven_zone::shards);
}

BOOST_AUTO_TEST_CASE(placement_can_be_switched_off)
{
    uneven_zone zone(ownRank, false);
    zone.reportAllLoads();
    BOOST_TEST(zone.submit().messages == 7U);
}

// Guards against a report on unknown work, as it is sent when a link opens, that affects work under way.
BOOST_AUTO_TEST_CASE(a_load_only_report_changes_no_work)
{
    uneven_zone zone(ownRank);
    zone.reportAllLoads();
    zone.submit();
    delegated_progress loadOnly;
    loadOnly.last = true;
    zone.engine().onProgress(0, std::move(loadOnly), zone.now);
    BOOST_TEST(zone.engine().takeActions().empty());
    BOOST_TEST(zone.engine().openExchanges() == 1U);
}

BOOST_AUTO_TEST_CASE(second_leafs_are_asked_by_vms_that_are_not_behind)
{
    uneven_zone zone(ownRank);
    zone.reportAllLoads();
    zone.submit();
    zone.reportLoad(0, millis(60));
    const uneven_zone::division second = zone.advanceBy(millis(70));
    BOOST_TEST(second.secondSends > 0U);
    BOOST_TEST(second.shardsOf[0] == 0U);
}

BOOST_AUTO_TEST_CASE(the_load_of_a_lost_helper_is_forgotten)
{
    uneven_zone zone(ownRank);
    zone.reportAllLoads();
    BOOST_TEST(zone.engine().helperLoads().known() == uneven_zone::vms - 1);
    zone.engine().setHelpers({{"vm3", {"here"}, 3}}, ownRank);
    BOOST_TEST(zone.engine().helperLoads().known() == 1U);
}

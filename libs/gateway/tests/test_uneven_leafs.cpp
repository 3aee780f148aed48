#define BOOST_TEST_MODULE uneven_leafs
#include <boost/test/included/unit_test.hpp>

#include "gateway_world.h"

#include <numeric>

using namespace chivelock;
using namespace chivelock::testing;

namespace {

constexpr millis quickObjective(40);
constexpr std::size_t shards = 12;

gateway_settings settingsWith(bool hedging)
{
    gateway_settings settings;
    settings.callerRoundTrip = millis(9); // leaves 27 ms of the objective
    settings.scheduling.hedging = hedging;
    return settings;
}

gateway_route quickRoute(std::size_t shardCount)
{
    gateway_route route = gateway_world::gatherRoute(shardCount, 0.5);
    route.objective = quickObjective;
    return route;
}

/** Lookups at leafs that each pause for 100 ms in each 2.4 s, at its own time. */
class pausing_world
{
public:
    explicit pausing_world(bool hedging)
        : m_world(settingsWith(hedging))
    {
        constexpr std::size_t leafsPerShard = 3;
        m_world.addShards(shards, leafsPerShard);
        m_world.publish({quickRoute(shards)});
        for (const auto &[id, behaviour] : m_world.behaviours) {
            m_pauseAt[id] = pauseInterval * m_random.uniform();
        }
    }

    void runLookups(std::size_t count)
    {
        for (std::size_t at = 0; at < count; ++at) {
            m_exchanges.push_back(m_world.submit("/all/" + std::to_string(at)));
            for (unsigned step = 0; step < 60; ++step) {
                pauseLeafs();
                m_world.runFor(millis(1));
            }
        }
    }

    /** @return the share of the parts that were missing in the answers, from the lookup @p first on. */
    [[nodiscard]] double missingShare(std::size_t first) const
    {
        return sumOf(first, [](const answer_action &one) { return one.missing; });
    }

    [[nodiscard]] double hedgedShare(std::size_t first) const
    {
        return sumOf(first, [](const answer_action &one) { return one.hedges; });
    }

private:
    static constexpr millis pauseInterval {2400};
    static constexpr millis pauseLength {100};
    static constexpr millis work {10}; // with the time at a VM of an eighth of a core

    void pauseLeafs()
    {
        for (auto &[id, behaviour] : m_world.behaviours) {
            const double phase = std::fmod((m_world.now + m_pauseAt[id]).count(), pauseInterval.count());
            const millis rest = std::max(pauseLength - millis(phase), millis());
            behaviour.processingTime = work * (0.8 + 0.4 * m_random.uniform()) + rest;
        }
    }

    [[nodiscard]] double sumOf(std::size_t first, const std::function<double(const answer_action &)> &field) const
    {
        const double sum =
            std::accumulate(m_exchanges.begin() + static_cast<std::ptrdiff_t>(first),
                            m_exchanges.end(),
                            0.0,
                            [&](double before, exchange_id id) { return before + field(m_world.answerOf(id).answer); });
        return sum / static_cast<double>((m_exchanges.size() - first) * shards);
    }

    gateway_world m_world;
    seeded_random m_random {9};
    std::map<std::string, millis> m_pauseAt;
    std::vector<exchange_id> m_exchanges;
};

/** A VM that delegates lookups to a helper whose reports the test makes up. */
class reporting_world
{
public:
    explicit reporting_world(std::size_t leafsPerShard)
        : m_engine(zoneSettings(), 1)
    {
        gateway_config config;
        config.version = 1;
        config.routes = {quickRoute(shards)};
        for (const service_name &shard : config.routes.front().shards) {
            config.services.push_back({shard, 100});
            for (std::size_t at = 0; at < leafsPerShard; ++at) {
                addLeaf(shard, "there");
            }
        }
        m_engine.applyConfig(std::move(config));
        m_engine.setHelpers({{"helper0", {"there"}, 0}, {"helper1", {"there"}, 1}}, 0);
    }

    /** @return the work of a new lookup that the helper gets. */
    delegate_action lookUp()
    {
        delegations.clear();
        const std::string id = "q" + std::to_string(m_lookups++);
        m_engine.arrive({id, "h", "/all/" + id, millis(600), {}, fingerprintOf({"caller", "h", "GET", id, ""})}, now);
        takeActions();
        BOOST_REQUIRE(!delegations.empty());
        return delegations.front();
    }

    void advanceBy(millis time)
    {
        const millis end = now + time;
        for (; now < end; now = now + millis(1)) {
            m_engine.advance(now);
            takeActions();
        }
    }

    void report(const delegate_action &work, delegated_progress progress)
    {
        m_engine.onProgress(work.id, std::move(progress), now);
        takeActions();
    }

    void answer(const delegate_action &work)
    {
        delegated_progress progress;
        for (std::uint32_t at = 0; at < work.work.shards.size(); ++at) {
            progress.parts.push_back({at, "digest"});
        }
        progress.last = true;
        report(work, std::move(progress));
    }

    /** Reports the first leaf of the first shard as silent, in a message that is @p late. */
    delegate_action reportSilence(millis late = millis())
    {
        constexpr millis linkDelay(2);
        delegate_action work = lookUp();
        advanceBy(work.work.firstReportIn + linkDelay);
        if (late > millis()) {
            report(work, {}); // so that the helper itself does not count as silent
            advanceBy(late);
        }
        delegated_progress progress;
        progress.pending.push_back({0, silentLeaf});
        report(work, std::move(progress));
        return work;
    }

    static bool lists(const delegate_action &work, const std::string &leafId)
    {
        return std::ranges::find(work.work.triedLeafs, leafId) != work.work.triedLeafs.end();
    }

    [[nodiscard]] std::size_t pausedLeafs() const
    {
        return m_engine.pausedLeafs(now);
    }

    const std::string silentLeaf = gateway_world::shardName(0) + "-0";
    millis now {10000};
    std::vector<delegate_action> delegations;
    std::vector<send_action> sends;

private:
    static gateway_settings zoneSettings()
    {
        gateway_settings settings = settingsWith(true);
        settings.zone = {"here"};
        settings.retrySlack = 1000;
        return settings;
    }

    void addLeaf(const service_name &shard, const std::string &zone)
    {
        leaf_entry entry;
        entry.id = shard.value + "-" + std::to_string(m_leafsOf[shard.value]++);
        entry.service = shard;
        entry.zone = {zone};
        entry.slots = 2;
        m_engine.leafs().put(entry, now);
    }

    void takeActions()
    {
        for (gateway_action &action : m_engine.takeActions()) {
            if (auto *work = std::get_if<delegate_action>(&action)) {
                delegations.push_back(std::move(*work));
            } else if (auto *sent = std::get_if<send_action>(&action)) {
                sends.push_back(std::move(*sent));
            }
        }
    }

    gateway_engine m_engine;
    std::map<std::string, unsigned> m_leafsOf;
    unsigned m_lookups = 0;
};

constexpr millis longerThanPause(150);

} // namespace

// Guards against hedges that are sent too late for the second answer.
BOOST_AUTO_TEST_CASE(lookups_at_pausing_leafs_miss_fewer_parts_within_the_budget)
{
    constexpr std::size_t lookups = 400;
    constexpr std::size_t learning = 100;
    constexpr double maxHedgedShare = 0.12;
    pausing_world before(false);
    pausing_world after(true);
    before.runLookups(lookups);
    after.runLookups(lookups);
    BOOST_TEST_MESSAGE("missing " << before.missingShare(learning) << " -> " << after.missingShare(learning)
                                  << ", hedged " << before.hedgedShare(learning) << " -> "
                                  << after.hedgedShare(learning));
    BOOST_CHECK_LT(after.missingShare(learning) * 2, before.missingShare(learning));
    BOOST_CHECK_LE(after.hedgedShare(learning), maxHedgedShare);
}

// Guards against a leaf that is slower at all times but gets as many requests as the others of its service.
BOOST_AUTO_TEST_CASE(a_slower_leaf_gets_fewer_requests)
{
    constexpr unsigned requests = 200;
    const auto requestsAtSlowLeaf = [](bool hedging) {
        gateway_world world(settingsWith(hedging));
        world.addLeaf("single", {.processingTime = millis(50)});
        const std::string slow = world.addLeaf("single", {.processingTime = millis(65)});
        world.publish({gateway_world::singleRoute(true)});
        for (unsigned at = 0; at < requests; ++at) {
            world.submit("/one/" + std::to_string(at));
            world.runFor(millis(2500)); // the short-term slowness is forgotten
        }
        return std::ranges::count_if(world.runs, [&](const auto &one) { return one.leafId == slow; });
    };
    const auto before = requestsAtSlowLeaf(false);
    const auto after = requestsAtSlowLeaf(true);
    BOOST_TEST_MESSAGE("requests at the slower leaf: " << before << " -> " << after);
    BOOST_CHECK_LT(after * 2, before);
}

BOOST_AUTO_TEST_CASE(without_samples_the_usual_delay_applies)
{
    reporting_world world(2);
    const route_latency unknown(quickObjective);
    BOOST_CHECK(world.lookUp().work.firstReportIn == unknown.hedgeDelay());
}

BOOST_AUTO_TEST_CASE(a_leaf_reported_as_silent_is_avoided_by_later_work)
{
    reporting_world world(2);
    world.reportSilence();
    BOOST_CHECK_EQUAL(world.pausedLeafs(), 1U);
    const delegate_action next = world.lookUp();
    BOOST_CHECK(reporting_world::lists(next, world.silentLeaf));
    world.answer(next);
    world.advanceBy(longerThanPause);
    BOOST_CHECK_EQUAL(world.pausedLeafs(), 0U);
    BOOST_CHECK(!reporting_world::lists(world.lookUp(), world.silentLeaf));
}

BOOST_AUTO_TEST_CASE(an_answer_of_the_leaf_ends_its_pause)
{
    reporting_world world(2);
    const delegate_action work = world.reportSilence();
    delegated_progress answered;
    answered.parts.push_back({0, "digest"});
    answered.records = std::string(recordBytes, 'r');
    world.report(work, std::move(answered));
    BOOST_CHECK_EQUAL(world.pausedLeafs(), 0U);
    BOOST_CHECK(!reporting_world::lists(world.lookUp(), world.silentLeaf));
}

// Guards against a report from a stalled VM that keeps requests away from a leaf whose pause is over.
BOOST_AUTO_TEST_CASE(an_old_report_of_a_pause_has_no_effect)
{
    reporting_world world(2);
    world.reportSilence(longerThanPause);
    BOOST_CHECK_EQUAL(world.pausedLeafs(), 0U);
    BOOST_CHECK(!reporting_world::lists(world.lookUp(), world.silentLeaf));
}

BOOST_AUTO_TEST_CASE(the_last_leaf_of_a_shard_is_never_excluded)
{
    reporting_world world(1);
    world.reportSilence();
    BOOST_CHECK_EQUAL(world.pausedLeafs(), 1U);
    const delegate_action next = world.lookUp();
    BOOST_CHECK(!reporting_world::lists(next, world.silentLeaf));
    BOOST_CHECK_EQUAL(next.work.shards.size(), shards);
}

// Guards against a listed leaf that uses up an attempt of the call although it was not asked.
BOOST_AUTO_TEST_CASE(a_listed_leaf_does_not_count_as_an_attempt)
{
    gateway_world helper;
    const std::string only = helper.addLeaf(gateway_world::shardName(0));
    helper.publish({quickRoute(1)});
    delegated_work work;
    work.route = "all";
    work.shards = {{gateway_world::shardName(0)}};
    work.objective = quickObjective;
    work.firstReportIn = millis(10);
    work.cutoffIn = millis(25);
    work.limitIn = millis(500);
    work.triedLeafs = {only};
    helper.engine.acceptDelegatedWork("q", work, helper.now);
    const std::vector<gateway_action> actions = helper.engine.takeActions();
    const auto *reported = std::get_if<progress_action>(&actions.front());
    BOOST_REQUIRE(reported != nullptr);
    BOOST_REQUIRE_EQUAL(reported->progress.lost.size(), 1U);
    BOOST_CHECK(!reported->progress.lost.front().mayHaveRun);

    reporting_world world(1);
    const delegate_action asked = world.lookUp();
    delegated_progress lost;
    lost.lost = reported->progress.lost;
    world.report(asked, std::move(lost));
    BOOST_REQUIRE_EQUAL(world.sends.size(), 1U);
    BOOST_CHECK_EQUAL(world.sends.front().to->entry.id, world.silentLeaf);
}

// Guards against a slow VM that reports most of its leafs as silent because a faster VM set the time of the report.
BOOST_AUTO_TEST_CASE(a_slow_helper_reports_silence_later_than_asked)
{
    gateway_world helper(settingsWith(true));
    helper.addLeaf(gateway_world::shardName(0), {.processingTime = millis(20)});
    helper.publish({quickRoute(1)});
    for (unsigned at = 0; at < 100; ++at) {
        helper.submit("/all/" + std::to_string(at));
        helper.runFor(millis(60));
    }
    delegated_work work;
    work.route = "all";
    work.shards = {{gateway_world::shardName(0)}};
    work.objective = quickObjective;
    work.firstReportIn = millis(8);
    work.cutoffIn = millis(25);
    work.limitIn = millis(500);
    helper.engine.acceptDelegatedWork("q", work, helper.now);
    const auto pendingAfter = [&](millis time) {
        helper.engine.advance(helper.now + time);
        std::size_t pending = 0;
        std::size_t reports = 0;
        for (const gateway_action &action : helper.engine.takeActions()) {
            if (const auto *report = std::get_if<progress_action>(&action)) {
                pending += report->progress.pending.size();
                reports += 1;
            }
        }
        BOOST_CHECK_EQUAL(reports, 1U);
        return pending;
    };
    BOOST_CHECK_EQUAL(pendingAfter(work.firstReportIn), 0U);
    BOOST_CHECK_EQUAL(pendingAfter(work.cutoffIn), 1U);
}

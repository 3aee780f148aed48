#define BOOST_TEST_MODULE helper_links
#include <boost/test/included/unit_test.hpp>

#include "helper_links.h"

#include <chrono>
#include <functional>

using namespace chivelock;
using boost::asio::ip::tcp;
using namespace std::chrono_literals;

namespace {

const std::string delegatorAddress = "127.0.6.1";
const std::string helperAddress = "127.0.6.2";
const zone_name zone {"z"};
constexpr delegation_id firstWork = 1;
constexpr delegation_id secondWork = 2;
constexpr millis longTime(60000);
constexpr auto settlingTime = 500ms; // the links check for changes each 200 ms

std::uint16_t freePort(boost::asio::io_context &reactor)
{
    const tcp::acceptor acceptor(reactor, tcp::endpoint(boost::asio::ip::make_address(helperAddress), 0));
    return acceptor.local_endpoint().port();
}

/** Records what a VM is told of its links. */
class recording_listener : public helper_listener
{
public:
    void onHelpersChanged(std::vector<helper_vm> helpers, std::size_t /*ownRank*/) override
    {
        openHelpers = helpers.size();
    }

    void onHelperLost(const std::string & /*address*/) override
    {
        ++lostHelpers;
    }

    void onProgress(delegation_id id, delegated_progress /*progress*/) override
    {
        reported.push_back(id);
    }

    void onHelperLoad(const std::string & /*address*/, const vm_load & /*load*/) override
    {
    }

    void onDelegatorLinked(link_id /*from*/) override
    {
    }

    void onDelegatedRequest(link_id from, delegate_request request) override
    {
        delegator = from;
        received.push_back(request.id);
    }

    void onDelegatedCancel(link_id /*from*/, const delegate_cancel &cancel) override
    {
        cancelled.push_back(cancel.id);
    }

    void onDelegatorLost(link_id /*from*/) override
    {
        ++lostDelegators;
    }

    std::size_t openHelpers = 0;
    std::size_t lostHelpers = 0;
    std::size_t lostDelegators = 0;
    link_id delegator = 0;
    std::vector<delegation_id> received;
    std::vector<delegation_id> cancelled;
    std::vector<delegation_id> reported;
};

/** A VM that delegates work and one that does it, on one reactor. */
struct linked_vms {
    linked_vms()
        : port(freePort(reactor))
        , traffic(zone)
        , delegator(reactor, {delegatorAddress, port, zone}, traffic, atDelegator)
        , helper(reactor, {helperAddress, port, zone}, traffic, atHelper)
    {
        BOOST_REQUIRE(!delegator.start());
        BOOST_REQUIRE(!helper.start());
        setMembers({delegatorAddress, helperAddress});
        BOOST_REQUIRE(runUntil([this] { return atDelegator.openHelpers == 1; }));
    }

    void setMembers(const std::vector<std::string> &hosts)
    {
        std::vector<fleet_member> members;
        std::ranges::transform(hosts, std::back_inserter(members), [this](const std::string &host) {
            return fleet_member {host + ":" + std::to_string(port + 1), zone};
        });
        delegator.setMembers(members);
    }

    void delegate(delegation_id id, millis limit = longTime)
    {
        delegate_request request;
        request.id = id;
        request.work.limitIn = limit;
        BOOST_REQUIRE(delegator.delegate(helperAddress + ":" + std::to_string(port), request));
        BOOST_REQUIRE(runUntil([&] { return std::ranges::count(atHelper.received, id) > 0; }));
    }

    void report(delegation_id id)
    {
        delegate_progress progress;
        progress.id = id;
        progress.progress.last = true;
        helper.sendProgress(atHelper.delegator, progress);
        runFor(settlingTime);
    }

    void removeHelperFromMembers()
    {
        setMembers({delegatorAddress});
        runFor(settlingTime);
    }

    void runFor(std::chrono::milliseconds time)
    {
        reactor.restart();
        reactor.run_for(time);
    }

    [[nodiscard]] bool runUntil(const std::function<bool()> &condition)
    {
        constexpr int maxSteps = 500;
        for (int step = 0; step < maxSteps && !condition(); ++step) {
            runFor(10ms);
        }
        return condition();
    }

    boost::asio::io_context reactor;
    std::uint16_t port;
    peer_traffic traffic;
    recording_listener atDelegator;
    recording_listener atHelper;
    helper_links delegator;
    helper_links helper;
};

} // namespace

// Guards against losing the results of work in progress at a VM that leaves the list of members.
BOOST_AUTO_TEST_CASE(work_in_progress_is_reported_after_its_helper_has_left_the_members)
{
    linked_vms vms;
    vms.delegate(firstWork);
    vms.delegate(secondWork);
    vms.removeHelperFromMembers();
    BOOST_TEST(vms.atDelegator.openHelpers == 0U); // gets no new work
    BOOST_TEST(vms.atDelegator.lostHelpers == 0U);
    BOOST_TEST(vms.atHelper.lostDelegators == 0U);
    vms.report(firstWork);
    BOOST_TEST(vms.atHelper.lostDelegators == 0U);
    vms.report(secondWork);
    BOOST_TEST(vms.atDelegator.reported == std::vector<delegation_id>({firstWork, secondWork}),
               boost::test_tools::per_element());
    BOOST_TEST(vms.atHelper.lostDelegators == 1U);
}

BOOST_AUTO_TEST_CASE(link_without_work_is_closed_when_its_helper_leaves_the_members)
{
    linked_vms vms;
    vms.removeHelperFromMembers();
    BOOST_TEST(vms.atHelper.lostDelegators == 1U);
}

// Guards against work that nobody can cancel because its helper has left the list of members.
BOOST_AUTO_TEST_CASE(work_is_cancelled_after_its_helper_has_left_the_members)
{
    linked_vms vms;
    vms.delegate(firstWork);
    vms.removeHelperFromMembers();
    vms.delegator.cancel(helperAddress + ":" + std::to_string(vms.port), {firstWork, true, false});
    vms.runFor(settlingTime);
    BOOST_TEST(vms.atHelper.cancelled == std::vector<delegation_id>({firstWork}), boost::test_tools::per_element());
    BOOST_TEST(vms.atHelper.lostDelegators == 1U);
}

// Guards against links that stay open for work whose results nobody needs any more.
BOOST_AUTO_TEST_CASE(link_to_a_helper_that_has_left_is_closed_when_the_time_of_its_work_is_over)
{
    linked_vms vms;
    constexpr millis limit(300);
    vms.delegate(firstWork, limit);
    vms.removeHelperFromMembers();
    vms.runFor(settlingTime);
    BOOST_TEST(vms.atDelegator.lostHelpers == 1U);
    BOOST_TEST(vms.atHelper.lostDelegators == 1U);
}

BOOST_AUTO_TEST_CASE(link_with_work_is_used_again_when_its_helper_returns)
{
    linked_vms vms;
    vms.delegate(firstWork);
    vms.removeHelperFromMembers();
    vms.setMembers({delegatorAddress, helperAddress});
    vms.runFor(settlingTime);
    BOOST_TEST(vms.atDelegator.openHelpers == 1U);
    vms.report(firstWork);
    vms.delegate(secondWork);
    BOOST_TEST(vms.atHelper.lostDelegators == 0U);
}

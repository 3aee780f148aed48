#define BOOST_TEST_MODULE entry
#include <boost/test/included/unit_test.hpp>

#include <fakes/documents.h>
#include <fakes/fake_fleet.h>
#include <fakes/promises.h>

using namespace chivelock;
using namespace chivelock::fakes;

namespace {

constexpr millis settled {1500};

fleet_options threeEntries()
{
    fleet_options options;
    options.topology = topologyText(1, {{"search", 4, 2, 2, 1, 1}, {"desk", 2, 2, 2, 1, 1}});
    options.vms = vmListText(1, 3);
    options.catalogue = catalogueText(1);
    options.throughCodec = true;
    return options;
}

struct settled_fleet {
    explicit settled_fleet(const fleet_options &options = threeEntries())
        : fleet(options)
    {
        run(settled);
    }

    void run(millis duration)
    {
        fleet.time().runUntil(fleet.time().now() + duration);
    }

    std::size_t ask(std::size_t entry, const std::string &kind, const std::string &ticket = "")
    {
        lookup_request request;
        request.requestId = "r" + std::to_string(fleet.callers().size());
        request.kind = {kind};
        request.shardKey = "key";
        request.body = kind == "claim" ? "claim" : "body-" + request.requestId;
        request.remaining = millis(400);
        request.ticket = ticket;
        return fleet.ask(entry, request);
    }

    [[nodiscard]] const lookup_answer &answer(std::size_t caller)
    {
        BOOST_REQUIRE(fleet.callers().at(caller).answers.size() == 1);
        return fleet.callers().at(caller).answers.front();
    }

    std::uint64_t revision(std::size_t entry)
    {
        return fleet.core(entry).catalogue().current()->revision;
    }

    fake_fleet fleet;
};

} // namespace

BOOST_AUTO_TEST_CASE(lookup_through_three_entries_gets_a_complete_answer)
{
    settled_fleet test;
    const std::size_t caller = test.ask(0, "whole");
    test.run(millis(100));
    BOOST_TEST((test.answer(caller).outcome == lookup_outcome::Whole));
    BOOST_TEST(checkPromises(test.fleet).empty());
}

// Guards against an accepted change staying in force on a single entry: the platform goes down right after the first
// entry has read the change, so that the other entries must receive it from their peers.
BOOST_AUTO_TEST_CASE(catalogue_change_spreads_through_peers_while_the_platform_is_down)
{
    settled_fleet test;
    test.fleet.publish(platform_name::Catalogue, catalogueText(2, 50));
    test.run(millis(3)); // The first entry reads after 2 ms, the second after 4 ms.
    test.fleet.setPlatformUp(false);
    BOOST_TEST(test.revision(0) == 2);
    BOOST_TEST(test.revision(1) == 1);
    test.run(millis(2000));
    BOOST_TEST(test.revision(1) == 2);
    BOOST_TEST(test.revision(2) == 2);
}

// Guards against a new VM that answers from an old catalogue: it starts while the platform serves an old catalogue and
// its peers hold a newer one, so that it must not report ready before it has contacted them.
BOOST_AUTO_TEST_CASE(new_vm_pulls_newer_catalogue_from_peers_before_it_is_ready)
{
    settled_fleet test;
    test.fleet.publish(platform_name::Catalogue, catalogueText(2, 50));
    test.run(millis(100));
    test.fleet.publish(platform_name::Catalogue, catalogueText(1));
    test.fleet.killEntry(2);
    test.fleet.startEntry(2);
    bool readyWithOldCatalogue = false;
    for (int round = 0; round < 300; ++round) {
        test.run(millis(10));
        const entry_status status = test.fleet.core(2).status(test.fleet.time().now());
        readyWithOldCatalogue =
            readyWithOldCatalogue || (status.ready == readiness::Ready && status.catalogueRevision < 2);
    }
    BOOST_TEST(!readyWithOldCatalogue);
    BOOST_TEST(test.revision(2) == 2);
    BOOST_TEST((test.fleet.core(2).status(test.fleet.time().now()).ready == readiness::Ready));
}

// Guards against reporting "not run" for a claim that ran: the issuer of the ticket runs the claim and restarts, and
// the caller uses the same ticket at another entry. The lost record of the issuer must not count as proof.
BOOST_AUTO_TEST_CASE(ticket_of_a_restarted_issuer_is_answered_unknown_and_does_not_run_again)
{
    settled_fleet test;
    const std::size_t first = test.ask(0, "claim");
    test.run(millis(10));
    const std::string ticket = test.answer(first).ticket;
    BOOST_REQUIRE(!ticket.empty());
    test.ask(0, "claim", ticket);
    test.run(millis(2));
    test.fleet.killEntry(0);
    test.run(millis(100));
    const std::size_t elsewhere = test.ask(1, "claim", ticket);
    test.fleet.startEntry(0);
    test.run(millis(2000));
    const std::size_t same = test.ask(0, "claim", ticket);
    test.run(millis(600));
    BOOST_TEST((test.answer(elsewhere).outcome == lookup_outcome::Unknown));
    BOOST_TEST((test.answer(same).outcome == lookup_outcome::Unknown));
    BOOST_TEST(test.fleet.ledger().at("claim").size() == 1);
}

// Guards against reporting "not run" for a ticket that has been used: a second request with the ticket expires during a
// process pause of another entry. Refusing that request proves nothing about the first use of the ticket.
BOOST_AUTO_TEST_CASE(refusal_of_an_expired_request_leaves_the_outcome_of_its_ticket_unknown)
{
    settled_fleet test;
    const std::size_t first = test.ask(0, "claim");
    test.run(millis(10));
    const std::string ticket = test.answer(first).ticket;
    test.ask(0, "claim", ticket);
    test.run(millis(50));
    test.fleet.freezeEntry(1);
    const std::size_t late = test.ask(1, "claim", ticket);
    test.run(millis(1000));
    test.fleet.wakeEntry(1);
    test.run(millis(10));
    BOOST_TEST((test.answer(late).outcome == lookup_outcome::Unknown));
    BOOST_TEST(checkPromises(test.fleet).empty());
}

BOOST_AUTO_TEST_CASE(planned_stop_finishes_running_lookups_and_issues_no_ticket)
{
    settled_fleet test;
    const std::size_t before = test.ask(1, "whole");
    test.fleet.stopEntry(1);
    const std::size_t during = test.ask(1, "whole");
    const std::size_t ticket = test.ask(1, "claim");
    test.run(millis(100));
    BOOST_TEST((test.answer(before).outcome == lookup_outcome::Whole));
    BOOST_TEST((test.answer(during).outcome == lookup_outcome::Whole));
    BOOST_TEST((test.answer(ticket).reason == answer_reason::Stopping));
    BOOST_TEST(!test.fleet.core(0).members().isRunner({2}));
    test.run(millis(3000));
    BOOST_TEST(test.fleet.hasEnded(1));
}

BOOST_AUTO_TEST_CASE(both_sides_of_a_partition_keep_giving_complete_answers)
{
    settled_fleet test;
    for (std::size_t other = 1; other < 3; ++other) {
        test.fleet.cut(0, other, true);
        test.fleet.cut(other, 0, true);
    }
    test.run(millis(200));
    std::vector<std::size_t> callers;
    for (int round = 0; round < 20; ++round) {
        callers.push_back(test.ask(static_cast<std::size_t>(round) % 3, "whole"));
        test.run(millis(30));
    }
    test.run(millis(500));
    for (const std::size_t caller : callers) {
        BOOST_TEST((test.answer(caller).outcome == lookup_outcome::Whole));
    }
    BOOST_TEST(checkPromises(test.fleet).empty());
}

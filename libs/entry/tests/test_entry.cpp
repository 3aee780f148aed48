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

BOOST_AUTO_TEST_CASE(lookup_through_three_entries_is_whole)
{
    settled_fleet test;
    const std::size_t caller = test.ask(0, "whole");
    test.run(millis(100));
    BOOST_TEST((test.answer(caller).outcome == lookup_outcome::Whole));
    BOOST_TEST(checkPromises(test.fleet).empty());
}

// Symptom: an accepted change is in force on one entry only while the platform is down.
// Sequence: the platform goes down right after the first reader saw the change.
// Cause: learning changes from the platform only.
BOOST_AUTO_TEST_CASE(change_spreads_by_peers_while_the_platform_is_down)
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

// Symptom: a fresh VM answers by an old catalogue.
// Sequence: it starts while the platform serves a stale one, and peers hold a newer one.
// Cause: saying ready before asking peers.
BOOST_AUTO_TEST_CASE(fresh_vm_asks_peers_before_it_is_ready)
{
    settled_fleet test;
    test.fleet.publish(platform_name::Catalogue, catalogueText(2, 50));
    test.run(millis(100));
    test.fleet.publish(platform_name::Catalogue, catalogueText(1));
    test.fleet.killEntry(2);
    test.fleet.startEntry(2);
    bool readyBehind = false;
    for (int round = 0; round < 300; ++round) {
        test.run(millis(10));
        const entry_status status = test.fleet.core(2).status(test.fleet.time().now());
        readyBehind = readyBehind || (status.ready == readiness::Ready && status.catalogueRevision < 2);
    }
    BOOST_TEST(!readyBehind);
    BOOST_TEST(test.revision(2) == 2);
    BOOST_TEST((test.fleet.core(2).status(test.fleet.time().now()).ready == readiness::Ready));
}

// Symptom: "not run" is said of a claim that ran.
// Sequence: the issuer runs it and restarts; the caller asks another entry with the same ticket.
// Cause: taking the missing memory for proof.
BOOST_AUTO_TEST_CASE(ticket_of_a_restarted_issuer_is_unknown_and_runs_nowhere)
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

// Symptom: "not run" is said at the door to a caller whose ticket had been used.
// Sequence: a ticketed request waits in a process that sleeps past its limit; the ticket was used before.
// Cause: a refusal at the door spoke for the ticket. Found by the fault matrix.
BOOST_AUTO_TEST_CASE(refusal_at_the_door_does_not_speak_for_a_ticket)
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

BOOST_AUTO_TEST_CASE(planned_stop_finishes_what_runs_and_issues_no_ticket)
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

BOOST_AUTO_TEST_CASE(both_sides_of_a_partition_go_on_answering_wholly)
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

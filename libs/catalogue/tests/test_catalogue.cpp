#define BOOST_TEST_MODULE catalogue
#include <boost/test/included/unit_test.hpp>

#include <catalogue/catalogue.h>

using namespace chivelock;

namespace {

std::string kindText(const std::string &name, int softLimit = 100, const std::string &more = "")
{
    return R"({"name":")" + name
        + R"(","owner":"team","class":"urgent","service":"s","fan_out":"all","repeatable":true,"soft_limit_ms":)"
        + std::to_string(softLimit) + R"(,"hard_limit_ms":400,"max_in_flight":10,"max_per_second":10)" + more + "}";
}

std::string publication(int revision, const std::string &kinds)
{
    return R"({"revision":)" + std::to_string(revision) + R"(,"kinds":[)" + kinds + "]}";
}

} // namespace

BOOST_AUTO_TEST_CASE(written_document_reads_back_the_same)
{
    const auto read = readCatalogue(publication(3, kindText("b") + "," + kindText("a", 50)));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->kinds.front().name.value == "a");
    const auto again = readCatalogue(writeCatalogue(*read));
    BOOST_REQUIRE(again.has_value());
    BOOST_TEST((again->kinds == read->kinds));
    BOOST_TEST(contentDigest(*again) == contentDigest(*read));
}

BOOST_AUTO_TEST_CASE(rules_across_fields_are_checked)
{
    BOOST_TEST(!readCatalogue(publication(1, kindText("a") + "," + kindText("a"))).has_value());
    BOOST_TEST(!readCatalogue(publication(1, kindText("a", 500))).has_value());
    BOOST_TEST(
        !readCatalogue(publication(1, kindText("a", 100, R"(,"whole_only":true,"min_coverage":0.5)"))).has_value());
    std::string unrepeatable = kindText("a");
    unrepeatable.replace(unrepeatable.find("true"), 4, "false");
    BOOST_TEST(!readCatalogue(publication(1, unrepeatable)).has_value());
}

// Symptom: an accepted change disappears on one entry.
// Sequence: the platform serves an old publication after a newer one was in force.
// Cause: taking whatever was read last.
BOOST_AUTO_TEST_CASE(lower_revision_is_refused_and_audited)
{
    catalogue_store store;
    BOOST_TEST((store.offer(publication(5, kindText("a")), "platform", millis(1)) == offer_verdict::Accepted));
    BOOST_TEST((store.offer(publication(4, kindText("b")), "platform", millis(2)) == offer_verdict::RefusedOlder));
    BOOST_TEST(store.current()->revision == 5);
    BOOST_TEST((store.audit().back().verdict == offer_verdict::RefusedOlder));
    BOOST_TEST(!store.standingRefusal().empty());
}

// Symptom: two entries in force with the same revision answer differently.
// Sequence: two operators publish different content under one revision.
// Cause: comparing revisions only.
BOOST_AUTO_TEST_CASE(same_revision_with_other_content_is_a_fault)
{
    catalogue_store store;
    BOOST_TEST((store.offer(publication(5, kindText("a")), "platform", millis(1)) == offer_verdict::Accepted));
    BOOST_TEST((store.offer(publication(5, kindText("a")), "vm-2", millis(2)) == offer_verdict::AlreadyInForce));
    BOOST_TEST((store.offer(publication(5, kindText("b")), "platform", millis(3)) == offer_verdict::RefusedConflict));
    BOOST_TEST(store.current()->find({"a"}) != nullptr);
}

BOOST_AUTO_TEST_CASE(refused_publication_leaves_the_last_one_in_force_and_a_good_one_clears_the_refusal)
{
    catalogue_store store;
    BOOST_TEST((store.offer(publication(5, kindText("a")), "platform", millis(1)) == offer_verdict::Accepted));
    BOOST_TEST((store.offer("{}", "platform", millis(2)) == offer_verdict::RefusedInvalid));
    BOOST_TEST((store.offer("{}", "platform", millis(3)) == offer_verdict::RefusedInvalid));
    BOOST_TEST(store.current()->revision == 5);
    const auto refusals = std::ranges::count(store.audit(), offer_verdict::RefusedInvalid, &audit_entry::verdict);
    BOOST_TEST(refusals == 1);
    BOOST_TEST((store.offer(publication(6, kindText("a", 90)), "platform", millis(4)) == offer_verdict::Accepted));
    BOOST_TEST(store.standingRefusal().empty());
}

BOOST_AUTO_TEST_CASE(audit_tells_kind_owner_old_and_new_value)
{
    catalogue_store store;
    (void)store.offer(publication(1, kindText("a")), "platform", millis(1));
    (void)store.offer(publication(2, kindText("a", 90)), "vm-3", millis(2));
    const audit_entry &line = store.audit().back();
    BOOST_TEST(line.kind == "a");
    BOOST_TEST(line.owner == "team");
    BOOST_TEST(line.source == "vm-3");
    BOOST_TEST(line.oldValue.find("\"soft_limit_ms\":100") != std::string::npos);
    BOOST_TEST(line.newValue.find("\"soft_limit_ms\":90") != std::string::npos);
}

// Symptom: every change costs the whole catalogue on the wire, though deltas are sent.
// Sequence: a delta's digest has its highest bit set; the receiver's schema check takes it for a negative number.
// Cause: a 64-bit digest written as a JSON number. Found by this test.
BOOST_AUTO_TEST_CASE(delta_with_any_digest_is_read)
{
    for (const std::uint64_t digest : {std::uint64_t {0}, std::uint64_t {1} << 63U, ~std::uint64_t {0}}) {
        const auto read = readDelta(writeDelta({1, 2, digest, {}, {}}));
        BOOST_REQUIRE(read.has_value());
        BOOST_TEST(read->digest == digest);
    }
}

BOOST_AUTO_TEST_CASE(delta_brings_a_peer_to_the_same_content)
{
    catalogue_store ahead;
    catalogue_store behind;
    (void)ahead.offer(publication(1, kindText("a") + "," + kindText("b")), "platform", millis(1));
    (void)behind.offer(publication(1, kindText("a") + "," + kindText("b")), "platform", millis(1));
    (void)ahead.offer(publication(2, kindText("a", 90) + "," + kindText("b")), "platform", millis(2));
    (void)ahead.offer(publication(4, kindText("a", 90) + "," + kindText("c")), "platform", millis(3));
    const auto delta = ahead.deltaSince(1);
    BOOST_REQUIRE(delta.has_value());
    BOOST_TEST(delta->changed.size() == 2);
    BOOST_TEST(delta->removed.size() == 1);
    const auto sent = readDelta(writeDelta(*delta));
    BOOST_REQUIRE(sent.has_value());
    BOOST_TEST((behind.offerDelta(*sent, "vm-1", millis(4)) == offer_verdict::Accepted));
    BOOST_TEST(contentDigest(*behind.current()) == contentDigest(*ahead.current()));
}

// Symptom: an entry holds a mixture that no operator ever published.
// Sequence: it is at revision 3, which the peer never saw; the peer went from 2 to 4 and sends only what it saw change.
// Cause: applying a delta on another base without checking the result.
BOOST_AUTO_TEST_CASE(delta_on_another_base_is_refused)
{
    catalogue_store ahead;
    catalogue_store behind;
    (void)ahead.offer(publication(2, kindText("a") + "," + kindText("b")), "platform", millis(1));
    (void)ahead.offer(publication(4, kindText("a") + "," + kindText("b", 50)), "platform", millis(2));
    (void)behind.offer(publication(3, kindText("a", 70) + "," + kindText("b")), "platform", millis(1));
    const auto delta = ahead.deltaSince(3);
    BOOST_REQUIRE(delta.has_value());
    BOOST_TEST((behind.offerDelta(*delta, "vm-1", millis(3)) == offer_verdict::RefusedDelta));
    BOOST_TEST(behind.current()->revision == 3);
}

#define BOOST_TEST_MODULE catalogue
#include <boost/test/included/unit_test.hpp>

#include <catalogue/catalogue.h>

using namespace chivelock;

namespace {

std::string kindJson(const std::string &name, int softLimit = 100, const std::string &extraFields = "")
{
    return R"({"name":")" + name
        + R"(","owner":"team","class":"urgent","service":"s","fan_out":"all","repeatable":true,"soft_limit_ms":)"
        + std::to_string(softLimit) + R"(,"hard_limit_ms":400,"max_in_flight":10,"max_per_second":10)" + extraFields
        + "}";
}

std::string publicationJson(int revision, const std::string &kinds)
{
    return R"({"revision":)" + std::to_string(revision) + R"(,"kinds":[)" + kinds + "]}";
}

} // namespace

BOOST_AUTO_TEST_CASE(serialized_document_parses_to_the_same_content)
{
    const auto read = readCatalogue(publicationJson(3, kindJson("b") + "," + kindJson("a", 50)));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->kinds.front().name.value == "a");
    const auto reread = readCatalogue(writeCatalogue(*read));
    BOOST_REQUIRE(reread.has_value());
    BOOST_TEST((reread->kinds == read->kinds));
    BOOST_TEST(contentDigest(*reread) == contentDigest(*read));
}

BOOST_AUTO_TEST_CASE(rules_across_fields_are_checked)
{
    BOOST_TEST(!readCatalogue(publicationJson(1, kindJson("a") + "," + kindJson("a"))).has_value());
    BOOST_TEST(!readCatalogue(publicationJson(1, kindJson("a", 500))).has_value());
    BOOST_TEST(
        !readCatalogue(publicationJson(1, kindJson("a", 100, R"(,"whole_only":true,"min_coverage":0.5)"))).has_value());
    std::string nonIdempotent = kindJson("a");
    nonIdempotent.replace(nonIdempotent.find("true"), 4, "false");
    BOOST_TEST(!readCatalogue(publicationJson(1, nonIdempotent)).has_value());
}

// Guards against the loss of an accepted change on one process. It happens if the store accepts the document read last,
// and the platform serves an old publication after a newer one came into force.
BOOST_AUTO_TEST_CASE(lower_revision_is_refused_and_audited)
{
    catalogue_store store;
    BOOST_TEST((store.offer(publicationJson(5, kindJson("a")), "platform", millis(1)) == offer_verdict::Accepted));
    BOOST_TEST((store.offer(publicationJson(4, kindJson("b")), "platform", millis(2)) == offer_verdict::RefusedOlder));
    BOOST_TEST(store.current()->revision == 5);
    BOOST_TEST((store.audit().back().verdict == offer_verdict::RefusedOlder));
    BOOST_TEST(!store.lastRefusal().empty());
}

// Guards against processes that have the same revision in force but answer differently. It happens if two operators
// publish different content under one revision and the store compares only revisions.
BOOST_AUTO_TEST_CASE(same_revision_with_different_content_is_refused)
{
    catalogue_store store;
    BOOST_TEST((store.offer(publicationJson(5, kindJson("a")), "platform", millis(1)) == offer_verdict::Accepted));
    BOOST_TEST((store.offer(publicationJson(5, kindJson("a")), "vm-2", millis(2)) == offer_verdict::AlreadyInForce));
    BOOST_TEST(
        (store.offer(publicationJson(5, kindJson("b")), "platform", millis(3)) == offer_verdict::RefusedConflict));
    BOOST_TEST(store.current()->find({"a"}) != nullptr);
}

BOOST_AUTO_TEST_CASE(refused_publication_keeps_the_last_one_in_force_and_an_accepted_one_clears_the_refusal)
{
    catalogue_store store;
    BOOST_TEST((store.offer(publicationJson(5, kindJson("a")), "platform", millis(1)) == offer_verdict::Accepted));
    BOOST_TEST((store.offer("{}", "platform", millis(2)) == offer_verdict::RefusedInvalid));
    BOOST_TEST((store.offer("{}", "platform", millis(3)) == offer_verdict::RefusedInvalid));
    BOOST_TEST(store.current()->revision == 5);
    const auto refusals = std::ranges::count(store.audit(), offer_verdict::RefusedInvalid, &audit_entry::verdict);
    BOOST_TEST(refusals == 1);
    BOOST_TEST((store.offer(publicationJson(6, kindJson("a", 90)), "platform", millis(4)) == offer_verdict::Accepted));
    BOOST_TEST(store.lastRefusal().empty());
}

BOOST_AUTO_TEST_CASE(audit_record_has_kind_owner_old_and_new_value)
{
    catalogue_store store;
    (void)store.offer(publicationJson(1, kindJson("a")), "platform", millis(1));
    (void)store.offer(publicationJson(2, kindJson("a", 90)), "vm-3", millis(2));
    const audit_entry &record = store.audit().back();
    BOOST_TEST(record.kind == "a");
    BOOST_TEST(record.owner == "team");
    BOOST_TEST(record.source == "vm-3");
    BOOST_TEST(record.oldValue.find("\"soft_limit_ms\":100") != std::string::npos);
    BOOST_TEST(record.newValue.find("\"soft_limit_ms\":90") != std::string::npos);
}

// Guards against a transfer of the full catalogue for each change although deltas are sent. It happens if the 64-bit
// digest is written as a JSON number: with its highest bit set, the receiver's schema check reads it as negative.
BOOST_AUTO_TEST_CASE(delta_with_any_64_bit_digest_is_read)
{
    for (const std::uint64_t digest : {std::uint64_t {0}, std::uint64_t {1} << 63U, ~std::uint64_t {0}}) {
        const auto read = readDelta(writeDelta({1, 2, digest, {}, {}}));
        BOOST_REQUIRE(read.has_value());
        BOOST_TEST(read->digest == digest);
    }
}

BOOST_AUTO_TEST_CASE(delta_updates_a_peer_to_the_same_content)
{
    catalogue_store ahead;
    catalogue_store behind;
    (void)ahead.offer(publicationJson(1, kindJson("a") + "," + kindJson("b")), "platform", millis(1));
    (void)behind.offer(publicationJson(1, kindJson("a") + "," + kindJson("b")), "platform", millis(1));
    (void)ahead.offer(publicationJson(2, kindJson("a", 90) + "," + kindJson("b")), "platform", millis(2));
    (void)ahead.offer(publicationJson(4, kindJson("a", 90) + "," + kindJson("c")), "platform", millis(3));
    const auto delta = ahead.deltaSince(1);
    BOOST_REQUIRE(delta.has_value());
    BOOST_TEST(delta->changed.size() == 2);
    BOOST_TEST(delta->removed.size() == 1);
    const auto sent = readDelta(writeDelta(*delta));
    BOOST_REQUIRE(sent.has_value());
    BOOST_TEST((behind.offerDelta(*sent, "vm-1", millis(4)) == offer_verdict::Accepted));
    BOOST_TEST(contentDigest(*behind.current()) == contentDigest(*ahead.current()));
}

// Guards against a mixed document that no operator published. It happens if a delta is applied to the wrong base
// without a check of the result: the receiver is at revision 3, while the sender went from 2 to 4 and sends only these
// changes.
BOOST_AUTO_TEST_CASE(delta_for_a_different_base_is_refused)
{
    catalogue_store ahead;
    catalogue_store behind;
    (void)ahead.offer(publicationJson(2, kindJson("a") + "," + kindJson("b")), "platform", millis(1));
    (void)ahead.offer(publicationJson(4, kindJson("a") + "," + kindJson("b", 50)), "platform", millis(2));
    (void)behind.offer(publicationJson(3, kindJson("a", 70) + "," + kindJson("b")), "platform", millis(1));
    const auto delta = ahead.deltaSince(3);
    BOOST_REQUIRE(delta.has_value());
    BOOST_TEST((behind.offerDelta(*delta, "vm-1", millis(3)) == offer_verdict::RefusedDelta));
    BOOST_TEST(behind.current()->revision == 3);
}

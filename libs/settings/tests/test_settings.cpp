#define BOOST_TEST_MODULE settings
#include <boost/test/included/unit_test.hpp>

#include <settings/settings.h>

using namespace chivelock;

namespace {

std::string textWith(const std::string &more)
{
    return R"({"vm":1,"zone":"lowell","listen":{"address":"127.0.0.1","http_port":1,"peer_port":2},"platform":{"url":"http://127.0.0.1:9"})"
        + more + "}";
}

} // namespace

BOOST_AUTO_TEST_CASE(what_is_not_said_keeps_its_default)
{
    const auto settings = readSettings(textWith(""));
    BOOST_REQUIRE(settings.has_value());
    const runner_settings defaults;
    BOOST_TEST(settings->entry.runner.hedgeBudget == defaults.hedgeBudget);
    BOOST_TEST(!settings->entry.root.direct);
    BOOST_TEST(settings->entry.self.value == 1);
}

BOOST_AUTO_TEST_CASE(what_is_said_is_taken)
{
    const auto settings = readSettings(
        textWith(R"(,"routing":{"mode":"direct"},"leafs":{"hedging":false},"stop":{"lame_duck_ms":5,"limit_ms":500})"));
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings->entry.root.direct);
    BOOST_TEST(!settings->entry.runner.hedging);
    BOOST_TEST(settings->entry.lameDuck.count() == 5);
}

BOOST_AUTO_TEST_CASE(unknown_keys_wrong_units_and_ranges_are_refused_with_their_path)
{
    const auto unknown = readSettings(textWith(R"(,"leafs":{"hedge":true})"));
    BOOST_REQUIRE(!unknown.has_value());
    BOOST_TEST(unknown.error().problems.front().path == "/leafs");
    const auto unit = readSettings(textWith(R"(,"stop":{"limit_ms":"10s"})"));
    BOOST_REQUIRE(!unit.has_value());
    BOOST_TEST(unit.error().problems.front().path == "/stop/limit_ms");
    BOOST_TEST(!readSettings(textWith(R"(,"leafs":{"fresh_bound_ms":60000})")).has_value());
    BOOST_TEST(!readSettings(textWith(R"(,"stop":{"lame_duck_ms":600,"limit_ms":500})")).has_value());
}

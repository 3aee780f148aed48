#define BOOST_TEST_MODULE settings
#include <boost/test/included/unit_test.hpp>

#include <settings/settings.h>

using namespace chivelock;

namespace {

std::string settingsWith(const std::string &extraKeys)
{
    return R"({"vm":1,"zone":"lowell","listen":{"address":"127.0.0.1","http_port":1,"peer_port":2},"platform":{"url":"http://127.0.0.1:9"})"
        + extraKeys + "}";
}

} // namespace

BOOST_AUTO_TEST_CASE(settings_missing_from_the_document_keep_their_defaults)
{
    const auto settings = readSettings(settingsWith(""));
    BOOST_REQUIRE(settings.has_value());
    const runner_settings defaults;
    BOOST_TEST(settings->entry.runner.hedgeBudget == defaults.hedgeBudget);
    BOOST_TEST(!settings->entry.root.direct);
    BOOST_TEST(settings->entry.self.value == 1);
}

BOOST_AUTO_TEST_CASE(settings_in_the_document_override_the_defaults)
{
    const auto settings = readSettings(settingsWith(
        R"(,"routing":{"mode":"direct"},"leafs":{"hedging":false},"stop":{"lame_duck_ms":5,"limit_ms":500})"));
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings->entry.root.direct);
    BOOST_TEST(!settings->entry.runner.hedging);
    BOOST_TEST(settings->entry.lameDuck.count() == 5);
}

BOOST_AUTO_TEST_CASE(unknown_keys_wrong_types_and_invalid_ranges_are_refused_with_their_path)
{
    const auto unknownKey = readSettings(settingsWith(R"(,"leafs":{"hedge":true})"));
    BOOST_REQUIRE(!unknownKey.has_value());
    BOOST_TEST(unknownKey.error().problems.front().path == "/leafs");
    const auto wrongType = readSettings(settingsWith(R"(,"stop":{"limit_ms":"10s"})"));
    BOOST_REQUIRE(!wrongType.has_value());
    BOOST_TEST(wrongType.error().problems.front().path == "/stop/limit_ms");
    BOOST_TEST(!readSettings(settingsWith(R"(,"leafs":{"fresh_bound_ms":60000})")).has_value());
    BOOST_TEST(!readSettings(settingsWith(R"(,"stop":{"lame_duck_ms":600,"limit_ms":500})")).has_value());
}

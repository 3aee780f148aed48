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

BOOST_AUTO_TEST_CASE(gateway_settings_describe_the_vm_and_the_scheduling_switches)
{
    const auto settingsText = [](const std::string &extraKeys) {
        return R"({"vm":"v","zone":"a","listen":{"callers":"10.0.0.1:1","readiness":"10.0.0.1:2","peers":"10.0.0.1:3",
            "helper_port":4},"store":{"address":"10.0.0.2:5"},"limits":{"retry_ratio":0.2,"retry_slack":9,
            "retry_window_s":10,"drain_ms":3000,"grace_s":6})"
            + extraKeys + "}";
    };
    const auto settings = readGatewaySettings(
        settingsText(R"(,"memory_mb":160,"max_fds":4100,"link_mbps":45.5,"regions":{"a":"north","b":"south"},
            "scheduling":{"placement":false})"));
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings->memoryMegabytes == 160U);
    BOOST_TEST(settings->maxDescriptors == 4100U);
    BOOST_TEST(settings->linkMegabits == 45.5);
    BOOST_TEST(settings->regions.at({"b"}).value == "south");
    BOOST_TEST(settings->scheduling.priorities);
    BOOST_TEST(!settings->scheduling.placement);
    const auto unknownSwitch = readGatewaySettings(settingsText(R"(,"scheduling":{"placements":false})"));
    BOOST_REQUIRE(!unknownSwitch.has_value());
    BOOST_TEST(unknownSwitch.error().problems.front().path == "/scheduling");
    BOOST_TEST(!readGatewaySettings(settingsText(R"(,"regions":{"a":7})")).has_value());
}

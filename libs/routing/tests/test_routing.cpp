#define BOOST_TEST_MODULE routing
#include <boost/test/included/unit_test.hpp>

#include <routing/routing.h>

using namespace chivelock;

BOOST_AUTO_TEST_CASE(find_returns_longest_prefix_of_exact_host)
{
    gateway_config config;
    config.routes.resize(2);
    config.routes[0].host = "a.example";
    config.routes[0].pathPrefix = "/x/";
    config.routes[0].name = "short";
    config.routes[1].host = "a.example";
    config.routes[1].pathPrefix = "/x/y/";
    config.routes[1].name = "long";
    const route_table table(config);
    BOOST_TEST(table.find("A.example:80", "/x/y/z")->name == "long");
    BOOST_TEST(table.find("a.example", "/x/yz?q=/x/y/")->name == "short");
    BOOST_TEST(table.find("a.example", "/x") == nullptr);
    BOOST_TEST(table.find("b.example", "/x/y/") == nullptr);
}

#define BOOST_TEST_MODULE topology
#include <boost/test/included/unit_test.hpp>

#include <topology/topology.h>

#include <fstream>
#include <sstream>

using namespace chivelock;

namespace {

std::string fileText(const std::string &name)
{
    const std::ifstream file(std::string(CHIVELOCK_SOURCE_DIR) + "/examples/" + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

BOOST_AUTO_TEST_CASE(both_deployments_have_the_sizes_of_the_brief)
{
    const auto north = readTopology(fileText("new-england/topology.json"));
    const auto south = readTopology(fileText("southern-vietnam/topology.json"));
    BOOST_REQUIRE(north.has_value());
    BOOST_REQUIRE(south.has_value());
    BOOST_TEST(north->findService({"line-assist"})->shards.size() == 20);
    BOOST_TEST(north->findService({"schedule-board"})->shards.size() == 30);
    BOOST_TEST(north->leafs.size() == 108);
    BOOST_TEST(south->findService({"order-desk"})->shards.front().leafs.size() == 5);
    BOOST_TEST(readVmList(fileText("new-england/vms.json"))->vms.size() == 8);
}

// Symptom: an answer claims a shard as covered twice, or a shard has no leaf that exists.
// Sequence: an operator publishes a map with a shard number twice, or naming an unknown leaf.
// Cause: rules between fields that a schema can't say.
BOOST_AUTO_TEST_CASE(map_that_would_make_coverage_untrue_is_refused)
{
    const std::string leafs =
        R"("leafs":[{"id":1,"address":"127.0.0.1","port":1,"zone":"z","slots":1,"connections":1}])";
    const auto document = [&](const std::string &shards) {
        return R"({"revision":1,"services":[{"name":"s","snapshot":1,"map_version":1,"shards":[)" + shards + "]}],"
            + leafs + "}";
    };
    BOOST_TEST(readTopology(document(R"({"shard":0,"leafs":[1]})")).has_value());
    BOOST_TEST(!readTopology(document(R"({"shard":0,"leafs":[1]},{"shard":0,"leafs":[1]})")).has_value());
    BOOST_TEST(!readTopology(document(R"({"shard":0,"leafs":[2]})")).has_value());
}

BOOST_AUTO_TEST_CASE(vm_list_refuses_names_in_place_of_ip_numbers)
{
    BOOST_TEST(
        !readVmList(
             R"({"revision":1,"vms":[{"id":1,"address":"host.example","zone":"z","peer_port":1,"http_port":1}]})")
             .has_value());
}

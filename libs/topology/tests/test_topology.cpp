#define BOOST_TEST_MODULE topology
#include <boost/test/included/unit_test.hpp>

#include <topology/topology.h>

#include <fstream>
#include <sstream>

using namespace chivelock;

namespace {

std::string exampleText(const std::string &name)
{
    const std::ifstream file(std::string(CHIVELOCK_SOURCE_DIR) + "/examples/" + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

BOOST_AUTO_TEST_CASE(examples_of_both_deployments_have_expected_sizes)
{
    const auto newEngland = readTopology(exampleText("new-england/topology.json"));
    const auto southernVietnam = readTopology(exampleText("southern-vietnam/topology.json"));
    BOOST_REQUIRE(newEngland.has_value());
    BOOST_REQUIRE(southernVietnam.has_value());
    BOOST_TEST(newEngland->findService({"line-assist"})->shards.size() == 20);
    BOOST_TEST(newEngland->findService({"schedule-board"})->shards.size() == 30);
    BOOST_TEST(newEngland->leafs.size() == 108);
    BOOST_TEST(southernVietnam->findService({"order-desk"})->shards.front().leafs.size() == 5);
    BOOST_TEST(readVmList(exampleText("new-england/vms.json"))->vms.size() == 8);
}

// Failure: an answer counts a shard as covered twice, or a shard has no leaf that exists. It occurs when an operator
// publishes a map in which a shard number occurs twice or a shard names an unknown leaf, which the JSON schema cannot
// rule out because these rules concern several fields.
BOOST_AUTO_TEST_CASE(map_with_duplicate_shard_or_unknown_leaf_is_rejected)
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

BOOST_AUTO_TEST_CASE(vm_list_with_host_name_instead_of_ip_address_is_rejected)
{
    BOOST_TEST(
        !readVmList(
             R"({"revision":1,"vms":[{"id":1,"address":"host.example","zone":"z","peer_port":1,"http_port":1}]})")
             .has_value());
}

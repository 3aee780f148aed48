/**
 * @file
 * Test-only stand-in for the environment of the system: leafs, the configuration service with the VM list, and the
 * controls for their simulated faults. It is not shipped.
 */

#include "config_server.h"
#include "leaf_server.h"

#include <topology/topology.h>

#include <tclap/CmdLine.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace chivelock;
using nlohmann::json;

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        throw std::runtime_error("standin: can't read " + path);
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/** All leafs of one topology, and the control commands for them. */
class leaf_fleet
{
public:
    void serve(const topology_document &topology)
    {
        for (const service_map &service : topology.services) {
            for (const shard_info &shard : service.shards) {
                std::ranges::for_each(shard.leafs, [&](leaf_id id) { add(*topology.findLeaf(id), service); });
            }
        }
    }

    json control(const std::string &command, const json &body)
    {
        if (command == "faults") {
            return setFaults(body);
        }
        if (command == "snapshot") {
            forSelectedLeafs(body, [&body](standin::leaf_server &leaf) {
                leaf.setSnapshot(body.at("snapshot"), body.at("map_version"));
            });
        }
        if (command == "times") {
            setTimes(body);
        }
        return command == "runs" ? runs() : counters();
    }

private:
    void add(const leaf_info &info, const service_map &service)
    {
        if (m_leafs.contains(info.id.value)) {
            return;
        }
        auto leaf = std::make_unique<standin::leaf_server>(
            standin::leaf_server::options {
                info.id.value, info.address, info.port, info.slots, service.snapshot.value, service.version.value},
            m_shared);
        leaf->serve();
        m_leafs.emplace(info.id.value, std::move(leaf));
    }

    template<typename visitor>
    void forSelectedLeafs(const json &body, visitor &&visit)
    {
        for (const auto &[id, leaf] : m_leafs) {
            if (!body.contains("leaf") || body.at("leaf") == id) {
                visit(*leaf);
            }
        }
    }

    json setFaults(const json &body)
    {
        standin::leaf_faults faults;
        faults.leaving = body.value("leaving", false);
        faults.leavingInHealthOnly = body.value("silent_leaving", false);
        faults.hidesLeavingInHealth = body.value("health_lies", false);
        faults.shed = body.value("shed", false);
        faults.unresponsive = body.value("dead", false);
        faults.cold = body.value("cold", false);
        faults.slowFactor = body.value("slow_factor", 1.0);
        faults.snapshotOffset = body.value("snapshot_offset", 0U);
        forSelectedLeafs(body, [&faults](standin::leaf_server &leaf) { leaf.setFaults(faults); });
        return json::object();
    }

    void setTimes(const json &body)
    {
        const std::lock_guard lock(m_shared.mutex);
        m_shared.times.baseMs = body.value("base_ms", m_shared.times.baseMs);
        m_shared.times.exponentialMs = body.value("exponential_ms", m_shared.times.exponentialMs);
        m_shared.times.stragglerShare = body.value("straggler_share", m_shared.times.stragglerShare);
        m_shared.times.stragglerFactor = body.value("straggler_factor", m_shared.times.stragglerFactor);
    }

    json counters()
    {
        json all = {{"leafs", json::array()}};
        for (const auto &[id, leaf] : m_leafs) {
            all["leafs"].push_back(leaf->counters());
        }
        return all;
    }

    json runs()
    {
        const std::lock_guard lock(m_shared.mutex);
        return {{"runs", m_shared.runs}};
    }

    standin::shared_leaf_state m_shared;
    std::map<std::uint32_t, std::unique_ptr<standin::leaf_server>> m_leafs;
};

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine line("Stand-in for leafs and the platform; for tests only", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> topologyPath("t", "topology", "topology document", true, "", "FILE", line);
    TCLAP::ValueArg<std::string> vmsPath("l", "vms", "VM list document", true, "", "FILE", line);
    TCLAP::ValueArg<std::string> cataloguePath("k", "catalogue", "catalogue document", true, "", "FILE", line);
    TCLAP::ValueArg<std::string> address(
        "a", "address", "address of the configuration service", false, "127.0.0.1", "IP", line);
    TCLAP::ValueArg<std::uint16_t> port("p", "port", "port of the configuration service", false, 18500, "PORT", line);
    line.parse(argc, argv);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    const std::string topologyText = readFile(topologyPath.getValue());
    const auto topology = readTopology(topologyText);
    if (!topology) {
        std::cerr << toString(topology.error()) << '\n';
        return 2;
    }
    leaf_fleet leafs;
    leafs.serve(*topology);
    standin::timer_thread timers;
    standin::config_server *configServer = nullptr;
    standin::config_server config(timers, [&](const std::string &command, const json &body) {
        if (command == "config") {
            configServer->setMode(body.at("mode"));
            return json::object();
        }
        return leafs.control(command, body);
    });
    configServer = &config;
    config.publish("topology", topologyText);
    config.publish("vms", readFile(vmsPath.getValue()));
    config.publish("catalogue", readFile(cataloguePath.getValue()));
    config.serve(address.getValue(), port.getValue());
    std::cout << "standin ready" << std::endl;
    int received = 0;
    sigwait(&signals, &received);
    return 0;
}

#pragma once

/**
 * @file
 * What operators publish: routes, services and limits of one version, and the lookup of a request's route. Pure.
 */

#include <base/base.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chivelock {

/** One of the services over which a route's requests are spread. */
struct service_share {
    service_name service;
    double weight = 1; ///< relative to the other shares of the route
};

/** How requests of one host and path prefix are handled. */
struct gateway_route {
    std::string name;
    std::string host; ///< lower case, without port
    std::string pathPrefix; ///< begins and ends with a slash
    bool idempotent = false; ///< whether a request may run more than once
    millis timeout; ///< longest time that a caller is kept waiting
    millis objective; ///< an answer within this time is worth most
    unsigned rank = 0; ///< 0 is the most urgent
    unsigned maxAttempts = 1; ///< leafs that may run one request; counts for each shard
    std::vector<service_share> split; ///< for requests to one leaf; empty for shards
    std::vector<service_name> shards; ///< for requests to all shards; empty for one leaf
    std::size_t topRecords = 0; ///< records in a merged answer
    double minCoverage = 1; ///< least share of the shards in a merged answer

    [[nodiscard]] bool isGather() const
    {
        return !shards.empty();
    }
};

/** What is said of a service apart from its leafs. */
struct service_description {
    service_name name;
    unsigned maxConnections = 1; ///< that one of its leafs accepts from the whole fleet
    double coldPerSecond = 0; ///< requests that one of its cold leafs bears from the whole fleet; 0 for any number
};

/** Bounds on what a caller may send and how long it may take. */
struct caller_limits {
    std::size_t headBytes = 16384;
    std::size_t bodyBytes = 1048576;
    millis headTimeout {5000};
    millis idleTimeout {30000};
};

/** One published configuration, whole. */
struct gateway_config {
    std::uint64_t version = 0;
    std::vector<gateway_route> routes;
    std::vector<service_description> services;
    caller_limits limits;
};

/** Finds the route of a request: exact host, then the longest prefix. */
class route_table
{
public:
    explicit route_table(gateway_config config);

    /** @param host as sent, a port is ignored. @param target path with query. @return nullptr if no route matches. */
    [[nodiscard]] const gateway_route *find(std::string_view host, std::string_view target) const;

    [[nodiscard]] const gateway_config &config() const
    {
        return m_config;
    }

    /** @return 1 for a service that the configuration does not name. */
    [[nodiscard]] unsigned maxConnections(const service_name &service) const;

    /** @return as @ref service_description::coldPerSecond; 0 for a service that the configuration does not name. */
    [[nodiscard]] double coldPerSecond(const service_name &service) const;

private:
    gateway_config m_config;
    std::unordered_map<std::string, std::unordered_map<std::string_view, const gateway_route *>> m_byHost;
    std::unordered_map<service_name, unsigned> m_maxConnections;
    std::unordered_map<service_name, double> m_coldPerSecond; ///< of services that bound it
};

} // namespace chivelock

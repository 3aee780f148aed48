#pragma once

/**
 * @file
 * The gateway configuration that operators publish (routes, services and limits), and the lookup of the route that
 * applies to a request. Performs no I/O.
 */

#include <base/base.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chivelock {

/** One of the services among which a route distributes its requests. */
struct weighted_service {
    service_name service;
    double weight = 1; ///< relative to the other services of the route
};

/** How requests with one host and path prefix are handled. */
struct gateway_route {
    std::string name;
    std::string host; ///< lower case, without port
    std::string pathPrefix; ///< begins and ends with a slash
    bool idempotent = false; ///< a request may run more than once
    millis timeout; ///< longest time from the arrival of a request to its answer
    millis objective; ///< target latency: an answer within this time has its full value
    unsigned rank = 0; ///< priority; 0 is the most urgent
    unsigned maxAttempts = 1; ///< most leafs that may run one request; applies to each shard separately
    std::vector<weighted_service> split; ///< of a route to a single leaf; empty if the route has shards
    std::vector<service_name> shards; ///< of a scatter-gather route, which asks each of them; else empty
    std::size_t topRecords = 0; ///< most records in a merged answer
    std::vector<region_name> homeRegions; ///< regions in which requests may be handled; empty: all
    double minCoverage = 1; ///< smallest fraction of the shards that a merged answer must contain

    /** @return whether a request goes to all shards and their parts are merged. */
    [[nodiscard]] bool isGather() const
    {
        return !shards.empty();
    }
};

/** Limits that hold for each leaf of a service. */
struct service_limits {
    service_name name;
    unsigned maxConnections = 1; ///< connections that one leaf accepts from all VMs together
    double maxColdRequestsPerSecond = 0; ///< requests per second from all VMs to a leaf with a cold cache; 0: no limit
};

/** Limits on the size of a caller's request and on the time that the caller may take to send it. */
struct caller_limits {
    std::size_t headBytes = 16384; ///< request line and headers
    std::size_t bodyBytes = 1048576;
    millis headTimeout {5000}; ///< for receiving a request, from its first byte
    millis idleTimeout {30000}; ///< for a connection without a request
};

/** One complete published configuration. */
struct gateway_config {
    std::uint64_t version = 0;
    std::vector<gateway_route> routes;
    std::vector<service_limits> services;
    caller_limits limits;
};

/** Finds the route of a request: the one with exactly its host and the longest matching path prefix. */
class route_table
{
public:
    explicit route_table(gateway_config config);

    /** @param host as in the request; case and port are ignored. @param target path with query.
     *  @return nullptr if no route matches. */
    [[nodiscard]] const gateway_route *find(std::string_view host, std::string_view target) const;

    [[nodiscard]] const gateway_config &config() const
    {
        return m_config;
    }

    /** @return as @ref service_limits::maxConnections; 1 for a service that the configuration does not name. */
    [[nodiscard]] unsigned maxConnections(const service_name &service) const;

    /** @return as @ref service_limits::maxColdRequestsPerSecond; 0 for a service that the configuration does not name.
     */
    [[nodiscard]] double maxColdRequestsPerSecond(const service_name &service) const;

private:
    gateway_config m_config;
    std::unordered_map<std::string, std::unordered_map<std::string_view, const gateway_route *>> m_routesByHost;
    std::unordered_map<service_name, unsigned> m_maxConnections;
    std::unordered_map<service_name, double> m_maxColdRequestsPerSecond; ///< of services that limit it
};

} // namespace chivelock

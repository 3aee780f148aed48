#include <routing/routing.h>

#include <algorithm>
#include <cctype>

namespace chivelock {

namespace {

std::string hostWithoutPort(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::ranges::transform(name, name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return name;
}

} // namespace

route_table::route_table(gateway_config config)
    : m_config(std::move(config))
{
    for (const gateway_route &route : m_config.routes) {
        m_routesByHost[route.host].emplace(route.pathPrefix, &route);
    }
    for (const service_limits &service : m_config.services) {
        m_maxConnections.emplace(service.name, service.maxConnections);
        if (service.maxColdRequestsPerSecond > 0) {
            m_maxColdRequestsPerSecond.emplace(service.name, service.maxColdRequestsPerSecond);
        }
    }
}

const gateway_route *route_table::find(std::string_view host, std::string_view target) const
{
    const auto routes = m_routesByHost.find(hostWithoutPort(host));
    if (routes == m_routesByHost.end()) {
        return nullptr;
    }
    // Each prefix ends with a slash, so only the parts of the path up to one of its slashes can match: longest first.
    std::string_view prefix = target.substr(0, target.find_first_of("?#"));
    while (!prefix.empty()) {
        const std::size_t slash = prefix.rfind('/');
        if (slash == std::string_view::npos) {
            return nullptr;
        }
        const auto found = routes->second.find(prefix.substr(0, slash + 1));
        if (found != routes->second.end()) {
            return found->second;
        }
        prefix = prefix.substr(0, slash);
    }
    return nullptr;
}

double route_table::maxColdRequestsPerSecond(const service_name &service) const
{
    const auto found = m_maxColdRequestsPerSecond.find(service);
    return found == m_maxColdRequestsPerSecond.end() ? 0 : found->second;
}

unsigned route_table::maxConnections(const service_name &service) const
{
    const auto found = m_maxConnections.find(service);
    return found == m_maxConnections.end() ? 1 : found->second;
}

} // namespace chivelock

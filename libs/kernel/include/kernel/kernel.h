#pragma once

/**
 * @file
 * The service registry of one process: finds services by name, starts them in order and stops them in reverse order.
 */

#include <tl/expected.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace chivelock {

/** Reports which service failed to start and why. */
struct kernel_error {
    std::string service;
    std::string reason;
};

class kernel;

/** A component of the process with its own life cycle; most services own one thread. */
class kernel_service
{
public:
    kernel_service() = default;
    kernel_service(const kernel_service &) = delete;
    kernel_service &operator=(const kernel_service &) = delete;
    virtual ~kernel_service() = default;

    [[nodiscard]] virtual std::string_view name() const = 0;

    /** Looks up the services that this service uses. Called when all services have been added and none has started. */
    virtual void connect(kernel &services) = 0;

    [[nodiscard]] virtual tl::expected<void, kernel_error> start() = 0;

    /** Stops the service and ends its thread. Called exactly once after a successful @ref start. */
    virtual void stop() = 0;
};

/** Owns the services of a process and controls their life cycle. */
class kernel
{
public:
    kernel() = default;
    kernel(const kernel &) = delete;
    kernel &operator=(const kernel &) = delete;
    ~kernel();

    /** @pre no service with the same name was added before. */
    void add(std::unique_ptr<kernel_service> service);

    /** @pre a service with this name and type was added. */
    template<typename service_type>
    service_type &find(std::string_view name);

    /**
     * Connects all services, then starts them in the order in which they were added. If one fails to start, stops the
     * services that have started.
     */
    [[nodiscard]] tl::expected<void, kernel_error> start();

    /** Stops the started services in reverse order of their start. */
    void stop();

private:
    [[nodiscard]] kernel_service *findByName(std::string_view name) const;
    static void requireFound(bool found, std::string_view name);

    std::vector<std::unique_ptr<kernel_service>> m_services;
    std::size_t m_startedCount = 0;
};

template<typename service_type>
service_type &kernel::find(std::string_view name)
{
    auto *found = dynamic_cast<service_type *>(findByName(name));
    requireFound(found != nullptr, name);
    return *found;
}

} // namespace chivelock

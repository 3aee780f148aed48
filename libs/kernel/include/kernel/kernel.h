#pragma once

/**
 * @file
 * The micro-kernel: services of one process, found by name, started in order and stopped in reverse.
 */

#include <tl/expected.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace chivelock {

/** Why a process could not start. */
struct kernel_error {
    std::string service;
    std::string reason;
};

class kernel;

/** One duty of the process; most own one thread. */
class kernel_service
{
public:
    kernel_service() = default;
    kernel_service(const kernel_service &) = delete;
    kernel_service &operator=(const kernel_service &) = delete;
    virtual ~kernel_service() = default;

    [[nodiscard]] virtual std::string_view name() const = 0;

    /** Finds the services it works with; all are added, none has started. */
    virtual void connect(kernel &services) = 0;

    [[nodiscard]] virtual tl::expected<void, kernel_error> start() = 0;

    /** Ends its thread; called once after a successful start. */
    virtual void stop() = 0;
};

/** Owns the services. */
class kernel
{
public:
    kernel() = default;
    kernel(const kernel &) = delete;
    kernel &operator=(const kernel &) = delete;
    ~kernel();

    /** @pre no service of that name was added. */
    void add(std::unique_ptr<kernel_service> service);

    /** @pre a service of that name and type was added. */
    template<typename service_type>
    service_type &find(std::string_view name);

    /** Connects all, then starts all in the order added; stops those that started if one fails. */
    [[nodiscard]] tl::expected<void, kernel_error> start();

    /** Stops what started, newest first. */
    void stop();

private:
    [[nodiscard]] kernel_service *lookUp(std::string_view name) const;
    static void requireFound(bool found, std::string_view name);

    std::vector<std::unique_ptr<kernel_service>> m_services;
    std::size_t m_started = 0;
};

template<typename service_type>
service_type &kernel::find(std::string_view name)
{
    auto *found = dynamic_cast<service_type *>(lookUp(name));
    requireFound(found != nullptr, name);
    return *found;
}

} // namespace chivelock

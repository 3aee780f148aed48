#include <kernel/kernel.h>

#include <base/base.h>

#include <algorithm>

namespace chivelock {

kernel::~kernel()
{
    stop();
}

void kernel::add(std::unique_ptr<kernel_service> service)
{
    require(lookUp(service->name()) == nullptr, "a service name is used once");
    m_services.push_back(std::move(service));
}

tl::expected<void, kernel_error> kernel::start()
{
    std::ranges::for_each(m_services, [this](const auto &service) { service->connect(*this); });
    for (const auto &service : m_services) {
        if (auto started = service->start(); !started) {
            stop();
            return started;
        }
        ++m_started;
    }
    return {};
}

void kernel::stop()
{
    while (m_started > 0) {
        --m_started;
        m_services[m_started]->stop();
    }
}

kernel_service *kernel::lookUp(std::string_view name) const
{
    const auto found = std::ranges::find(m_services, name, [](const auto &service) { return service->name(); });
    return found != m_services.end() ? found->get() : nullptr;
}

void kernel::requireFound(bool found, std::string_view name)
{
    require(found, "no such service: " + std::string(name));
}

} // namespace chivelock

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
    require(findByName(service->name()) == nullptr, "a service with this name was added before");
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
        ++m_startedCount;
    }
    return {};
}

void kernel::stop()
{
    while (m_startedCount > 0) {
        --m_startedCount;
        m_services[m_startedCount]->stop();
    }
}

kernel_service *kernel::findByName(std::string_view name) const
{
    const auto found = std::ranges::find(m_services, name, [](const auto &service) { return service->name(); });
    return found != m_services.end() ? found->get() : nullptr;
}

void kernel::requireFound(bool found, std::string_view name)
{
    require(found, "no service of the requested type has this name: " + std::string(name));
}

} // namespace chivelock

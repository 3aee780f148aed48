#define BOOST_TEST_MODULE kernel
#include <boost/test/included/unit_test.hpp>

#include <kernel/kernel.h>

#include <vector>

using namespace chivelock;

namespace {

class recording_service : public kernel_service
{
public:
    recording_service(std::string name, std::vector<std::string> &events, bool failsToStart)
        : m_name(std::move(name))
        , m_events(events)
        , m_failsToStart(failsToStart)
    {
    }

    [[nodiscard]] std::string_view name() const override
    {
        return m_name;
    }

    void connect(kernel &services) override
    {
        m_self = &services.find<recording_service>(m_name);
    }

    [[nodiscard]] tl::expected<void, kernel_error> start() override
    {
        if (m_failsToStart) {
            return tl::unexpected(kernel_error {m_name, "port taken"});
        }
        m_events.push_back("start " + m_self->m_name);
        return {};
    }

    void stop() override
    {
        m_events.push_back("stop " + m_name);
    }

private:
    std::string m_name;
    std::vector<std::string> &m_events;
    bool m_failsToStart;
    recording_service *m_self = nullptr;
};

} // namespace

BOOST_AUTO_TEST_CASE(services_start_in_order_and_stop_in_reverse)
{
    std::vector<std::string> events;
    kernel services;
    services.add(std::make_unique<recording_service>("a", events, false));
    services.add(std::make_unique<recording_service>("b", events, false));
    BOOST_TEST(services.start().has_value());
    services.stop();
    BOOST_TEST((events == std::vector<std::string> {"start a", "start b", "stop b", "stop a"}));
}

BOOST_AUTO_TEST_CASE(failed_start_names_the_service_and_stops_the_started_ones)
{
    std::vector<std::string> events;
    kernel services;
    services.add(std::make_unique<recording_service>("a", events, false));
    services.add(std::make_unique<recording_service>("b", events, true));
    const auto started = services.start();
    BOOST_REQUIRE(!started.has_value());
    BOOST_TEST(started.error().service == "b");
    BOOST_TEST((events == std::vector<std::string> {"start a", "stop a"}));
}

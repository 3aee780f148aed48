#include <backpressure/backpressure.h>

namespace chivelock {

void answer_sizes::record(std::string_view route, std::size_t bytes)
{
    constexpr double newestShare = 1.0 / 16;
    constexpr std::size_t maxRoutes = 4096; // configurations come and go, each with routes of its own
    const auto size = static_cast<double>(bytes);
    const auto found = m_averages.find(route);
    if (found == m_averages.end()) {
        if (m_averages.size() >= maxRoutes) {
            m_averages.clear();
        }
        m_averages.emplace(route, size);
        return;
    }
    found->second += (size - found->second) * newestShare;
}

std::size_t answer_sizes::expected(std::string_view route) const
{
    const auto found = m_averages.find(route);
    return found == m_averages.end() ? 0 : static_cast<std::size_t>(found->second);
}

} // namespace chivelock

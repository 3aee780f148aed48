#include <priority/priority.h>

#include <iterator>

namespace chivelock {

priority_scale::priority_scale(std::span<const std::uint32_t> ranks)
    : m_ranks(ranks.begin(), ranks.end())
{
    std::ranges::sort(m_ranks);
    const auto repeated = std::ranges::unique(m_ranks);
    m_ranks.erase(repeated.begin(), repeated.end());
}

double priority_scale::urgencyOf(std::uint32_t rank) const
{
    if (isUniform()) {
        return 1;
    }
    const auto last = static_cast<double>(m_ranks.size() - 1);
    const auto below = std::distance(m_ranks.begin(), std::ranges::lower_bound(m_ranks, rank));
    return 1 - std::min(static_cast<double>(below), last) / last;
}

} // namespace chivelock

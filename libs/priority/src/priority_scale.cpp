#include <priority/priority.h>

#include <iterator>
#include <set>

namespace chivelock {

priority_scale::priority_scale(std::span<const std::uint32_t> ranks)
{
    const std::set<std::uint32_t> distinct(ranks.begin(), ranks.end());
    m_ranks.assign(distinct.begin(), distinct.end());
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

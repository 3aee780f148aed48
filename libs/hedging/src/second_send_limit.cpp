#include <hedging/hedging.h>

#include <algorithm>

namespace chivelock {

namespace {

// Of the shards of a lookup. Single leafs that are slow, pause or crash rarely add up to more at one time, and leafs
// bear this much more load.
constexpr double maxShareOfShards = 0.15;
constexpr double minLimit = 6; // second sends of a lookup over few shards are too few to load the leafs

} // namespace

second_send_limit::second_send_limit(std::size_t shards)
    : m_limit(static_cast<std::size_t>(std::max(minLimit, static_cast<double>(shards) * maxShareOfShards)))
{
}

void second_send_limit::onSent()
{
    m_unanswered += 1;
}

void second_send_limit::onReleased()
{
    m_unanswered -= std::min<std::size_t>(m_unanswered, 1);
}

} // namespace chivelock

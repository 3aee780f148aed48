#include <priority/priority.h>

namespace chivelock {

namespace {

// Of the objective. What follows, the network and the leafs, takes the other half of the shortest objectives.
constexpr double lateShare = 0.5;

} // namespace

millis queue_terms::dueAt() const
{
    return arrivedAt + objective * (1 - std::clamp(urgency, 0.0, 1.0));
}

millis queue_terms::lateAt() const
{
    return arrivedAt + objective * lateShare;
}

} // namespace chivelock

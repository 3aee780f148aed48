#include <leafs/leafs.h>

#include <algorithm>

namespace chivelock {

namespace {

constexpr double trackerStep = 0.1; // share by which one value moves an estimate: follows a change in some 20 answers
// Of the answers come sooner than a hedge. A second send takes a slot of a leaf that is half full, and mostly bytes
// from another zone.
constexpr double hedgeShare = 0.98;
constexpr double firstTypicalShare = 0.15; // of the objective, until answers tell better
constexpr double firstSlowShare = 0.3;
constexpr double leastHedgeOverTypical = 1.4; // sooner, a hedge would mostly meet the first answer on its way
constexpr double mostHedgeOverObjective = 0.45; // later, a hedge could not answer in time either

} // namespace

void quantile_tracker::add(millis value)
{
    const bool above = value > m_estimate;
    m_estimate = m_estimate * (above ? 1 + trackerStep * m_share : 1 - trackerStep * (1 - m_share));
    constexpr millis least(0.1); // an estimate of zero could never grow again
    m_estimate = std::max(m_estimate, least);
}

route_pace::route_pace(millis wanted)
    : typical(0.5, wanted * firstTypicalShare)
    , slow(hedgeShare, wanted * firstSlowShare)
    , objective(wanted)
{
}

void route_pace::add(millis took, millis worked)
{
    typical.add(worked);
    slow.add(took);
}

millis route_pace::hedgeAfter() const
{
    const millis least = typical.estimate() * leastHedgeOverTypical;
    const millis most = std::max(least, objective * mostHedgeOverObjective);
    return std::clamp(slow.estimate(), least, most);
}

} // namespace chivelock

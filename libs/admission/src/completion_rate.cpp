#include <admission/admission.h>

#include <algorithm>
#include <cmath>

namespace chivelock {

namespace {

constexpr millis rateWindow(1000); // a few requests of a small VM, and short enough to follow a load surge
constexpr double millisPerSecond = 1000;

double decayedOverWindow(double value, millis age)
{
    return value * std::exp(-std::max(age.count(), 0.0) / rateWindow.count());
}

} // namespace

void completion_rate::add(millis now)
{
    m_weight = decayedOverWindow(m_weight, now - m_updatedAt) + 1;
    m_updatedAt = now;
}

double completion_rate::perSecond(millis now) const
{
    return decayedOverWindow(m_weight, now - m_updatedAt) * millisPerSecond / rateWindow.count();
}

} // namespace chivelock

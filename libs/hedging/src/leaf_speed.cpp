#include <hedging/hedging.h>

#include <algorithm>
#include <cmath>

namespace chivelock {

namespace {

constexpr double newestShare = 0.04; // the average covers about 25 answers
constexpr double minSamples = 10;
constexpr double minFactor = 0.5;
constexpr double maxFactor = 4;
// A single ratio beyond these is a pause or a wait, and says nothing about the usual speed.
constexpr double minRatio = 0.3;
constexpr double maxRatio = 6;

} // namespace

void leaf_speed::add(double ratio)
{
    const double value = std::log(std::clamp(ratio, minRatio, maxRatio));
    m_samples += 1;
    m_log += (value - m_log) * std::max(newestShare, 1 / m_samples);
    m_factor = m_samples < minSamples ? 1 : std::clamp(std::exp(m_log), minFactor, maxFactor);
}

} // namespace chivelock

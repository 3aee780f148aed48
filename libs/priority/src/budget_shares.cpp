#include <priority/priority.h>

namespace chivelock {

namespace {

// Of the budget, kept from the least urgent route in favour of the most urgent one. The fixed part of the budget allows
// a small VM about two extra sends in each window; with half or more reserved, the least urgent route would get none.
constexpr double largestReserve = 0.4;

} // namespace

double budgetReserve(double reserve, double urgency, double highestUrgency)
{
    const double kept = largestReserve * std::clamp(highestUrgency - urgency, 0.0, 1.0);
    return 1 - (1 - reserve) * (1 - kept);
}

} // namespace chivelock

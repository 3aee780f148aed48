#include <query/query.h>

#include <algorithm>

namespace chivelock {

std::optional<millis> kind_limiter::admit(const kind_entry &kind, std::size_t listedVms, millis now)
{
    constexpr double burstSeconds = 0.1;
    constexpr double millisPerSecond = 1000;
    require(listedVms > 0, "a fleet-wide limit needs at least one listed VM to be shared among");
    const auto shareOf = [listedVms](std::uint32_t limit) {
        return std::max(1.0, static_cast<double>(limit) / static_cast<double>(listedVms));
    };
    kind_usage &usage = m_usage[kind.name];
    const double perSecond = shareOf(kind.maxPerSecond);
    const double burst = std::max(1.0, perSecond * burstSeconds);
    const double refill = (now - usage.refilled).count() / millisPerSecond * perSecond;
    usage.tokens = usage.tokens < 0 ? burst : std::min(burst, usage.tokens + refill);
    usage.refilled = now;
    if (usage.inFlight >= shareOf(kind.maxInFlight)) {
        return kind.softLimit;
    }
    if (usage.tokens < 1) {
        return millis((1 - usage.tokens) / perSecond * millisPerSecond);
    }
    usage.tokens -= 1;
    ++usage.inFlight;
    return std::nullopt;
}

void kind_limiter::release(const kind_name &kind)
{
    kind_usage &usage = m_usage[kind];
    usage.inFlight -= std::min(usage.inFlight, 1U);
}

} // namespace chivelock

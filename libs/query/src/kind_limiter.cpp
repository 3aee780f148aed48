#include <query/query.h>

#include <algorithm>

namespace chivelock {

std::optional<millis> kind_limiter::admit(const kind_entry &kind, std::size_t listedVms, millis now)
{
    constexpr double burstSeconds = 0.1;
    constexpr double millisPerSecond = 1000;
    require(listedVms > 0, "a limit is divided among at least one VM");
    const auto share = [listedVms](std::uint32_t limit) {
        return std::max(1.0, static_cast<double>(limit) / static_cast<double>(listedVms));
    };
    kind_use &use = m_use[kind.name];
    const double perSecond = share(kind.maxPerSecond);
    const double burst = std::max(1.0, perSecond * burstSeconds);
    const double refill = (now - use.refilled).count() / millisPerSecond * perSecond;
    use.tokens = use.tokens < 0 ? burst : std::min(burst, use.tokens + refill);
    use.refilled = now;
    if (use.inFlight >= share(kind.maxInFlight)) {
        return kind.softLimit;
    }
    if (use.tokens < 1) {
        return millis((1 - use.tokens) / perSecond * millisPerSecond);
    }
    use.tokens -= 1;
    ++use.inFlight;
    return std::nullopt;
}

void kind_limiter::release(const kind_name &kind)
{
    kind_use &use = m_use[kind];
    use.inFlight -= std::min(use.inFlight, 1U);
}

} // namespace chivelock

#include <placement/placement.h>

#include <algorithm>
#include <cmath>

namespace chivelock::placement {

namespace {

constexpr millis lagHalfLife(100); // a VM that has caught up counts as such after some hundred milliseconds
constexpr millis lagValidFor(1000); // a VM that gets no work reports nothing; it is tried again after this time
// A VM of an eighth of a core without backlog handles a batch of leaf requests in this time.
constexpr millis negligibleLag(5);
constexpr double minCapacity = 0.01; // cores; a report of nothing must not give an infinite time

// Up to this many shards, a message to another VM takes longer than it saves.
constexpr std::size_t minShardsAtOnce = 8;
// A core processes a hundred leaf requests in 6 ms, while leafs take 4 to 15 ms to answer.
constexpr double shardsPerCore = 100;

} // namespace

std::size_t shardsAtOnce(double capacity)
{
    return std::max(minShardsAtOnce, static_cast<std::size_t>(std::max(capacity, 0.0) * shardsPerCore));
}

millis fadedLag(millis lag, millis age)
{
    if (lag < negligibleLag || age >= lagValidFor) {
        return {};
    }
    return lag * (1 - std::max(age.count(), 0.0) / lagValidFor.count());
}

void lag_meter::record(millis delay, millis now)
{
    const millis before = lagAt(now);
    if (delay >= before) {
        m_lag = delay;
        m_at = now;
    }
}

millis lag_meter::lagAt(millis now) const
{
    return m_lag * std::exp2(-std::max((now - m_at).count(), 0.0) / lagHalfLife.count());
}

void vm_loads::onLoad(const std::string &address, const vm_load &load, millis now)
{
    known_vm &about = m_vms[address];
    about.load = load;
    about.loadAt = now;
}

/** A report that is on time limits an earlier excess only to its own delay: most reports come long before the latest
 *  time, so a helper that is somewhat behind is on time as well. */
void vm_loads::onReportDelay(const std::string &address, millis elapsed, millis expected, millis now)
{
    known_vm &about = m_vms[address];
    const millis known = fadedLag(about.excess, now - about.excessAt);
    const millis excess = elapsed > expected ? elapsed - expected : std::min(known, elapsed);
    if (elapsed > expected || excess < known) {
        about.excess = excess;
        about.excessAt = now;
    }
}

void vm_loads::onDelegated(const std::string &address, std::size_t shards, double capacity, millis now)
{
    known_vm &about = m_vms[address];
    const millis work = leafRequestCost * (static_cast<double>(shards) / std::max(capacity, minCapacity));
    about.busyUntil = std::max(about.busyUntil, now) + work;
}

const vm_loads::known_vm *vm_loads::find(const std::string &address) const
{
    const auto found = m_vms.find(address);
    return found == m_vms.end() ? nullptr : &found->second;
}

std::optional<double> vm_loads::capacityOf(const std::string &address) const
{
    const known_vm *about = find(address);
    if (about == nullptr || !about->load || about->load->capacity <= 0) {
        return std::nullopt;
    }
    return about->load->capacity;
}

millis vm_loads::lagOf(const std::string &address, millis now) const
{
    const known_vm *about = find(address);
    if (about == nullptr) {
        return {};
    }
    const millis reported = about->load ? fadedLag(about->load->lag, now - about->loadAt) : millis();
    return std::max(reported, fadedLag(about->excess, now - about->excessAt));
}

millis vm_loads::busyFor(const std::string &address, millis now) const
{
    const known_vm *about = find(address);
    return about == nullptr ? millis() : std::max(about->busyUntil - now, millis());
}

std::size_t vm_loads::known() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_vms, [](const auto &one) { return one.second.load.has_value(); }));
}

std::size_t vm_loads::behind(millis now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_vms, [&](const auto &one) { return lagOf(one.first, now) > millis(); }));
}

} // namespace chivelock::placement

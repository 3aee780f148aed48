#include <placement/placement.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace chivelock::placement {

namespace {

constexpr double largeFactor = 2; // times the median capacity of the zone
constexpr millis farBehind(20); // from this lag on, new connections to leafs cost less than the wait
constexpr millis equalFinish(0.5); // estimates that differ by less are equal; spreads VMs with the same data
constexpr double minCapacity = 0.01; // cores; a capacity of zero must not give an infinite time
constexpr double capacityTolerance = 0.01; // share; capacities are sent in thousandths of a core

/** The times of one plan while its parts are given out. */
class schedule
{
public:
    schedule(std::span<const vm> vms, double ownCapacity)
        : m_vms(vms)
        , m_given(vms.size())
        , m_message(messageCost * (1 / std::max(ownCapacity, minCapacity)))
    {
        std::ranges::transform(vms, std::back_inserter(m_asked), &vm::hasMessage);
        m_start.resize(vms.size());
    }

    [[nodiscard]] millis finish(std::size_t at, std::size_t shards) const
    {
        const vm &candidate = m_vms[at];
        return startOf(at) + std::max(candidate.lag, candidate.busy) + m_given[at] + work(candidate, shards);
    }

    /** @return the preference among VMs that finish equally soon: without a further message first. */
    [[nodiscard]] int messageClass(std::size_t at) const
    {
        return m_vms[at].isOwn ? 0 : (m_asked[at] ? 1 : 2);
    }

    void give(std::size_t at, std::size_t shards)
    {
        if (!m_vms[at].isOwn && !m_asked[at]) {
            m_start[at] = startOf(at);
            m_asked[at] = true;
            m_messages += 1;
        }
        m_given[at] = m_given[at] + work(m_vms[at], shards);
    }

private:
    static millis work(const vm &by, std::size_t shards)
    {
        return leafRequestCost * (static_cast<double>(shards) / std::max(by.capacity, minCapacity));
    }

    /** The planning VM sends all messages before its own requests to leafs. */
    [[nodiscard]] millis startOf(std::size_t at) const
    {
        if (m_vms[at].isOwn) {
            return m_message * m_messages;
        }
        return m_asked[at] ? m_start[at] : m_message * (m_messages + 1);
    }

    std::span<const vm> m_vms;
    std::vector<millis> m_given;
    std::vector<millis> m_start;
    std::vector<bool> m_asked;
    millis m_message;
    double m_messages = 0;
};

std::size_t earliest(const part &wanted, const schedule &times, seeded_random &random)
{
    millis best = millis::never();
    for (const std::size_t at : wanted.vms) {
        best = std::min(best, times.finish(at, wanted.shards));
    }
    std::vector<std::size_t> equal;
    std::ranges::copy_if(wanted.vms, std::back_inserter(equal), [&](std::size_t at) {
        return times.finish(at, wanted.shards) <= best + equalFinish;
    });
    if (equal.empty()) {
        return nobody;
    }
    const auto byMessage = [&](std::size_t at) { return times.messageClass(at); };
    const int least = byMessage(*std::ranges::min_element(equal, {}, byMessage));
    std::erase_if(equal, [&](std::size_t at) { return byMessage(at) > least; });
    return equal.size() == 1 ? equal.front() : equal[random.below(equal.size())];
}

} // namespace

placed_parts &placed_parts::operator+=(const placed_parts &other)
{
    all += other.all;
    large += other.large;
    own += other.own;
    return *this;
}

bool isSameCapacity(double one, double other)
{
    return std::abs(one - other) <= capacityTolerance * std::max(one, other);
}

bool isUneven(std::span<const vm> vms)
{
    return std::ranges::any_of(
        vms, [&](const vm &one) { return one.lag > millis() || !isSameCapacity(one.capacity, vms.front().capacity); });
}

double largeCapacity(std::span<const vm> vms)
{
    if (vms.empty()) {
        return 0;
    }
    std::vector<double> capacities;
    std::ranges::transform(vms, std::back_inserter(capacities), &vm::capacity);
    const auto median = capacities.begin() + static_cast<std::ptrdiff_t>((capacities.size() - 1) / 2);
    std::ranges::nth_element(capacities, median);
    return *median * largeFactor * (1 - capacityTolerance);
}

std::vector<std::size_t> servingVms(std::span<const vm> vms, std::size_t at, std::size_t parts)
{
    const double large = largeCapacity(vms);
    const auto isOfPart = [&](const vm &one) { return one.rank % parts == at || one.capacity >= large; };
    const auto isReady = [](const vm &one) { return one.lag < farBehind; };
    const auto among = [&](auto isChosen) {
        std::vector<std::size_t> chosen;
        for (std::size_t index = 0; index < vms.size(); ++index) {
            if (isChosen(vms[index])) {
                chosen.push_back(index);
            }
        }
        return chosen;
    };
    std::vector<std::size_t> chosen = among([&](const vm &one) { return isOfPart(one) && isReady(one); });
    if (chosen.empty()) {
        chosen = among(isReady);
    }
    if (chosen.empty()) {
        chosen = among(isOfPart);
    }
    return chosen.empty() ? among([](const vm &) { return true; }) : chosen;
}

std::vector<std::size_t>
plan(std::span<const part> parts, std::span<const vm> vms, double ownCapacity, seeded_random &random)
{
    std::vector<std::size_t> order(parts.size());
    std::iota(order.begin(), order.end(), std::size_t {0});
    std::ranges::stable_sort(order, std::greater<>(), [&](std::size_t at) { return parts[at].shards; });
    schedule times(vms, ownCapacity);
    std::vector<std::size_t> vmOfPart(parts.size(), nobody);
    for (const std::size_t at : order) {
        vmOfPart[at] = parts[at].shards == 0 ? nobody : earliest(parts[at], times, random);
        if (vmOfPart[at] != nobody) {
            times.give(vmOfPart[at], parts[at].shards);
        }
    }
    return vmOfPart;
}

placed_parts countPlaced(std::span<const std::size_t> vmOfPart, std::span<const vm> vms)
{
    const double large = largeCapacity(vms);
    placed_parts counts;
    for (const std::size_t at : vmOfPart) {
        if (at != nobody) {
            counts.all += 1;
            counts.large += vms[at].capacity >= large ? 1 : 0;
            counts.own += vms[at].isOwn ? 1 : 0;
        }
    }
    return counts;
}

} // namespace chivelock::placement

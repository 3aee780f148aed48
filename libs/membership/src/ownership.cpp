#include <membership/membership.h>

#include <xxhash.h>

#include <algorithm>

namespace chivelock {

namespace {

std::uint64_t weightOf(std::uint64_t serviceHash, shard_id shard, vm_id vm)
{
    const std::uint64_t place[] = {serviceHash, (static_cast<std::uint64_t>(shard.value) << 32U) | vm.value};
    return XXH3_64bits(place, sizeof place);
}

/** How many shards each runner has so far. */
class load_counter
{
public:
    load_counter(std::span<const vm_id> runners, std::size_t cap)
        : m_runners(runners)
        , m_counts(runners.size(), 0)
        , m_cap(cap)
    {
    }

    /** The runner of highest weight that has room; without a cap, chance gives one of 8 runners twice its share. */
    vm_id take(std::uint64_t serviceHash, shard_id shard)
    {
        std::size_t best = m_runners.size();
        std::uint64_t bestWeight = 0;
        for (std::size_t index = 0; index < m_runners.size(); ++index) {
            const std::uint64_t weight = weightOf(serviceHash, shard, m_runners[index]);
            const bool better = best == m_runners.size() || weight > bestWeight;
            if (m_counts[index] < m_cap && better) {
                best = index;
                bestWeight = weight;
            }
        }
        ++m_counts[best];
        return m_runners[best];
    }

private:
    std::span<const vm_id> m_runners;
    std::vector<std::size_t> m_counts;
    std::size_t m_cap;
};

} // namespace

std::vector<vm_id>
assignShards(const service_name &service, std::span<const shard_info> shards, std::span<const vm_id> runners)
{
    require(!runners.empty(), "assignShards needs a runner");
    const std::uint64_t serviceHash = XXH3_64bits(service.value.data(), service.value.size());
    load_counter loads(runners, (shards.size() + runners.size() - 1) / runners.size());
    std::vector<vm_id> owners;
    owners.reserve(shards.size());
    std::ranges::transform(
        shards, std::back_inserter(owners), [&](const shard_info &shard) { return loads.take(serviceHash, shard.id); });
    return owners;
}

} // namespace chivelock

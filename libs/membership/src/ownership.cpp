#include <membership/membership.h>

#include <xxhash.h>

#include <algorithm>

namespace chivelock {

namespace {

std::uint64_t weightOf(std::uint64_t serviceHash, shard_id shard, vm_id vm)
{
    const std::uint64_t hashInput[] = {serviceHash, (static_cast<std::uint64_t>(shard.value) << 32U) | vm.value};
    return XXH3_64bits(hashInput, sizeof hashInput);
}

/** Assigns shards to runners one after another and counts the shards of each runner. */
class shard_assigner
{
public:
    shard_assigner(std::span<const vm_id> runners, std::size_t maxShards)
        : m_runners(runners)
        , m_shardCounts(runners.size(), 0)
        , m_maxShards(maxShards)
    {
    }

    /**
     * Assigns a shard to the runner of highest weight that has fewer than the maximum number of shards. Without this
     * maximum, the random weights give one of 8 runners twice its share.
     */
    vm_id assign(std::uint64_t serviceHash, shard_id shard)
    {
        std::size_t best = m_runners.size();
        std::uint64_t bestWeight = 0;
        for (std::size_t index = 0; index < m_runners.size(); ++index) {
            const std::uint64_t weight = weightOf(serviceHash, shard, m_runners[index]);
            const bool better = best == m_runners.size() || weight > bestWeight;
            if (m_shardCounts[index] < m_maxShards && better) {
                best = index;
                bestWeight = weight;
            }
        }
        ++m_shardCounts[best];
        return m_runners[best];
    }

private:
    std::span<const vm_id> m_runners;
    std::vector<std::size_t> m_shardCounts;
    std::size_t m_maxShards;
};

} // namespace

std::vector<vm_id>
assignShards(const service_name &service, std::span<const shard_info> shards, std::span<const vm_id> runners)
{
    require(!runners.empty(), "assignShards needs at least one runner");
    const std::uint64_t serviceHash = XXH3_64bits(service.value.data(), service.value.size());
    shard_assigner assigner(runners, (shards.size() + runners.size() - 1) / runners.size());
    std::vector<vm_id> owners;
    owners.reserve(shards.size());
    std::ranges::transform(shards, std::back_inserter(owners), [&](const shard_info &shard) {
        return assigner.assign(serviceHash, shard.id);
    });
    return owners;
}

} // namespace chivelock

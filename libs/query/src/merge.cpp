#include <query/query.h>

#include <xxhash.h>

#include <algorithm>
#include <iterator>

namespace chivelock {

std::vector<result_row> mergeRows(merge_rule rule, std::vector<std::vector<result_row>> parts, std::uint32_t maxRows)
{
    std::vector<result_row> merged;
    for (std::vector<result_row> &part : parts) {
        std::ranges::move(part, std::back_inserter(merged));
    }
    const std::size_t kept = std::min<std::size_t>(merged.size(), maxRows);
    if (rule == merge_rule::TopScore) {
        const auto better = [](const result_row &left, const result_row &right) {
            return left.score != right.score ? left.score > right.score : left.id < right.id;
        };
        std::ranges::partial_sort(merged, merged.begin() + static_cast<std::ptrdiff_t>(kept), better);
    }
    merged.resize(kept);
    return merged;
}

shard_id shardOfKey(std::string_view key, std::span<const shard_info> shards)
{
    require(!shards.empty(), "shardOfKey needs at least one shard");
    return shards[XXH3_64bits(key.data(), key.size()) % shards.size()].id;
}

} // namespace chivelock

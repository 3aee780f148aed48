#include <gateway/gateway.h>

#include <algorithm>

namespace chivelock {

std::string mergeRecords(std::span<const std::string_view> parts, std::size_t count)
{
    std::vector<std::string_view> records;
    for (std::string_view part : parts) {
        for (; part.size() >= recordBytes; part.remove_prefix(recordBytes)) {
            records.push_back(part.substr(0, recordBytes));
        }
    }
    const std::size_t kept = std::min(count, records.size());
    // std::string_view compares as unsigned bytes.
    std::ranges::partial_sort(records, records.begin() + static_cast<std::ptrdiff_t>(kept), std::greater<>());
    std::string merged;
    merged.reserve(kept * recordBytes);
    for (std::size_t at = 0; at < kept; ++at) {
        merged += records[at];
    }
    return merged;
}

std::string greatestRecords(std::string part, std::size_t count)
{
    if (part.size() <= count * recordBytes) {
        return part;
    }
    const std::string_view whole = part;
    return mergeRecords({&whole, 1}, count);
}

} // namespace chivelock

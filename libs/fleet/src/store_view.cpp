#include <fleet/fleet.h>

#include <algorithm>
#include <numeric>
#include <set>

namespace chivelock {

namespace {

// For followers that lag behind; those that lag further get the full contents.
constexpr std::size_t maxRememberedDeletions = 4096;
constexpr std::size_t maxSentDeletions = 256; // with the full contents; some kilobytes for each new follower

} // namespace

std::vector<store_item>
store_view::applyChanges(std::vector<store_item> items, std::uint64_t revision, bool mayHaveExpired)
{
    if (!mayHaveExpired) {
        addInferredDeletions(items);
    }
    std::erase_if(items, [this](const store_item &item) { return !isNewer(item); });
    std::ranges::stable_sort(items, {}, &store_item::revision);
    std::ranges::for_each(items, [&](const store_item &item) { applyItem(item, mayHaveExpired); });
    m_revision = std::max(m_revision, revision);
    dropOldDeletions();
    return items;
}

std::vector<store_item>
store_view::applyContents(std::vector<store_item> items, std::uint64_t revision, bool mayHaveExpired)
{
    std::set<std::string_view> present;
    for (const store_item &item : items) {
        if (!item.deleted) {
            present.insert(item.key);
        }
    }
    std::vector<store_item> missing;
    for (const auto &[key, known] : m_items) {
        // A key that was written after the contents were read is missing from them without having been deleted.
        if (!present.contains(key) && known.revision <= revision) {
            missing.push_back({key, revision, true, {}});
        }
    }
    std::ranges::move(missing, std::back_inserter(items));
    if (!m_known) {
        m_deletionsSince = revision;
        m_firstRevision = revision;
    }
    m_known = true;
    return applyChanges(std::move(items), revision, mayHaveExpired);
}

std::vector<store_item> store_view::applyRecentDeletions(std::span<const store_item> items)
{
    std::vector<store_item> newItems;
    for (const store_item &item : items) {
        const auto last = m_deleted.find(item.key);
        const std::uint64_t knownDeletionRevision = last == m_deleted.end() ? 0 : last->second.revision;
        if (!item.deleted || knownDeletionRevision >= item.revision) {
            continue;
        }
        m_deleted[item.key].revision = item.revision;
        newItems.push_back(item);
        newItems.back().beforeStart = item.revision <= m_firstRevision;
        const auto known = m_items.find(item.key);
        if (known != m_items.end() && known->second.revision > item.revision) {
            newItems.push_back(itemOf(known->first, known->second));
        }
    }
    dropOldDeletions();
    return newItems;
}

const store_view::stored_value *store_view::find(std::string_view key) const
{
    const auto found = m_items.find(key);
    return found == m_items.end() ? nullptr : &found->second;
}

std::optional<std::vector<store_item>> store_view::changesSince(std::uint64_t revision) const
{
    if (!m_known || revision < m_deletionsSince) {
        return std::nullopt;
    }
    std::vector<store_item> changes;
    for (const auto &[key, known] : m_items) {
        if (known.revision > revision) {
            changes.push_back(itemOf(key, known));
        }
    }
    for (const auto &[key, last] : m_deleted) {
        if (last.revision > revision) {
            changes.push_back({key, last.revision, true, {}});
        }
    }
    return changes;
}

std::vector<store_item> store_view::contents() const
{
    std::vector<store_item> all;
    for (const auto &[key, known] : m_items) {
        all.push_back(itemOf(key, known));
    }
    return all;
}

std::size_t store_view::contentBytes() const
{
    return std::accumulate(m_items.begin(), m_items.end(), std::size_t {0}, [](std::size_t sum, const auto &one) {
        return sum + one.first.size() + one.second.value.size();
    });
}

contents_part store_view::contentsAfter(std::string_view key, std::size_t maxBytes) const
{
    contents_part part;
    std::size_t bytes = 0;
    auto at = m_items.upper_bound(key);
    for (; at != m_items.end(); ++at) {
        bytes += at->first.size() + at->second.value.size();
        if (bytes > maxBytes && !part.items.empty()) {
            break;
        }
        part.items.push_back(itemOf(at->first, at->second));
    }
    part.isLast = at == m_items.end();
    return part;
}

std::vector<store_item> store_view::latestDeletions() const
{
    std::vector<store_item> all;
    for (const auto &[key, last] : m_deleted) {
        if (!last.mayHaveExpired) {
            all.push_back({key, last.revision, true, {}});
        }
    }
    const std::size_t sentCount = std::min(all.size(), maxSentDeletions);
    const auto end = all.begin() + static_cast<std::ptrdiff_t>(sentCount);
    std::ranges::partial_sort(all, end, std::greater(), &store_item::revision);
    all.erase(end, all.end());
    return all;
}

std::vector<store_item> store_view::contentsWithDeletions() const
{
    std::vector<store_item> all = latestDeletions();
    std::ranges::move(contents(), std::back_inserter(all));
    return all;
}

/** Adds a deletion for each key that was created after the local item: it was deleted in between, without a message. */
void store_view::addInferredDeletions(std::vector<store_item> &items) const
{
    std::vector<store_item> missed;
    for (const store_item &item : items) {
        const auto known = m_items.find(item.key);
        if (known != m_items.end() && !item.deleted && item.created > known->second.revision) {
            missed.push_back({item.key, item.created - 1, true, {}});
        }
    }
    items.insert(items.begin(), missed.begin(), missed.end());
}

bool store_view::isNewer(const store_item &item) const
{
    if (const auto found = m_items.find(item.key); found != m_items.end()) {
        const bool newer = item.revision > found->second.revision;
        return newer || (item.deleted && item.revision == found->second.revision);
    }
    // The deletion of an unknown key is also new: a write after it may be a late write of the deleted entry.
    const auto deleted = m_deleted.find(item.key);
    return deleted == m_deleted.end() || item.revision > deleted->second.revision;
}

void store_view::applyItem(const store_item &item, bool mayHaveExpired)
{
    if (item.deleted) {
        m_items.erase(item.key);
        m_deleted[item.key] = {item.revision, mayHaveExpired};
        return;
    }
    const auto before = m_deleted.find(item.key);
    if (before != m_deleted.end() && before->second.mayHaveExpired) {
        m_deleted.erase(before);
    }
    stored_value &known = m_items[item.key];
    known = {item.revision, item.value, item.created > 0 ? item.created : known.created};
}

store_item store_view::itemOf(const std::string &key, const stored_value &known)
{
    return {key, known.revision, false, known.value, known.created};
}

void store_view::dropOldDeletions()
{
    while (m_deleted.size() > maxRememberedDeletions) {
        const auto oldest =
            std::ranges::min_element(m_deleted, {}, [](const auto &one) { return one.second.revision; });
        m_deletionsSince = std::max(m_deletionsSince, oldest->second.revision);
        m_deleted.erase(oldest);
    }
}

} // namespace chivelock

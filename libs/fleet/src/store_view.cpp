#include <fleet/fleet.h>

#include <algorithm>
#include <set>

namespace chivelock {

namespace {

constexpr std::size_t mostDeletions = 4096; // remembered for followers that lag; beyond that they get everything anew
constexpr std::size_t mostToldDeletions = 256; // to whoever begins to listen; some kilobytes once

} // namespace

std::vector<store_item>
store_view::applyChanges(std::vector<store_item> items, std::uint64_t revision, bool mayHaveLapsed)
{
    if (!mayHaveLapsed) {
        addMissedDeletions(items);
    }
    std::erase_if(items, [this](const store_item &item) { return !isNews(item); });
    std::ranges::stable_sort(items, {}, &store_item::revision);
    std::ranges::for_each(items, [&](const store_item &item) { keep(item, mayHaveLapsed); });
    m_revision = std::max(m_revision, revision);
    forgetOldDeletions();
    return items;
}

std::vector<store_item>
store_view::applyContents(std::vector<store_item> items, std::uint64_t revision, bool mayHaveLapsed)
{
    std::set<std::string_view> present;
    for (const store_item &item : items) {
        if (!item.deleted) {
            present.insert(item.key);
        }
    }
    std::vector<store_item> gone;
    for (const auto &[key, known] : m_items) {
        // A key that was written after the contents were read is missing from them for that reason alone.
        if (!present.contains(key) && known.revision <= revision) {
            gone.push_back({key, revision, true, {}});
        }
    }
    std::ranges::move(gone, std::back_inserter(items));
    if (!m_known) {
        m_deletionsSince = revision;
    }
    m_known = true;
    return applyChanges(std::move(items), revision, mayHaveLapsed);
}

std::vector<store_item> store_view::applyPastDeletions(std::span<const store_item> items)
{
    std::vector<store_item> news;
    for (const store_item &item : items) {
        const auto last = m_deleted.find(item.key);
        const std::uint64_t knownUpTo = last == m_deleted.end() ? 0 : last->second.revision;
        if (!item.deleted || knownUpTo >= item.revision) {
            continue;
        }
        m_deleted[item.key].revision = item.revision;
        news.push_back(item);
        const auto known = m_items.find(item.key);
        if (known != m_items.end() && known->second.revision > item.revision) {
            news.push_back({item.key, known->second.revision, false, known->second.value});
        }
    }
    forgetOldDeletions();
    return news;
}

const store_view::held *store_view::find(std::string_view key) const
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
            changes.push_back({key, known.revision, false, known.value});
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
        all.push_back({key, known.revision, false, known.value});
    }
    return all;
}

std::vector<store_item> store_view::contentsWithDeletions() const
{
    std::vector<store_item> all;
    for (const auto &[key, last] : m_deleted) {
        if (!last.mayHaveLapsed) {
            all.push_back({key, last.revision, true, {}});
        }
    }
    const std::size_t told = std::min(all.size(), mostToldDeletions);
    const auto end = all.begin() + static_cast<std::ptrdiff_t>(told);
    std::ranges::partial_sort(all, end, std::greater(), &store_item::revision);
    all.erase(end, all.end());
    std::ranges::move(contents(), std::back_inserter(all));
    return all;
}

/** A key that came to be after what is held of it was deleted in between, though nobody told. */
void store_view::addMissedDeletions(std::vector<store_item> &items) const
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

bool store_view::isNews(const store_item &item) const
{
    if (const auto found = m_items.find(item.key); found != m_items.end()) {
        const bool newer = item.revision > found->second.revision;
        return newer || (item.deleted && item.revision == found->second.revision);
    }
    // Also of a key that was never seen here: what is written after it may be older than it looks.
    const auto deleted = m_deleted.find(item.key);
    return deleted == m_deleted.end() || item.revision > deleted->second.revision;
}

void store_view::keep(const store_item &item, bool mayHaveLapsed)
{
    if (item.deleted) {
        m_items.erase(item.key);
        m_deleted[item.key] = {item.revision, mayHaveLapsed};
        return;
    }
    const auto before = m_deleted.find(item.key);
    if (before != m_deleted.end() && before->second.mayHaveLapsed) {
        m_deleted.erase(before);
    }
    m_items[item.key] = {item.revision, item.value};
}

void store_view::forgetOldDeletions()
{
    while (m_deleted.size() > mostDeletions) {
        const auto oldest =
            std::ranges::min_element(m_deleted, {}, [](const auto &one) { return one.second.revision; });
        m_deletionsSince = std::max(m_deletionsSince, oldest->second.revision);
        m_deleted.erase(oldest);
    }
}

} // namespace chivelock

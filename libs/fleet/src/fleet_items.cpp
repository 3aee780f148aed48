/** @file Distribution of store items down the tree: full contents to new followers without data, otherwise changes. */

#include <fleet/fleet.h>

#include "compression.h"

#include <algorithm>

namespace chivelock {

namespace {

// A delta with its digest saves nothing for smaller values; an entry of a leaf has some 200 bytes.
constexpr std::size_t minPatchedValueBytes = 1024;
// Far above any real value; limits the memory that a faulty peer can make this process allocate.
constexpr std::uint32_t maxPatchedValueBytes = 16U << 20U;

/** Followers hold the same value as this process, so they know the creation of a key that has existed since then. */
void omitKnownCreation(const store_view &view, store_item &item)
{
    const store_view::stored_value *base = view.find(item.key);
    item.created = base != nullptr && item.created <= base->revision ? 0 : item.created;
}

} // namespace

void fleet_node::sendMissingItems(link_id link, const follow_request &request)
{
    for (const auto &[prefix, view] : m_views) {
        if (!view.known()) {
            continue;
        }
        const auto peerRevision = std::ranges::find(request.known, prefix, &known_revision::prefix);
        const std::uint64_t revision = peerRevision == request.known.end() ? 0 : peerRevision->revision;
        auto changes = revision == 0 ? std::nullopt : view.changesSince(revision);
        const bool isFull = !changes.has_value();
        if (isFull && request.acceptsParts && needsParts(view.contentBytes())) {
            startTransfer(link, prefix);
            continue;
        }
        store_items items {
            prefix, isFull, view.revision(), isFull ? view.contentsWithDeletions() : *std::move(changes), {}};
        sendItems({link}, std::move(items));
    }
}

/** Sends the items in one message, or the complete contents in parts to each follower that accepts them. */
void fleet_node::sendItems(std::vector<link_id> links, store_items items)
{
    if (needsParts(bytesOf(items))) {
        const auto withoutParts = std::partition(
            links.begin(), links.end(), [this](link_id link) { return m_followers.at(link).acceptsParts; });
        std::for_each(links.begin(), withoutParts, [&](link_id link) { startTransfer(link, items.prefix); });
        links.erase(links.begin(), withoutParts);
    }
    if (!links.empty()) {
        m_actions.emplace_back(send_message_action {std::move(links), std::move(items)});
    }
}

void fleet_node::onItems(link_id link, store_items items, millis now)
{
    if (link != m_upstream || m_phase != phase::Following || !m_views.contains(items.prefix)) {
        return;
    }
    m_upstreamReceivedAt = now;
    if (!collectParts(items)) {
        return;
    }
    if (items.whole) {
        m_fullContentsPending.erase(items.prefix);
        onStoreContents(items.prefix, std::move(items.items), items.revision);
        sendRecentDeletions(m_upstream); // the upstream may never have known the keys that its contents lack
    } else if (applyPatches(items)) {
        onStoreChanges(items.prefix, std::move(items.items), items.revision);
    }
}

/**
 * Turns deltas into items. @return false if a delta does not match the local value. The whole message is then ignored,
 * since applying the rest would make this process claim to know everything up to its revision, and the full contents
 * are requested instead.
 */
bool fleet_node::applyPatches(store_items &items)
{
    const store_view &view = m_views.find(items.prefix)->second;
    if (m_fullContentsPending.contains(items.prefix)) {
        return false;
    }
    for (const item_patch &patch : items.patches) {
        const store_view::stored_value *base = view.find(patch.key);
        if (base != nullptr && base->revision >= patch.revision) {
            continue; // already known
        }
        const bool baseMatches =
            base != nullptr && base->revision == patch.baseRevision && patch.size <= maxPatchedValueBytes;
        std::optional<std::string> value =
            baseMatches ? decompressText(patch.bytes, base->value, patch.size) : std::nullopt;
        if (!value || digestOfText(*value) != patch.digest) {
            requestFullContents(items.prefix, patch.key);
            return false;
        }
        items.items.push_back({patch.key, patch.revision, false, *std::move(value)});
    }
    return true;
}

/** Requests the full contents once; deltas that arrive before them do not match either. */
void fleet_node::requestFullContents(const std::string &prefix, std::string_view key)
{
    m_fullContentsPending.insert(prefix);
    addLogEvent("patch_refused", m_upstreamAddress + " " + std::string(key), millis());
    follow_request request = ownRequest();
    std::erase_if(request.known, [&](const known_revision &one) { return one.prefix == prefix; });
    m_membersSentUpstream = std::make_shared<const std::vector<fleet_member>>(request.members);
    sendMessage(m_upstream, std::move(request));
}

void fleet_node::onStoreContents(std::string_view prefix, std::vector<store_item> items, std::uint64_t revision)
{
    store_view &view = m_views.find(prefix)->second;
    const bool first = !view.known();
    const std::vector<store_item> newItems = view.applyContents(std::move(items), revision, mayHaveExpiredEntries());
    if (first || !newItems.empty()) {
        // Followers that joined before the contents were known have not received any.
        forwardItems({std::string(prefix), first, view.revision(), newItems, {}}, newItems);
    }
}

void fleet_node::onStoreChanges(std::string_view prefix, std::vector<store_item> items, std::uint64_t revision)
{
    store_view &view = m_views.find(prefix)->second;
    std::vector<store_item> rest = items;
    std::ranges::for_each(rest, [&](store_item &item) { omitKnownCreation(view, item); });
    std::vector<item_patch> patches = extractPatches(prefix, rest);
    std::vector<store_item> newItems = view.applyChanges(std::move(items), revision, mayHaveExpiredEntries());
    if (!newItems.empty()) {
        forwardItems({std::string(prefix), false, view.revision(), std::move(rest), std::move(patches)},
                     std::move(newItems));
    }
}

/** Removes from @p items those that are sent as deltas to the local values, and returns the deltas. */
std::vector<item_patch> fleet_node::extractPatches(std::string_view prefix, std::vector<store_item> &items) const
{
    std::vector<item_patch> patches;
    if (m_followers.empty() || isSendingParts(prefix)) {
        return patches; // a follower that collects parts holds no value to patch
    }
    const store_view &view = m_views.find(prefix)->second;
    std::erase_if(items, [&](const store_item &item) {
        const store_view::stored_value *base = view.find(item.key);
        const bool once = std::ranges::count(items, item.key, &store_item::key) == 1;
        if (base == nullptr || item.deleted || item.created > 0 || item.value.size() < minPatchedValueBytes || !once
            || item.revision <= base->revision) {
            return false;
        }
        patches.push_back({item.key,
                           item.revision,
                           base->revision,
                           digestOfText(item.value),
                           static_cast<std::uint32_t>(item.value.size()),
                           compressText(item.value, base->value)});
        return true;
    });
    return patches;
}

void fleet_node::forwardItems(store_items items, std::vector<store_item> newItems)
{
    recordDeletions(items.prefix, newItems);
    useChanges({items.prefix, std::move(newItems)});
    std::vector<link_id> links;
    std::ranges::transform(m_followers, std::back_inserter(links), [](const auto &one) { return one.first; });
    sendItems(std::move(links), std::move(items));
}

} // namespace chivelock

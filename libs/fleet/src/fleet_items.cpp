/** @file The store's news on their way down the tree: all of it to whoever has nothing, else what changed. */

#include <fleet/fleet.h>

#include "packing.h"

#include <algorithm>

namespace chivelock {

namespace {

// Below that a difference with its digest saves nothing; an entry of a leaf has some 200 bytes.
constexpr std::size_t leastPatchedBytes = 1024;
constexpr std::uint32_t mostPatchedBytes = 16U
    << 20U; // far above any value; bounds what a faulty peer can make us hold

} // namespace

void fleet_node::sendMissing(link_id link, const follow_request &request)
{
    for (const auto &[prefix, view] : m_views) {
        if (!view.known()) {
            continue;
        }
        const auto has = std::ranges::find(request.known, prefix, &known_revision::prefix);
        const std::uint64_t revision = has == request.known.end() ? 0 : has->revision;
        auto changes = revision == 0 ? std::nullopt : view.changesSince(revision);
        const bool whole = !changes.has_value();
        store_items items {
            prefix, whole, view.revision(), whole ? view.contentsWithDeletions() : *std::move(changes), {}};
        tell(link, std::move(items));
    }
}

void fleet_node::onItems(link_id link, store_items items, millis now)
{
    if (link != m_upstream || m_phase != phase::Following || !m_views.contains(items.prefix)) {
        return;
    }
    m_upstreamHeardAt = now;
    if (items.whole) {
        m_wholeAsked.erase(items.prefix);
        onStoreContents(items.prefix, std::move(items.items), items.revision);
        tellPastDeletions(m_upstream); // what is missing here it may never have known
    } else if (unpack(items)) {
        onStoreChanges(items.prefix, std::move(items.items), items.revision);
    }
}

/**
 * Turns differences into items. @return false if one does not fit: then nothing of the message is taken, since what
 * else it says would make this process claim to know all up to its revision; the whole is asked for instead.
 */
bool fleet_node::unpack(store_items &items)
{
    const store_view &view = m_views.find(items.prefix)->second;
    if (m_wholeAsked.contains(items.prefix)) {
        return false;
    }
    for (const item_patch &patch : items.patches) {
        const store_view::held *base = view.find(patch.key);
        if (base != nullptr && base->revision >= patch.revision) {
            continue; // known already
        }
        const bool fits = base != nullptr && base->revision == patch.baseRevision && patch.size <= mostPatchedBytes;
        std::optional<std::string> value = fits ? unpacked(patch.bytes, base->value, patch.size) : std::nullopt;
        if (!value || digestOfText(*value) != patch.digest) {
            askForWhole(items.prefix, patch.key);
            return false;
        }
        items.items.push_back({patch.key, patch.revision, false, *std::move(value)});
    }
    return true;
}

/** Once until it has come: what follows meanwhile does not fit either. */
void fleet_node::askForWhole(const std::string &prefix, std::string_view key)
{
    m_wholeAsked.insert(prefix);
    note("patch_refused", m_upstreamAddress + " " + std::string(key), millis());
    follow_request request = ownRequest();
    std::erase_if(request.known, [&](const known_revision &one) { return one.prefix == prefix; });
    m_toldUpstream = std::make_shared<const std::vector<fleet_member>>(request.members);
    tell(m_upstream, std::move(request));
}

void fleet_node::onStoreContents(std::string_view prefix, std::vector<store_item> items, std::uint64_t revision)
{
    store_view &view = m_views.find(prefix)->second;
    const bool first = !view.known();
    const std::vector<store_item> news = view.applyContents(std::move(items), revision, mayLapse());
    if (first || !news.empty()) {
        // Followers that came before the contents were known got none then.
        passOn({std::string(prefix), first, view.revision(), news, {}}, news);
    }
}

void fleet_node::onStoreChanges(std::string_view prefix, std::vector<store_item> items, std::uint64_t revision)
{
    store_view &view = m_views.find(prefix)->second;
    std::vector<store_item> rest = items;
    std::vector<item_patch> patches = takePatches(prefix, rest);
    std::vector<store_item> news = view.applyChanges(std::move(items), revision, mayLapse());
    if (!news.empty()) {
        passOn({std::string(prefix), false, view.revision(), std::move(rest), std::move(patches)}, std::move(news));
    }
}

/** Takes out of @p items those of which the difference to what is held is worth telling instead. */
std::vector<item_patch> fleet_node::takePatches(std::string_view prefix, std::vector<store_item> &items) const
{
    std::vector<item_patch> patches;
    if (m_followers.empty()) {
        return patches;
    }
    const store_view &view = m_views.find(prefix)->second;
    std::erase_if(items, [&](const store_item &item) {
        const store_view::held *base = view.find(item.key);
        const bool once = std::ranges::count(items, item.key, &store_item::key) == 1;
        if (base == nullptr || item.deleted || item.value.size() < leastPatchedBytes || !once
            || item.revision <= base->revision) {
            return false;
        }
        patches.push_back({item.key,
                           item.revision,
                           base->revision,
                           digestOfText(item.value),
                           static_cast<std::uint32_t>(item.value.size()),
                           packed(item.value, base->value)});
        return true;
    });
    return patches;
}

void fleet_node::passOn(store_items items, std::vector<store_item> news)
{
    keepDeletions(items.prefix, news);
    m_actions.emplace_back(news_action {items.prefix, std::move(news)});
    std::vector<link_id> links;
    std::ranges::transform(m_followers, std::back_inserter(links), [](const auto &one) { return one.first; });
    if (!links.empty()) {
        m_actions.emplace_back(tell_action {std::move(links), std::move(items)});
    }
}

} // namespace chivelock

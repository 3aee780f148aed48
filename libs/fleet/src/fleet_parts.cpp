/**
 * @file
 * Complete contents in parts: contents larger than one message go to a follower one part at a time, the next once the
 * follower has confirmed the one before by a heartbeat, so that other messages do not wait long behind them. The
 * receiver uses no part before the last, since it would take the missing keys for removed entries and claim a revision
 * that it does not have.
 */

#include <fleet/fleet.h>

#include <algorithm>

namespace chivelock {

namespace {

constexpr std::size_t maxMessageBytes = 1U << 20U; // of keys and values; far below the bound of a frame
constexpr std::size_t partBytes = 256U << 10U; // small enough that heartbeats between two parts arrive in time

} // namespace

bool fleet_node::needsParts(std::size_t bytes)
{
    return bytes > maxMessageBytes;
}

std::size_t fleet_node::bytesOf(const store_items &items)
{
    std::size_t bytes = 0;
    std::ranges::for_each(items.items, [&](const store_item &one) { bytes += one.key.size() + one.value.size(); });
    std::ranges::for_each(items.patches, [&](const item_patch &one) { bytes += one.key.size() + one.bytes.size(); });
    return bytes;
}

/** A deletion and a later write of its key are both kept: the write may be a late one of the deleted entry. */
void fleet_node::collected_parts::add(store_item item)
{
    const auto [at, isNew] = items.try_emplace({item.key, item.deleted}, item);
    if (!isNew && at->second.revision < item.revision) {
        at->second = std::move(item);
    }
}

bool fleet_node::isSendingParts(std::string_view prefix) const
{
    return std::ranges::any_of(m_followers, [&](const auto &one) { return one.second.transfers.contains(prefix); });
}

/** Starts anew if the contents are being sent already: what has changed since may lie in a part that was sent. */
void fleet_node::startTransfer(link_id link, const std::string &prefix)
{
    follower &to = m_followers.at(link);
    const bool isLinkBusy = !to.transfers.empty();
    to.transfers[prefix] = {};
    if (!isLinkBusy) {
        sendNextPart(link);
    }
}

void fleet_node::sendNextPart(link_id link)
{
    const auto to = m_followers.find(link);
    if (to == m_followers.end() || to->second.transfers.empty()) {
        return;
    }
    auto &[prefix, transfer] = *to->second.transfers.begin();
    const store_view &view = m_views.find(prefix)->second;
    contents_part part = view.contentsAfter(transfer.lastKey, partBytes);
    store_items message {prefix, true, view.revision(), std::move(part.items), {}, transfer.nextPart, !part.isLast};
    if (part.isLast) {
        std::ranges::move(view.latestDeletions(), std::back_inserter(message.items));
        to->second.transfers.erase(to->second.transfers.begin());
    } else {
        transfer.lastKey = message.items.back().key;
        transfer.nextPart += 1;
    }
    sendMessage(link, std::move(message));
}

/**
 * Collects a part, or changes that arrive between two parts. @return whether @p items now holds the complete contents
 * or changes that may be applied; if not, nothing of it is used yet.
 */
bool fleet_node::collectParts(store_items &items)
{
    if (items.whole && items.part == 0) {
        m_collectedParts.erase(items.prefix);
    }
    if (items.part == 0 && !items.isUnfinished && !m_collectedParts.contains(items.prefix)) {
        return true;
    }
    collected_parts &collected = m_collectedParts[items.prefix];
    m_fullContentsPending.insert(items.prefix);
    const bool isNextPart = !items.whole || items.part == collected.count;
    if (!isNextPart || !items.patches.empty()) {
        m_collectedParts.erase(items.prefix);
        requestFullContents(items.prefix, "parts");
        return false;
    }
    collected.count += items.whole ? 1 : 0;
    std::ranges::for_each(items.items, [&](store_item &one) { collected.add(std::move(one)); });
    if (!items.whole) {
        return false;
    }
    if (items.isUnfinished) {
        sendHeartbeatUpstream();
        return false;
    }
    items.items.clear();
    std::ranges::transform(
        collected.items, std::back_inserter(items.items), [](auto &one) { return std::move(one.second); });
    m_collectedParts.erase(items.prefix);
    return true;
}

/** Parts of different upstreams do not make up contents. */
void fleet_node::dropCollectedParts()
{
    m_collectedParts.clear();
    m_fullContentsPending.clear();
}

} // namespace chivelock

#pragma once

/** @file Local copy of the store's contents; a part of fleet.h. */

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chivelock {

/** One item of the store as it was written, or its deletion. */
struct store_item {
    std::string key;
    std::uint64_t revision = 0; ///< store revision; increases with every change of any key
    bool deleted = false;
    std::string value; ///< empty if deleted
    std::uint64_t created = 0; ///< revision at which the key was created; 0 if unknown
    bool beforeStart = false; ///< deleted before this process knew the contents: at an unknown time
};

/** Some of the items of a prefix, in the order of their keys. */
struct contents_part {
    std::vector<store_item> items;
    bool isLast = false; ///< no items follow these
};

/**
 * Local copy of one prefix of the store. Accepts changes in any order and from several sources, and never replaces an
 * item by an older revision.
 */
class store_view
{
public:
    /**
     * @param mayHaveExpired the store was unavailable, so a deletion may only mean that an entry's lease expired.
     * @return the items that are newer than the local copy, oldest first.
     */
    std::vector<store_item>
    applyChanges(std::vector<store_item> items, std::uint64_t revision, bool mayHaveExpired = false);

    /**
     * @param items the complete contents of the prefix at @p revision; keys that are missing count as deleted.
     * @return as @ref applyChanges.
     */
    std::vector<store_item>
    applyContents(std::vector<store_item> items, std::uint64_t revision, bool mayHaveExpired = false);

    /** Whether the complete contents have been received at least once. */
    [[nodiscard]] bool known() const
    {
        return m_known;
    }

    /** @return the revision of the first contents, as of which this process knows the times of changes. */
    [[nodiscard]] std::uint64_t firstRevision() const
    {
        return m_firstRevision;
    }

    /** All changes up to this revision have been applied. */
    [[nodiscard]] std::uint64_t revision() const
    {
        return m_revision;
    }

    /**
     * Applies deletions that another process recorded. @return the deletions that are new here; if the key was written
     * after the deletion, the current item is returned again after it.
     */
    std::vector<store_item> applyRecentDeletions(std::span<const store_item> items);

    struct stored_value {
        std::uint64_t revision = 0;
        std::string value;
        std::uint64_t created = 0; ///< see @ref store_item::created
    };

    /** @return the item under the key, valid until the next change; nullptr if there is none. */
    [[nodiscard]] const stored_value *find(std::string_view key) const;

    /** @return the changes after @p revision, or nullopt if deletions since then are no longer remembered. */
    [[nodiscard]] std::optional<std::vector<store_item>> changesSince(std::uint64_t revision) const;

    [[nodiscard]] std::vector<store_item> contents() const;

    /** @return the size of all keys and values, in bytes. */
    [[nodiscard]] std::size_t contentBytes() const;

    /** @return the items after @p key, at least one if there are any, then as many as fit in @p maxBytes. */
    [[nodiscard]] contents_part contentsAfter(std::string_view key, std::size_t maxBytes) const;

    /**
     * @return the latest deletions. A write that follows a deletion may be a late write of the removed entry; a new
     * follower can only recognise it as such if it knows of the deletion.
     */
    [[nodiscard]] std::vector<store_item> latestDeletions() const;

    /** @return the latest deletions and the contents. */
    [[nodiscard]] std::vector<store_item> contentsWithDeletions() const;

private:
    void addInferredDeletions(std::vector<store_item> &items) const;
    [[nodiscard]] bool isNewer(const store_item &item) const;
    [[nodiscard]] static store_item itemOf(const std::string &key, const stored_value &known);
    void applyItem(const store_item &item, bool mayHaveExpired);
    void dropOldDeletions();

    struct deletion {
        std::uint64_t revision = 0;
        bool mayHaveExpired = false; ///< a later write restores the entry and is no late write
    };

    bool m_known = false;
    std::uint64_t m_revision = 0;
    std::map<std::string, stored_value, std::less<>> m_items;
    std::map<std::string, deletion, std::less<>> m_deleted; ///< last deletion of each key; the key may exist again
    std::uint64_t m_firstRevision = 0;
    std::uint64_t m_deletionsSince = 0; ///< @ref m_deleted holds all deletions after this revision
};

} // namespace chivelock

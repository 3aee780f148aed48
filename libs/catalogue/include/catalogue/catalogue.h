#pragma once

/**
 * @file
 * The kinds of lookup that operators publish, and the store that keeps the highest accepted revision. Pure: no input
 * or output; every process accepts or refuses the same publication.
 */

#include <base/base.h>
#include <schema/schema.h>

#include <tl/expected.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace chivelock {

/** Which shards a lookup of a kind touches. */
enum class fan_out : std::uint8_t {
    AllShards,
    ByKey
};

/** How the rows of the shards become one list. */
enum class merge_rule : std::uint8_t {
    TopScore,
    Concatenate
};

/** One catalogue entry. */
struct kind_entry {
    kind_name name;
    std::string owner;
    urgency priority = urgency::Ordinary;
    service_name service;
    fan_out shards = fan_out::AllShards;
    bool repeatable = true; ///< false: runs at most once, needs a ticket
    bool wholeOnly = true; ///< false: may answer partially at the soft limit
    double minCoverage = 1.0; ///< least covered share of shards of a partial answer
    millis softLimit; ///< when a partial answer is given instead of waiting on
    millis hardLimit; ///< when the lookup is given up
    std::uint32_t maxInFlight = 0; ///< over the whole fleet
    std::uint32_t maxPerSecond = 0; ///< over the whole fleet
    std::uint32_t maxRows = 0;
    merge_rule merge = merge_rule::TopScore;

    bool operator==(const kind_entry &) const = default;
};

/** One accepted publication. */
struct catalogue_document {
    std::uint64_t revision = 0;
    std::vector<kind_entry> kinds; ///< sorted by name

    [[nodiscard]] const kind_entry *find(const kind_name &name) const;
};

/** Reads and checks a publication. */
[[nodiscard]] tl::expected<catalogue_document, document_error> readCatalogue(std::string_view text);

/** Writes a document so that @ref readCatalogue gives the same one back. */
[[nodiscard]] std::string writeCatalogue(const catalogue_document &document);

/** The same for equal content whatever the formatting, so that peers can compare content. */
[[nodiscard]] std::uint64_t contentDigest(const catalogue_document &document);

/** What became of an offered publication. */
enum class offer_verdict : std::uint8_t {
    Accepted,
    AlreadyInForce,
    RefusedInvalid,
    RefusedOlder, ///< a lower revision: a process never goes back
    RefusedConflict, ///< the same revision with other content: an operators' race or a fault
    RefusedDelta ///< a delta that does not fit what is held; the whole document is needed
};

[[nodiscard]] std::string_view toString(offer_verdict verdict);

/** One line of the audit trail. */
struct audit_entry {
    millis at;
    std::uint64_t revision = 0;
    offer_verdict verdict = offer_verdict::Accepted;
    std::string source; ///< "platform" or the VM that told it
    std::string kind; ///< the entry changed, empty for the publication as a whole
    std::string owner;
    std::string oldValue;
    std::string newValue;
    std::string detail;
};

/** The entries that changed after a revision; applied on that revision or a later one below @ref revision. */
struct catalogue_delta {
    std::uint64_t fromRevision = 0;
    std::uint64_t revision = 0;
    std::uint64_t digest = 0; ///< of the resulting document: a wrong base shows here and is refused
    std::vector<kind_entry> changed;
    std::vector<kind_name> removed;
};

/** Writes a delta so that @ref readDelta gives the same one back. */
[[nodiscard]] std::string writeDelta(const catalogue_delta &delta);
[[nodiscard]] tl::expected<catalogue_delta, document_error> readDelta(std::string_view text);

/** Keeps the highest accepted revision; the revision in force never falls. */
class catalogue_store
{
public:
    static constexpr std::size_t auditCapacity = 1000;
    static constexpr std::size_t historyCapacity = 256;

    /** @param neverBack false only in tests that show what refusing lower revisions prevents. */
    explicit catalogue_store(bool neverBack = true)
        : m_neverBack(neverBack)
    {
    }

    /** Offers a whole publication as text. */
    offer_verdict offer(std::string_view text, std::string_view source, millis now);

    /** Offers what a peer sent for what this store lacks. */
    offer_verdict offerDelta(const catalogue_delta &delta, std::string_view source, millis now);

    /** The document in force; revision 0 with no kinds before the first. */
    [[nodiscard]] std::shared_ptr<const catalogue_document> current() const
    {
        return m_current;
    }

    /** What a peer at @p revision lacks; nothing if too much history is gone and it needs the whole document. */
    [[nodiscard]] std::optional<catalogue_delta> deltaSince(std::uint64_t revision) const;

    /** Newest last; bounded. */
    [[nodiscard]] const std::deque<audit_entry> &audit() const
    {
        return m_audit;
    }

    /** The reason of the newest refusal after the last acceptance, for status; empty if all is well. */
    [[nodiscard]] const std::string &standingRefusal() const
    {
        return m_standingRefusal;
    }

private:
    struct change_record {
        std::uint64_t revision;
        kind_name kind;
    };

    offer_verdict judge(catalogue_document document, std::string_view source, millis now);
    offer_verdict
    refuse(offer_verdict verdict, std::uint64_t revision, std::string_view source, std::string detail, millis now);
    void recordChanges(const catalogue_document &next, std::string_view source, millis now);
    void append(audit_entry entry);

    std::shared_ptr<const catalogue_document> m_current = std::make_shared<catalogue_document>();
    std::deque<change_record> m_history;
    std::uint64_t m_historyFrom = 0; ///< deltas from this revision on can be given
    std::deque<audit_entry> m_audit;
    std::string m_standingRefusal;
    bool m_neverBack;
};

} // namespace chivelock

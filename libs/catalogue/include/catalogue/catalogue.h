#pragma once

/**
 * @file
 * The kinds of lookup that operators publish, and the store that keeps the highest accepted revision. The code is
 * deterministic and does no input or output, so every process accepts or refuses the same publications.
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

/** The shards to which a lookup is sent. */
enum class fan_out : std::uint8_t {
    AllShards,
    ByKey
};

/** How the rows of all shards are merged into one list. */
enum class merge_rule : std::uint8_t {
    TopScore,
    Concatenate
};

/** The definition of one kind of lookup: a catalogue entry. */
struct kind_entry {
    kind_name name;
    std::string owner;
    urgency priority = urgency::Ordinary;
    service_name service;
    fan_out shards = fan_out::AllShards;
    bool repeatable = true; ///< idempotent; if false, a lookup runs at most once and requires a ticket
    bool requiresCompleteAnswer = true; ///< if false, a partial answer may be given at the soft limit
    double minCoverage = 1.0; ///< minimum fraction of the shards that a partial answer must cover
    millis softLimit; ///< time after which a partial answer is given if it is allowed
    millis hardLimit; ///< time after which the lookup fails
    std::uint32_t maxInFlight = 0; ///< concurrent lookups in the whole fleet
    std::uint32_t maxPerSecond = 0; ///< lookups per second in the whole fleet
    std::uint32_t maxRows = 0;
    merge_rule merge = merge_rule::TopScore;

    bool operator==(const kind_entry &) const = default;
};

/** The content of one publication of the catalogue. */
struct catalogue_document {
    std::uint64_t revision = 0;
    std::vector<kind_entry> kinds; ///< sorted by name

    [[nodiscard]] const kind_entry *find(const kind_name &name) const;
};

/** Parses and validates a publication. */
[[nodiscard]] tl::expected<catalogue_document, document_error> readCatalogue(std::string_view text);

/** Serializes a document; @ref readCatalogue returns an equal document from the text. */
[[nodiscard]] std::string writeCatalogue(const catalogue_document &document);

/** Digest of the content, independent of the formatting of the published text, so that peers can compare documents. */
[[nodiscard]] std::uint64_t contentDigest(const catalogue_document &document);

/** The result of offering a publication to a @ref catalogue_store. */
enum class offer_verdict : std::uint8_t {
    Accepted,
    AlreadyInForce,
    RefusedInvalid,
    RefusedOlder, ///< the revision is lower than the one in force
    RefusedConflict, ///< the same revision with different content: two operators published at the same time, or a fault
    RefusedDelta ///< the delta does not apply to the document in force; the full document is needed
};

[[nodiscard]] std::string_view toString(offer_verdict verdict);

/** One record of the audit trail. */
struct audit_entry {
    millis at;
    std::uint64_t revision = 0;
    offer_verdict verdict = offer_verdict::Accepted;
    std::string source; ///< "platform", or the VM that sent the publication
    std::string kind; ///< the kind that changed; empty if the record is about the publication as a whole
    std::string owner;
    std::string oldValue;
    std::string newValue;
    std::string detail;
};

/**
 * The entries that changed after @ref fromRevision. Can be applied to a document of that revision or of a later one
 * below @ref revision.
 */
struct catalogue_delta {
    std::uint64_t fromRevision = 0;
    std::uint64_t revision = 0;
    std::uint64_t digest = 0; ///< of the resulting document; a mismatch shows that the delta has the wrong base
    std::vector<kind_entry> changed;
    std::vector<kind_name> removed;
};

/** Serializes a delta; @ref readDelta returns an equal delta from the text. */
[[nodiscard]] std::string writeDelta(const catalogue_delta &delta);
[[nodiscard]] tl::expected<catalogue_delta, document_error> readDelta(std::string_view text);

/** Keeps the document with the highest accepted revision; the revision in force never decreases. */
class catalogue_store
{
public:
    static constexpr std::size_t auditCapacity = 1000;
    static constexpr std::size_t historyCapacity = 256;

    /** @param refusesOlder whether lower revisions are refused; false only in tests that show what this prevents. */
    explicit catalogue_store(bool refusesOlder = true)
        : m_refusesOlder(refusesOlder)
    {
    }

    /** Offers the text of a full publication; it comes into force if it is valid and newer. */
    offer_verdict offer(std::string_view text, std::string_view source, millis now);

    /** Offers a delta that a peer sent; it comes into force if it is newer and its digest matches the result. */
    offer_verdict offerDelta(const catalogue_delta &delta, std::string_view source, millis now);

    /** The document in force; before the first publication, an empty document with revision 0. */
    [[nodiscard]] std::shared_ptr<const catalogue_document> current() const
    {
        return m_current;
    }

    /**
     * The changes that a peer at @p revision is missing; nullopt if the history does not reach back to that revision,
     * so that the peer needs the full document.
     */
    [[nodiscard]] std::optional<catalogue_delta> deltaSince(std::uint64_t revision) const;

    /** The audit trail, newest record last; limited to @ref auditCapacity records. */
    [[nodiscard]] const std::deque<audit_entry> &audit() const
    {
        return m_audit;
    }

    /** The reason of the latest refusal since the last accepted publication, for the status page; empty if none. */
    [[nodiscard]] const std::string &lastRefusal() const
    {
        return m_lastRefusal;
    }

private:
    struct change_record {
        std::uint64_t revision;
        kind_name kind;
    };

    offer_verdict applyIfNewer(catalogue_document document, std::string_view source, millis now);
    offer_verdict
    refuse(offer_verdict verdict, std::uint64_t revision, std::string_view source, std::string detail, millis now);
    void recordChanges(const catalogue_document &next, std::string_view source, millis now);
    void append(audit_entry entry);

    std::shared_ptr<const catalogue_document> m_current = std::make_shared<catalogue_document>();
    std::deque<change_record> m_history;
    std::uint64_t m_oldestDeltaBase = 0; ///< lowest revision from which a delta can be computed
    std::deque<audit_entry> m_audit;
    std::string m_lastRefusal;
    bool m_refusesOlder;
};

} // namespace chivelock

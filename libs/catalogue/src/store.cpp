#include <catalogue/catalogue.h>

#include <algorithm>
#include <set>

namespace chivelock {

namespace {

std::string entryText(const kind_entry *entry)
{
    if (entry == nullptr) {
        return "absent";
    }
    catalogue_document single;
    single.kinds.push_back(*entry);
    return writeCatalogue(single);
}

} // namespace

std::string_view toString(offer_verdict verdict)
{
    switch (verdict) {
    case offer_verdict::Accepted:
        return "accepted";
    case offer_verdict::AlreadyInForce:
        return "already_in_force";
    case offer_verdict::RefusedInvalid:
        return "refused_invalid";
    case offer_verdict::RefusedOlder:
        return "refused_older";
    case offer_verdict::RefusedConflict:
        return "refused_conflict";
    case offer_verdict::RefusedDelta:
        return "refused_delta";
    }
    return "unknown";
}

offer_verdict catalogue_store::offer(std::string_view text, std::string_view source, millis now)
{
    auto document = readCatalogue(text);
    if (!document) {
        return refuse(offer_verdict::RefusedInvalid, 0, source, toString(document.error()), now);
    }
    return applyIfNewer(*std::move(document), source, now);
}

offer_verdict catalogue_store::offerDelta(const catalogue_delta &delta, std::string_view source, millis now)
{
    if (delta.revision <= m_current->revision) {
        return offer_verdict::AlreadyInForce;
    }
    if (m_current->revision < delta.fromRevision) {
        return offer_verdict::RefusedDelta;
    }
    catalogue_document next = *m_current;
    next.revision = delta.revision;
    std::erase_if(next.kinds, [&delta](const kind_entry &entry) {
        return std::ranges::find(delta.removed, entry.name) != delta.removed.end()
            || std::ranges::find(delta.changed, entry.name, &kind_entry::name) != delta.changed.end();
    });
    next.kinds.insert(next.kinds.end(), delta.changed.begin(), delta.changed.end());
    std::ranges::sort(next.kinds, {}, &kind_entry::name);
    if (contentDigest(next) != delta.digest) {
        return offer_verdict::RefusedDelta;
    }
    return applyIfNewer(std::move(next), source, now);
}

offer_verdict catalogue_store::applyIfNewer(catalogue_document document, std::string_view source, millis now)
{
    if (m_refusesOlder && document.revision < m_current->revision) {
        return refuse(offer_verdict::RefusedOlder,
                      document.revision,
                      source,
                      "in force: " + std::to_string(m_current->revision),
                      now);
    }
    if (document.revision == m_current->revision) {
        const bool sameContent = contentDigest(document) == contentDigest(*m_current);
        return sameContent
            ? offer_verdict::AlreadyInForce
            : refuse(offer_verdict::RefusedConflict, document.revision, source, "same revision, other content", now);
    }
    recordChanges(document, source, now);
    m_current = std::make_shared<catalogue_document>(std::move(document));
    m_lastRefusal.clear();
    return offer_verdict::Accepted;
}

offer_verdict catalogue_store::refuse(
    offer_verdict verdict, std::uint64_t revision, std::string_view source, std::string detail, millis now)
{
    const std::string reason = std::string(toString(verdict)) + " from " + std::string(source) + ": " + detail;
    if (reason == m_lastRefusal) {
        return verdict; // A later read found the same fault again; the audit trail lists it once.
    }
    m_lastRefusal = reason;
    append({now, revision, verdict, std::string(source), {}, {}, {}, {}, std::move(detail)});
    return verdict;
}

void catalogue_store::recordChanges(const catalogue_document &next, std::string_view source, millis now)
{
    std::set<kind_name> names;
    std::ranges::transform(m_current->kinds, std::inserter(names, names.end()), &kind_entry::name);
    std::ranges::transform(next.kinds, std::inserter(names, names.end()), &kind_entry::name);
    append({now,
            next.revision,
            offer_verdict::Accepted,
            std::string(source),
            {},
            {},
            std::to_string(m_current->revision),
            std::to_string(next.revision),
            "publication"});
    for (const kind_name &name : names) {
        const kind_entry *before = m_current->find(name);
        const kind_entry *after = next.find(name);
        if (before != nullptr && after != nullptr && *before == *after) {
            continue;
        }
        m_history.push_back({next.revision, name});
        const std::string &owner = after != nullptr ? after->owner : before->owner;
        append({now,
                next.revision,
                offer_verdict::Accepted,
                std::string(source),
                name.value,
                owner,
                entryText(before),
                entryText(after),
                {}});
    }
    while (m_history.size() > historyCapacity) {
        m_oldestDeltaBase = m_history.front().revision;
        m_history.pop_front();
    }
    // The first publication can have any revision. The changes that led to it are unknown, so no delta can start from a
    // lower revision.
    if (m_current->revision == 0) {
        m_oldestDeltaBase = next.revision;
        m_history.clear();
    }
}

void catalogue_store::append(audit_entry entry)
{
    m_audit.push_back(std::move(entry));
    if (m_audit.size() > auditCapacity) {
        m_audit.pop_front();
    }
}

std::optional<catalogue_delta> catalogue_store::deltaSince(std::uint64_t revision) const
{
    if (revision < m_oldestDeltaBase || revision == 0) {
        return std::nullopt;
    }
    catalogue_delta delta {revision, m_current->revision, contentDigest(*m_current), {}, {}};
    std::set<kind_name> names;
    for (const change_record &record : m_history) {
        if (record.revision > revision) {
            names.insert(record.kind);
        }
    }
    for (const kind_name &name : names) {
        if (const kind_entry *entry = m_current->find(name)) {
            delta.changed.push_back(*entry);
        } else {
            delta.removed.push_back(name);
        }
    }
    return delta;
}

} // namespace chivelock

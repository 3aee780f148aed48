/** @file Lookups of non-idempotent kinds: ticket issue, use of a ticket here or at its issuer, and results. */

#include <entry/entry.h>

#include <xxhash.h>

#include <algorithm>

namespace chivelock {

namespace {

constexpr millis defaultRetryAfter {200};

/** Digest that binds a ticket to the first request that uses it; never 0, which means that no request has used it. */
std::uint64_t requestDigest(const lookup_request &request)
{
    const std::string text = request.kind.value + '\n' + request.shardKey + '\n' + request.body;
    return std::max<std::uint64_t>(1, XXH3_64bits(text.data(), text.size()));
}

std::uint64_t ticketNumberOf(const lookup_request &request)
{
    const std::optional<ticket_parts> parts = parseTicket(request.ticket);
    return parts ? parts->number : 0;
}

} // namespace

void entry_core::handleNonIdempotent(const lookup_request &request,
                                     const kind_entry & /*kind*/,
                                     millis now,
                                     actions &out)
{
    if (request.ticket.empty()) {
        issueTicket(request, now, out);
        return;
    }
    const std::optional<ticket_parts> parts = parseTicket(request.ticket);
    if (!parts) {
        lookup_answer answer = makeAnswer(request, lookup_outcome::NotRun, answer_reason::BadRequest, millis());
        answer.detail = "not a ticket";
        out.emplace_back(caller_answer {request.caller, std::move(answer)});
        return;
    }
    if (parts->issuer == m_settings.self || !m_settings.tickets.checkIssuer) {
        useTicket({request, std::nullopt, 0, now, {}, {}, false}, now, out);
    } else {
        forwardTicketUse(request, parts->issuer, now, out);
    }
}

void entry_core::issueTicket(const lookup_request &request, millis now, actions &out)
{
    const std::optional<std::string> ticket = m_tickets.issue(now);
    const answer_reason refused = m_stopBegan ? answer_reason::Stopping : answer_reason::TicketTableFull;
    lookup_answer answer = makeAnswer(request,
                                      lookup_outcome::NotRun,
                                      ticket ? answer_reason::NeedsTicket : refused,
                                      ticket ? millis() : defaultRetryAfter);
    answer.ticket = ticket.value_or("");
    out.emplace_back(caller_answer {request.caller, std::move(answer)});
}

void entry_core::forwardTicketUse(const lookup_request &request, vm_id issuer, millis now, actions &out)
{
    const std::optional<member_rumour> member = m_members.find(issuer);
    const std::optional<ticket_parts> parts = parseTicket(request.ticket);
    const bool otherIncarnation = member && member->incarnation != 0 && member->incarnation != parts->incarnation;
    const bool lost = !member || otherIncarnation || member->state == member_state::Gone;
    if (lost) {
        // The issuing process is lost, and with it the only record that could prove that the request did not run.
        out.emplace_back(caller_answer {
            request.caller, makeAnswer(request, lookup_outcome::Unknown, answer_reason::IssuerUnreachable, millis())});
        return;
    }
    const std::uint64_t nonce = m_nextNonce++;
    m_forwardedUses.emplace(nonce, forwarded_ticket_use {request, issuer, now, now + request.remaining});
    out.emplace_back(peer_send {issuer,
                                ticket_use {nonce,
                                            request.ticket,
                                            request.kind,
                                            request.requestId,
                                            request.shardKey,
                                            request.body,
                                            request.remaining}});
}

void entry_core::handleTicketUse(vm_id from, const ticket_use &use, millis now, actions &out)
{
    lookup_request request;
    request.requestId = use.requestId;
    request.kind = use.kind;
    request.shardKey = use.shardKey;
    request.body = use.body;
    request.remaining = use.remaining;
    request.ticket = use.ticket;
    useTicket({std::move(request), from, use.nonce, now, {}, {}, false}, now, out);
}

void entry_core::handleTicketAnswer(vm_id from, const ticket_answer &message, millis now, actions &out)
{
    const auto found = m_forwardedUses.find(message.nonce);
    if (found == m_forwardedUses.end() || found->second.issuer != from) {
        return; // Too late: the caller has received an unknown outcome; the issuer keeps the answer for the next use.
    }
    lookup_answer answer = message.answer;
    answer.elapsed = now - found->second.started;
    answer.priority = makeAnswer(found->second.request, answer.outcome, answer.reason, millis()).priority;
    out.emplace_back(caller_answer {found->second.request.caller, std::move(answer)});
    m_forwardedUses.erase(found);
}

void entry_core::useTicket(ticketed_run run, millis now, actions &out)
{
    const std::uint64_t number = ticketNumberOf(run.request);
    const ticket_verdict verdict = m_tickets.use(run.request.ticket, requestDigest(run.request), now);
    switch (verdict) {
    case ticket_verdict::Start:
        startTicketedRun(std::move(run), number, now, out);
        return;
    case ticket_verdict::Done:
        replyToRequester(run, *m_tickets.answerOf(number), now, out);
        return;
    case ticket_verdict::Voided: {
        lookup_answer stored = *m_tickets.answerOf(number);
        const bool voidedBeforeUse = stored.reason == answer_reason::None; // Voided by a planned stop.
        replyToRequester(run,
                         voidedBeforeUse ? makeAnswer(
                             run.request, lookup_outcome::NotRun, answer_reason::Stopping, defaultRetryAfter)
                                         : std::move(stored),
                         now,
                         out);
        return;
    }
    case ticket_verdict::Running:
        replyToRequester(
            run, makeAnswer(run.request, lookup_outcome::Unknown, answer_reason::Running, defaultRetryAfter), now, out);
        return;
    case ticket_verdict::Unknown:
        replyToRequester(
            run, makeAnswer(run.request, lookup_outcome::Unknown, answer_reason::TicketUnknown, millis()), now, out);
        return;
    case ticket_verdict::Mismatch:
        replyToRequester(
            run, makeAnswer(run.request, lookup_outcome::Unknown, answer_reason::TicketMismatch, millis()), now, out);
        return;
    }
}

void entry_core::startTicketedRun(ticketed_run run, std::uint64_t number, millis now, actions &out)
{
    const auto refuseRun = [&](answer_reason reason, millis retryAfter) {
        lookup_answer answer = makeAnswer(run.request, lookup_outcome::NotRun, reason, retryAfter);
        m_tickets.makeVoid(number, answer);
        replyToRequester(run, std::move(answer), now, out);
    };
    const kind_entry *kind = m_catalogue.current()->find(run.request.kind);
    const service_map *map = kind != nullptr && m_topology ? m_topology->findService(kind->service) : nullptr;
    if (map == nullptr) {
        refuseRun(kind == nullptr ? answer_reason::UnknownKind : answer_reason::NoTopology, defaultRetryAfter);
        return;
    }
    if (const std::optional<millis> wait = m_root.limiter().admit(*kind, m_members.listedCount(), now)) {
        refuseRun(answer_reason::KindLimit, *wait);
        return;
    }
    run.snapshot = map->snapshot;
    run.version = map->version;
    at_most_once_request request;
    request.atMostOnceId = number;
    request.requestId = run.request.requestId;
    request.service = kind->service;
    request.shard = shardOfKey(run.request.shardKey, map->shards);
    request.snapshot = map->snapshot;
    request.version = map->version;
    request.priority = kind->priority;
    request.maxRows = kind->maxRows;
    request.body = std::make_shared<std::string>(run.request.body);
    request.deadline = now + std::min(run.request.remaining, kind->hardLimit);
    m_ticketedRuns.emplace(number, std::move(run));
    m_runner.onAtMostOnceRequest(request, now, m_runnerActions);
}

void entry_core::finishTicketedRun(const at_most_once_result &result, millis now, actions &out)
{
    const auto found = m_ticketedRuns.find(result.atMostOnceId);
    const bool waiting = found != m_ticketedRuns.end();
    const lookup_request request = waiting ? found->second.request : lookup_request();
    lookup_outcome outcome = lookup_outcome::Unknown;
    answer_reason reason = answer_reason::Expired;
    if (result.status == shard_status::Ok) {
        outcome = lookup_outcome::Whole;
        reason = answer_reason::None;
    } else if (!result.mayHaveRun) {
        outcome = lookup_outcome::NotRun;
        reason = result.status == shard_status::NoLeaf ? answer_reason::NoLeaf : answer_reason::Overloaded;
    } else if (result.status == shard_status::LeafFailed) {
        reason = answer_reason::LeafsFailed;
    }
    lookup_answer answer =
        makeAnswer(request,
                   outcome,
                   reason,
                   outcome == lookup_outcome::Whole ? millis() : std::max(result.reply.retryAfter, defaultRetryAfter));
    answer.snapshot = result.reply.snapshot;
    answer.version = result.reply.version;
    answer.attempts = result.reply.attempts;
    if (outcome == lookup_outcome::Whole) {
        answer.covered = {result.reply.shard};
        answer.rows = result.reply.rows;
    } else {
        answer.missing = {{result.reply.shard, reason}};
    }
    if (outcome == lookup_outcome::Whole) {
        m_tickets.finish(result.atMostOnceId, answer);
    } else if (outcome == lookup_outcome::NotRun) {
        // Voided before the "not run" answer leaves this process, so that no later use of the ticket can start it.
        m_tickets.makeVoid(result.atMostOnceId, answer);
    }
    if (waiting) {
        answer.elapsed = now - found->second.started;
        m_root.limiter().release(request.kind);
        replyToRequester(found->second, std::move(answer), now, out);
        m_ticketedRuns.erase(found);
    }
}

void entry_core::replyToRequester(const ticketed_run &run, lookup_answer answer, millis /*now*/, actions &out)
{
    answer.requestId = run.request.requestId;
    answer.kind = run.request.kind;
    if (run.requester) {
        out.emplace_back(peer_send {*run.requester, ticket_answer {run.nonce, std::move(answer)}});
    } else {
        out.emplace_back(caller_answer {run.request.caller, std::move(answer)});
    }
}

void entry_core::failForwardedUses(std::optional<vm_id> issuer, millis now, actions &out)
{
    std::erase_if(m_forwardedUses, [&](const auto &item) {
        const forwarded_ticket_use &forward = item.second;
        const bool lost = issuer && forward.issuer == *issuer;
        const bool late = now >= forward.deadline;
        if (lost || late) {
            const answer_reason reason = lost ? answer_reason::IssuerUnreachable : answer_reason::Expired;
            out.emplace_back(
                caller_answer {forward.request.caller,
                               makeAnswer(forward.request, lookup_outcome::Unknown, reason, defaultRetryAfter)});
        }
        return lost || late;
    });
}

lookup_answer entry_core::makeAnswer(const lookup_request &request,
                                     lookup_outcome outcome,
                                     answer_reason reason,
                                     millis retryAfter) const
{
    lookup_answer answer;
    answer.requestId = request.requestId;
    answer.kind = request.kind;
    const kind_entry *kind = m_catalogue.current()->find(request.kind);
    answer.priority = kind != nullptr ? kind->priority : urgency::Ordinary;
    answer.outcome = outcome;
    answer.reason = reason;
    answer.catalogueRevision = m_catalogue.current()->revision;
    answer.retryAfter = retryAfter;
    return answer;
}

} // namespace chivelock

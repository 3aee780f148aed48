#include <entry/entry.h>

#include <algorithm>

namespace chivelock {

namespace {

constexpr millis minPullInterval {100}; ///< between two pulls, so that a burst of heartbeats causes a single pull
constexpr millis expiredRetryAfter {100};

} // namespace

std::string_view toString(readiness value)
{
    switch (value) {
    case readiness::Ready:
        return "ready";
    case readiness::NoCatalogue:
        return "no_catalogue";
    case readiness::NoTopology:
        return "no_topology";
    case readiness::NoVmList:
        return "no_vm_list";
    case readiness::AskingPeers:
        return "asking_peers";
    case readiness::Stopping:
        return "stopping";
    }
    return "unknown";
}

entry_core::entry_core(entry_settings settings)
    : m_settings(std::move(settings))
    , m_members(m_settings.self, m_settings.incarnation, m_settings.members, m_settings.seed)
    , m_catalogue(m_settings.refuseOlderCatalogue)
    , m_runner(m_settings.runner, m_settings.seed + 1)
    , m_root(m_settings.self, m_settings.incarnation, m_settings.root, m_settings.seed + 2, m_settings.guards)
    , m_tickets(m_settings.self, m_settings.incarnation, m_settings.ticketKey, m_settings.tickets)
{
}

void entry_core::onLookup(const lookup_request &request, millis now, actions &out)
{
    if (request.remaining <= millis()) {
        // The caller's deadline passed while the request was queued or during a process pause: it is not run.
        out.emplace_back(caller_answer {
            request.caller,
            makeAnswer(request, outcomeOfRefusal(!request.ticket.empty()), answer_reason::Expired, expiredRetryAfter)});
        return;
    }
    const kind_entry *kind = m_catalogue.current()->find(request.kind);
    if (kind != nullptr && kind->shards == fan_out::ByKey && request.shardKey.empty()) {
        lookup_answer answer =
            makeAnswer(request, outcomeOfRefusal(!request.ticket.empty()), answer_reason::BadRequest, millis());
        answer.detail = "this kind needs a key";
        out.emplace_back(caller_answer {request.caller, std::move(answer)});
        return;
    }
    if (kind != nullptr && !kind->repeatable) {
        handleNonIdempotent(request, *kind, now, out);
    } else {
        m_root.submit(request, m_members, now, m_rootActions);
    }
    runPendingActions(now, out);
}

/** Dispatches each type of peer message to the component that handles it. */
struct entry_core::message_handler {
    entry_core &core;
    vm_id from;
    millis now;
    actions &out;

    void operator()(const heartbeat &message) const
    {
        core.handleHeartbeat(message, now, out);
    }

    void operator()(const run_shards &message) const
    {
        core.m_runner.onRun(from, message, now, core.m_runnerActions);
    }

    void operator()(const run_accepted &message) const
    {
        core.m_root.onAccepted(from, message, now);
    }

    void operator()(const run_probe &message) const
    {
        core.m_runner.onProbe(from, message, core.m_runnerActions);
    }

    void operator()(const run_cancel &message) const
    {
        core.m_runner.onCancel(message, now, core.m_runnerActions);
    }

    void operator()(const shard_reply &message) const
    {
        core.m_root.onReply(from, message, core.m_members, now, core.m_rootActions);
    }

    void operator()(const ticket_use &message) const
    {
        core.handleTicketUse(from, message, now, out);
    }

    void operator()(const ticket_answer &message) const
    {
        core.handleTicketAnswer(from, message, now, out);
    }

    void operator()(const catalogue_pull &message) const
    {
        core.handlePull(from, message, now, out);
    }

    void operator()(const catalogue_push &message) const
    {
        core.handlePush(from, message, now, out);
    }
};

void entry_core::onPeer(const peer_envelope &envelope, millis now, actions &out)
{
    std::visit(message_handler {*this, envelope.from, now, out}, envelope.message);
    runPendingActions(now, out);
}

void entry_core::onPeerUnreachable(vm_id vm, millis now, actions &out)
{
    m_members.onUnreachable(vm, now);
    m_root.onUnreachable(vm, m_members, now, m_rootActions);
    failForwardedUses(vm, now, out);
    runPendingActions(now, out);
}

void entry_core::onLeafReply(const leaf_reply &reply, millis now, actions &out)
{
    m_runner.onLeafReply(reply, now, m_runnerActions);
    runPendingActions(now, out);
}

void entry_core::onHealth(const health_report &report, millis now, actions &out)
{
    m_runner.onHealth(report, now, m_runnerActions);
    runPendingActions(now, out);
}

void entry_core::onCatalogueText(std::string_view text, millis now, actions &out)
{
    onCatalogueOffered(m_catalogue.offer(text, "platform", now), out);
}

void entry_core::onTopologyText(std::string_view text, millis now, actions &out)
{
    auto document = readTopology(text);
    if (!document) {
        const std::string reason = toString(document.error());
        if (reason != m_topologyRefusal) {
            out.emplace_back(publication_verdict {"topology", "refused_invalid", reason});
        }
        m_topologyRefusal = reason;
        return;
    }
    m_topologyRefusal.clear();
    const bool newer = !m_topology || document->revision > m_topology->revision;
    if (!newer) {
        return;
    }
    m_topology = std::make_shared<const topology_document>(*std::move(document));
    out.emplace_back(publication_verdict {"topology", "accepted", std::to_string(m_topology->revision)});
    m_runner.onTopology(m_topology);
    m_root.onTopology(m_topology, now, m_rootActions);
    runPendingActions(now, out);
}

void entry_core::onVmListText(std::string_view text, millis /*now*/, actions &out)
{
    auto document = readVmList(text);
    if (!document) {
        const std::string reason = toString(document.error());
        if (reason != m_vmListRefusal) {
            out.emplace_back(publication_verdict {"vm_list", "refused_invalid", reason});
        }
        m_vmListRefusal = reason;
        return;
    }
    m_vmListRefusal.clear();
    if (document->revision <= m_vmList.revision) {
        return;
    }
    m_vmList = *std::move(document);
    out.emplace_back(publication_verdict {"vm_list", "accepted", std::to_string(m_vmList.revision)});
    m_members.onVmList(m_vmList);
}

void entry_core::tick(millis now, actions &out)
{
    if (!m_startedAt) {
        m_startedAt = now;
    }
    m_lastTick = now;
    for (outgoing_heartbeat &send : m_members.tick(revisions(), now)) {
        out.emplace_back(peer_send {send.to, std::move(send.message)});
    }
    updateOwnedLeafs();
    m_runner.tick(now, m_runnerActions);
    m_root.tick(m_members, now, m_rootActions);
    failForwardedUses(std::nullopt, now, out);
    m_tickets.eraseExpired(now);
    runPendingActions(now, out);
    advanceStop(now, out);
}

millis entry_core::nextWake() const
{
    constexpr millis maxTickInterval {20}; ///< membership, probes and the stop are checked at least this often
    return std::min({m_root.nextTimer(), m_runner.nextTimer(), m_lastTick + maxTickInterval});
}

void entry_core::beginStop(millis now, actions &out)
{
    if (m_stopBegan) {
        return;
    }
    m_stopBegan = now;
    m_tickets.stop();
    m_members.startLeaving();
    for (const member_rumour &member : m_members.members()) {
        if (member.vm != m_settings.self && member.state != member_state::Gone) {
            heartbeat message;
            message.self = m_members.members().front();
            message.catalogueRevision = revisions().catalogue;
            message.topologyRevision = revisions().topology;
            out.emplace_back(peer_send {member.vm, std::move(message)});
        }
    }
}

entry_status entry_core::status(millis now) const
{
    entry_status status;
    status.self = m_settings.self;
    status.incarnation = m_settings.incarnation;
    status.catalogueRevision = m_catalogue.current()->revision;
    status.topologyRevision = m_topology ? m_topology->revision : 0;
    status.vmListRevision = m_vmList.revision;
    status.catalogueRefusal = m_catalogue.lastRefusal();
    status.topologyRefusal = m_topologyRefusal;
    status.members = m_members.members();
    status.lookupsInFlight = m_root.inFlight() + m_ticketedRuns.size();
    status.shardsInHand = m_runner.taskCount();
    status.leafRequests = m_runner.callCount();
    status.tickets = m_tickets.size();
    status.receivedPeerHeartbeat = m_receivedHeartbeat;
    const bool isOnlyMember = status.members.size() == 1;
    const bool peerRevisionTimedOut = m_startedAt && now - *m_startedAt >= m_settings.peerRevisionTimeout;
    if (m_stopBegan) {
        status.ready = readiness::Stopping;
    } else if (m_vmList.revision == 0) {
        status.ready = readiness::NoVmList;
    } else if (!m_topology) {
        status.ready = readiness::NoTopology;
    } else if (!m_receivedHeartbeat && !isOnlyMember && !peerRevisionTimedOut) {
        status.ready = readiness::AskingPeers;
    } else if (status.catalogueRevision == 0) {
        status.ready = readiness::NoCatalogue;
    }
    return status;
}

void entry_core::runPendingActions(millis now, actions &out)
{
    // Root and runner of this process may each produce actions for the other; the loop ends when neither has any left.
    while (!m_rootActions.empty() || !m_runnerActions.empty()) {
        applyRootActions(now, out);
        applyRunnerActions(now, out);
    }
}

void entry_core::applyRootActions(millis now, actions &out)
{
    const root_engine::actions pending = std::exchange(m_rootActions, {});
    for (const root_action &action : pending) {
        if (const auto *send = std::get_if<peer_send>(&action)) {
            sendPeer(send->to, send->message, now, out);
        } else if (const auto *answer = std::get_if<caller_answer>(&action)) {
            out.emplace_back(*answer);
        } else {
            out.emplace_back(topology_refresh {});
        }
    }
}

void entry_core::applyRunnerActions(millis now, actions &out)
{
    runner_engine::actions pending = std::exchange(m_runnerActions, {});
    for (runner_action &action : pending) {
        if (auto *call = std::get_if<leaf_call>(&action)) {
            out.emplace_back(std::move(*call));
        } else if (const auto *cancel = std::get_if<leaf_cancel>(&action)) {
            out.emplace_back(*cancel);
        } else if (const auto *probe = std::get_if<leaf_probe>(&action)) {
            out.emplace_back(*probe);
        } else if (auto *reply = std::get_if<runner_reply>(&action)) {
            sendPeer(reply->to, std::move(reply->reply), now, out);
        } else if (const auto *accept = std::get_if<runner_accept>(&action)) {
            sendPeer(accept->to, accept->accepted, now, out);
        } else if (const auto *leaving = std::get_if<leaving_leaf_report>(&action)) {
            m_members.announceLeavingLeaf(leaving->leaf);
        } else if (const auto *result = std::get_if<at_most_once_result>(&action)) {
            finishTicketedRun(*result, now, out);
        }
    }
}

void entry_core::sendPeer(vm_id to, peer_message message, millis now, actions &out)
{
    if (to == m_settings.self) {
        deliverToSelf(message, now);
    } else {
        out.emplace_back(peer_send {to, std::move(message)});
    }
}

void entry_core::deliverToSelf(const peer_message &message, millis now)
{
    actions unused;
    std::visit(message_handler {*this, m_settings.self, now, unused}, message);
}

void entry_core::handleHeartbeat(const heartbeat &message, millis now, actions &out)
{
    m_receivedHeartbeat = true;
    if (std::optional<outgoing_heartbeat> ack = m_members.onHeartbeat(message, revisions(), now)) {
        out.emplace_back(peer_send {ack->to, std::move(ack->message)});
    }
    std::ranges::for_each(message.leavingLeafs, [this](leaving_leaf leaf) { m_runner.onLeaving(leaf); });
    if (message.catalogueRevision > m_catalogue.current()->revision) {
        pullFrom(message.self.vm, m_catalogue.current()->revision, now, out);
    }
}

void entry_core::pullFrom(vm_id peer, std::uint64_t haveRevision, millis now, actions &out)
{
    if (now >= m_nextPull) {
        m_nextPull = now + minPullInterval;
        out.emplace_back(peer_send {peer, catalogue_pull {haveRevision}});
    }
}

void entry_core::handlePull(vm_id from, const catalogue_pull &pull, millis /*now*/, actions &out)
{
    if (m_catalogue.current()->revision <= pull.haveRevision) {
        return;
    }
    const std::optional<catalogue_delta> delta = m_catalogue.deltaSince(pull.haveRevision);
    const std::string text = delta ? writeDelta(*delta) : writeCatalogue(*m_catalogue.current());
    out.emplace_back(peer_send {from, catalogue_push {text, delta.has_value()}});
}

void entry_core::handlePush(vm_id from, const catalogue_push &push, millis now, actions &out)
{
    const std::string source = "vm-" + std::to_string(from.value);
    if (!push.isDelta) {
        onCatalogueOffered(m_catalogue.offer(push.document, source, now), out);
        return;
    }
    const auto delta = readDelta(push.document);
    const offer_verdict verdict = delta ? m_catalogue.offerDelta(*delta, source, now) : offer_verdict::RefusedDelta;
    onCatalogueOffered(verdict, out);
    if (verdict == offer_verdict::RefusedDelta) {
        // This store reached its revision by other changes than the peer did, so that the delta does not apply: pull
        // the full document.
        out.emplace_back(peer_send {from, catalogue_pull {0}});
    }
}

void entry_core::onCatalogueOffered(offer_verdict verdict, actions &out)
{
    if (verdict == offer_verdict::AlreadyInForce) {
        return;
    }
    const bool accepted = verdict == offer_verdict::Accepted;
    const std::string detail = accepted ? std::to_string(m_catalogue.current()->revision) : m_catalogue.lastRefusal();
    out.emplace_back(publication_verdict {"catalogue", std::string(toString(verdict)), detail});
    if (accepted) {
        m_root.onCatalogue(m_catalogue.current());
    }
}

void entry_core::updateOwnedLeafs()
{
    if (!m_topology || (m_ownedEpoch == m_members.epoch() && m_ownedTopology == m_topology->revision)) {
        return;
    }
    m_ownedEpoch = m_members.epoch();
    m_ownedTopology = m_topology->revision;
    std::vector<leaf_id> owned;
    for (const service_map &service : m_topology->services) {
        const std::vector<vm_id> owners = assignShards(service.name, service.shards, m_members.runners());
        for (std::size_t index = 0; index < owners.size(); ++index) {
            if (owners[index] == m_settings.self) {
                owned.insert(owned.end(), service.shards[index].leafs.begin(), service.shards[index].leafs.end());
            }
        }
    }
    std::ranges::sort(owned);
    m_runner.setOwnedLeafs(owned);
}

own_revisions entry_core::revisions() const
{
    return {m_catalogue.current()->revision, m_topology ? m_topology->revision : 0};
}

void entry_core::advanceStop(millis now, actions &out)
{
    if (!m_stopBegan || m_stopEnded) {
        return;
    }
    const bool idle =
        m_root.inFlight() == 0 && m_runner.taskCount() == 0 && m_ticketedRuns.empty() && m_forwardedUses.empty();
    const bool lameDuckOver = now - *m_stopBegan >= m_settings.lameDuck;
    const bool stopLimitReached = now - *m_stopBegan >= m_settings.stopLimit;
    if (stopLimitReached && !idle) {
        m_root.finishAllLookups(now, m_rootActions);
        for (auto &[number, run] : m_ticketedRuns) {
            replyToRequester(
                run, makeAnswer(run.request, lookup_outcome::Unknown, answer_reason::Stopping, millis()), now, out);
        }
        m_ticketedRuns.clear();
        runPendingActions(now, out);
    }
    if (stopLimitReached || (lameDuckOver && idle)) {
        m_stopEnded = true;
        out.emplace_back(stop_finished {});
    }
}

} // namespace chivelock

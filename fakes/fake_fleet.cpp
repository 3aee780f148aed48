#include "fake_fleet.h"

#include <algorithm>

namespace chivelock::fakes {

namespace {

constexpr millis platformPollInterval {500};
constexpr millis platformWatchDelay {2};

/** As in the daemon, a call without a reply has failed when this time has passed after its deadline. */
constexpr millis replyTimeoutPastDeadline {100};

vm_id vmOf(std::size_t entry)
{
    return {static_cast<std::uint32_t>(entry + 1)};
}

std::size_t entryOf(vm_id vm)
{
    return vm.value - 1;
}

} // namespace

fake_fleet::fake_fleet(fleet_options options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_documents {{platform_name::VmList, m_options.vms},
                   {platform_name::Topology, m_options.topology},
                   {platform_name::Catalogue, m_options.catalogue}}
{
    const auto topology = readTopology(m_options.topology);
    require(topology.has_value(), "the fake fleet needs a valid topology document");
    for (const leaf_info &info : topology->leafs) {
        m_leafs.emplace(
            info.id,
            std::make_unique<fake_leaf>(m_time, info, m_ledger, m_options.draw, m_options.seed + info.id.value));
    }
    for (const service_map &service : topology->services) {
        for (const shard_info &shard : service.shards) {
            std::ranges::for_each(shard.leafs, [&](leaf_id id) { leaf(id).hold(service.snapshot, service.version); });
        }
    }
    m_nodes.resize(m_options.entries);
    for (std::size_t entry = 0; entry < m_options.entries; ++entry) {
        startEntry(entry);
    }
}

std::size_t fake_fleet::ask(std::size_t entry, lookup_request request)
{
    const std::size_t caller = m_callers.size();
    request.caller = caller;
    m_callers.push_back({entry, m_nodes.at(entry).incarnation, request, m_time.now(), std::nullopt, {}, false});
    if (!isUp(entry)) {
        m_callers.back().connectionLost = true;
        return caller;
    }
    const millis arrived = m_time.now();
    deliver(entry,
            m_nodes.at(entry).incarnation,
            [request, arrived](entry_core &core, millis now, entry_core::actions &out) mutable {
                request.remaining = request.remaining - (now - arrived);
                core.onLookup(request, now, out);
            });
    return caller;
}

void fake_fleet::killEntry(std::size_t entry)
{
    node &killed = m_nodes.at(entry);
    if (killed.core == nullptr) {
        return;
    }
    killed.core.reset();
    killed.frozen = false;
    killed.pendingInputs.clear();
    killed.heldActions.clear();
    killed.openCalls.clear();
    for (caller_record &caller : m_callers) {
        caller.connectionLost = caller.connectionLost
            || (caller.entry == entry && caller.entryIncarnation == killed.incarnation && caller.answers.empty());
    }
    for (std::size_t other = 0; other < m_nodes.size(); ++other) {
        // The operating system resets the connections of a killed process, so its peers notice after one network delay
        // unless the network is cut.
        if (other != entry && isUp(other) && !m_cuts.contains({entry, other})) {
            m_time.after(m_options.hop, [this, other, entry, incarnation = m_nodes[other].incarnation] {
                deliver(other, incarnation, [entry](entry_core &core, millis now, entry_core::actions &out) {
                    core.onPeerUnreachable(vmOf(entry), now, out);
                });
            });
        }
    }
}

void fake_fleet::startEntry(std::size_t entry)
{
    node &started = m_nodes.at(entry);
    const std::uint64_t incarnation = started.incarnation + 1;
    started = node();
    started.incarnation = incarnation;
    entry_settings settings = m_options.entry;
    settings.self = vmOf(entry);
    settings.incarnation = incarnation;
    settings.seed = m_options.seed * 1000 + entry * 10 + incarnation;
    settings.ticketKey = "secret-" + std::to_string(settings.seed);
    started.core = std::make_unique<entry_core>(settings);
    readPlatform(entry);
    scheduleTick(entry);
}

void fake_fleet::freezeEntry(std::size_t entry)
{
    m_nodes.at(entry).frozen = isUp(entry);
}

void fake_fleet::wakeEntry(std::size_t entry)
{
    node &woken = m_nodes.at(entry);
    if (!woken.frozen) {
        return;
    }
    woken.frozen = false;
    // Carries out the actions that were decided before the pause first, then handles the input that arrived during it.
    // This order is the most likely to send outdated requests.
    executeActions(entry, std::exchange(woken.heldActions, {}));
    const std::vector<input> pendingInputs = std::exchange(woken.pendingInputs, {});
    std::ranges::for_each(pendingInputs, [&](const input &event) { deliver(entry, woken.incarnation, event); });
    scheduleTick(entry);
}

void fake_fleet::stopEntry(std::size_t entry)
{
    if (isUp(entry)) {
        deliver(entry, m_nodes.at(entry).incarnation, [](entry_core &core, millis now, entry_core::actions &out) {
            core.beginStop(now, out);
        });
    }
}

void fake_fleet::cut(std::size_t from, std::size_t to, bool isCut)
{
    if (isCut) {
        m_cuts.insert({from, to});
    } else {
        m_cuts.erase({from, to});
    }
}

void fake_fleet::publish(platform_name name, const std::string &text)
{
    m_documents[name] = text;
    if (m_platformUp) {
        for (std::size_t entry = 0; entry < m_nodes.size(); ++entry) {
            // Entries receive a change at different times, as with separate watch requests to the platform.
            const millis delay = platformWatchDelay * static_cast<double>(entry + 1);
            m_time.after(delay, [this, entry] {
                if (m_platformUp && isUp(entry)) {
                    readPlatform(entry);
                }
            });
        }
    }
}

void fake_fleet::setPlatformUp(bool up)
{
    m_platformUp = up;
    for (std::size_t entry = 0; up && entry < m_nodes.size(); ++entry) {
        m_time.after(platformPollInterval, [this, entry] {
            if (m_platformUp && isUp(entry)) {
                readPlatform(entry);
            }
        });
    }
}

void fake_fleet::readPlatform(std::size_t entry)
{
    if (!m_platformUp) {
        m_time.after(platformPollInterval, [this, entry, incarnation = m_nodes.at(entry).incarnation] {
            if (isUp(entry) && m_nodes.at(entry).incarnation == incarnation) {
                readPlatform(entry);
            }
        });
        return;
    }
    deliver(entry,
            m_nodes.at(entry).incarnation,
            [documents = m_documents](entry_core &core, millis now, entry_core::actions &out) {
                core.onVmListText(documents.at(platform_name::VmList), now, out);
                core.onTopologyText(documents.at(platform_name::Topology), now, out);
                core.onCatalogueText(documents.at(platform_name::Catalogue), now, out);
            });
}

void fake_fleet::deliver(std::size_t entry, std::uint64_t incarnation, input event)
{
    node &target = m_nodes.at(entry);
    if (target.core == nullptr || target.incarnation != incarnation) {
        return;
    }
    if (target.frozen) {
        target.pendingInputs.push_back(std::move(event));
        return;
    }
    entry_core::actions actions;
    event(*target.core, m_time.now(), actions);
    const std::uint64_t revision = target.core->catalogue().current()->revision;
    m_revisionRegressions += revision < target.highestRevision ? 1 : 0;
    target.highestRevision = std::max(target.highestRevision, revision);
    ++m_steps;
    if (onStep) {
        onStep(); // This callback may freeze the entry; its actions are then held back until the entry wakes.
    }
    node &current = m_nodes.at(entry);
    if (current.core == nullptr || current.incarnation != incarnation) {
        return;
    }
    if (current.frozen) {
        std::ranges::move(actions, std::back_inserter(current.heldActions));
        return;
    }
    executeActions(entry, actions);
    scheduleTick(entry);
}

void fake_fleet::scheduleTick(std::size_t entry)
{
    node &target = m_nodes.at(entry);
    if (target.core == nullptr || target.frozen) {
        return;
    }
    const millis wanted = std::max(target.core->nextWake(), m_time.now());
    if (target.tickAt <= wanted) {
        return;
    }
    target.tickAt = wanted;
    const std::uint64_t serial = ++target.tickSerial;
    m_time.at(wanted, [this, entry, serial, incarnation = target.incarnation] {
        node &due = m_nodes.at(entry);
        if (due.incarnation != incarnation || due.tickSerial != serial) {
            return;
        }
        due.tickAt = millis::never();
        if (!due.frozen) {
            deliver(entry, incarnation, [](entry_core &core, millis now, entry_core::actions &out) {
                core.tick(now, out);
            });
        }
    });
}

/** Carries out one action of an entry on the fakes. */
struct fake_fleet::action_handler {
    fake_fleet &fleet;
    std::size_t entry;

    void operator()(const peer_send &action) const
    {
        fleet.sendPeer(entry, action);
    }

    void operator()(const caller_answer &action) const
    {
        fleet.recordAnswer(entry, action);
    }

    void operator()(const leaf_call &action) const
    {
        fleet.sendCall(entry, action);
    }

    void operator()(const leaf_cancel &action) const
    {
        fleet.sendCancel(entry, action);
    }

    void operator()(const leaf_probe &action) const
    {
        fleet.sendProbe(entry, action);
    }

    void operator()(const topology_refresh & /*action*/) const
    {
    }
    void operator()(const publication_verdict & /*action*/) const
    {
    }

    void operator()(const stop_finished & /*action*/) const
    {
        fleet.m_nodes.at(entry).ended = true;
        fleet.killEntry(entry);
    }
};

void fake_fleet::executeActions(std::size_t entry, const entry_core::actions &actions)
{
    for (const entry_action &action : actions) {
        std::visit(action_handler {*this, entry}, action);
    }
}

void fake_fleet::sendPeer(std::size_t from, const peer_send &send)
{
    ++m_peerMessages;
    const std::size_t to = entryOf(send.to);
    if (to >= m_nodes.size() || m_cuts.contains({from, to})) {
        return; // The frame is lost and the sender gets no error, as in a partitioned network.
    }
    if (!isUp(to)) {
        const std::uint64_t incarnation = m_nodes.at(from).incarnation;
        m_time.after(m_options.hop * 2, [this, from, to, incarnation] {
            deliver(from, incarnation, [to](entry_core &core, millis now, entry_core::actions &out) {
                core.onPeerUnreachable(vmOf(to), now, out);
            });
        });
        return;
    }
    peer_envelope envelope {vmOf(from), send.message};
    if (m_options.throughCodec) {
        const std::string frame = encodeFrame(envelope.from, envelope.message);
        m_peerBytes += frame.size();
        const std::span bytes(reinterpret_cast<const std::uint8_t *>(frame.data()), frame.size());
        envelope = *decodePayload(bytes.subspan(framePrefixBytes));
    }
    const auto shared = std::make_shared<const peer_envelope>(std::move(envelope));
    const auto arrive = [this, to, incarnation = m_nodes.at(to).incarnation, shared] {
        deliver(to, incarnation, [shared](entry_core &core, millis now, entry_core::actions &out) {
            core.onPeer(*shared, now, out);
        });
    };
    constexpr millis duplicateDelay {3};
    constexpr double maxExtraDelayMs = 5;
    const millis extraDelay(networkFaults.reorderFrames ? m_random.uniform() * maxExtraDelayMs : 0);
    m_time.after(m_options.hop + extraDelay, arrive);
    if (networkFaults.duplicateFrames) {
        m_time.after(m_options.hop + duplicateDelay, arrive);
    }
}

void fake_fleet::sendCall(std::size_t entry, const leaf_call &call)
{
    const std::uint64_t incarnation = m_nodes.at(entry).incarnation;
    if (m_options.checkNotAfter && m_time.now() > call.notAfter) {
        leaf_reply notSent;
        notSent.id = call.id;
        notSent.shard = call.shard;
        notSent.status = call_status::NotSent;
        m_time.after(millis(), [this, entry, incarnation, notSent] {
            deliver(entry, incarnation, [notSent](entry_core &core, millis now, entry_core::actions &out) {
                core.onLeafReply(notSent, now, out);
            });
        });
        return;
    }
    const std::uint64_t serial = m_nextSerial++;
    m_nodes.at(entry).openCalls[call.id] = serial;
    m_time.after(m_options.hop, [this, entry, incarnation, call, serial] {
        leaf(call.leaf).receive({serial, call, [this, entry, incarnation](leaf_reply reply) {
                                     m_time.after(m_options.hop, [this, entry, incarnation, reply = std::move(reply)] {
                                         completeCall(entry, incarnation, reply);
                                     });
                                 }});
    });
    leaf_reply timeoutReply;
    timeoutReply.id = call.id;
    timeoutReply.shard = call.shard;
    timeoutReply.status = call_status::Failed;
    m_time.at(call.deadline + replyTimeoutPastDeadline,
              [this, entry, incarnation, timeoutReply] { completeCall(entry, incarnation, timeoutReply); });
}

void fake_fleet::completeCall(std::size_t entry, std::uint64_t incarnation, leaf_reply reply)
{
    node &target = m_nodes.at(entry);
    if (target.core == nullptr || target.incarnation != incarnation || target.openCalls.erase(reply.id) == 0) {
        return;
    }
    deliver(entry, incarnation, [reply = std::move(reply)](entry_core &core, millis now, entry_core::actions &out) {
        core.onLeafReply(reply, now, out);
    });
}

void fake_fleet::sendCancel(std::size_t entry, const leaf_cancel &cancel)
{
    const auto open = m_nodes.at(entry).openCalls.find(cancel.id);
    if (open != m_nodes.at(entry).openCalls.end()) {
        m_time.after(m_options.hop, [this, id = cancel.leaf, serial = open->second] { leaf(id).cancel(serial); });
    }
}

void fake_fleet::sendProbe(std::size_t entry, const leaf_probe &probe)
{
    const std::uint64_t incarnation = m_nodes.at(entry).incarnation;
    m_time.after(m_options.hop, [this, entry, incarnation, probe] {
        health_report report = leaf(probe.leaf).health();
        report.askedAt = probe.askedAt;
        m_time.after(m_options.hop, [this, entry, incarnation, report] {
            deliver(entry, incarnation, [report](entry_core &core, millis now, entry_core::actions &out) {
                core.onHealth(report, now, out);
            });
        });
    });
}

void fake_fleet::recordAnswer(std::size_t entry, const caller_answer &answer)
{
    caller_record &caller = m_callers.at(answer.caller);
    require(caller.entry == entry, "an entry answered a caller that is connected to another entry");
    caller.answers.push_back(answer.answer);
    caller.answeredAt = m_time.now();
    if (onAnswer) {
        onAnswer(caller);
    }
}

} // namespace chivelock::fakes

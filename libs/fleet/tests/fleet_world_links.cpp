#include "fleet_world.h"

#include <algorithm>

namespace chivelock::testing {

millis fleet_world::occupyLink(std::size_t from, std::size_t bytes)
{
    simulated_process &process = m_processes[from];
    process.linkFreeAt =
        std::max(process.linkFreeAt, m_now) + millis(static_cast<double>(bytes) / m_settings.linkBytesPerMs);
    return process.linkFreeAt + m_settings.oneWayDelay;
}

void fleet_world::perform(std::size_t index, const dial_action &action)
{
    ++connectionAttempts;
    for (std::size_t to = 0; to < m_processes.size(); ++to) {
        if (addressOf(to) != action.address) {
            continue;
        }
        if (isPartitioned(index, to) || m_processes[to].paused) {
            failLinkLater(index, action.link, millis(300));
        } else if (!m_processes[to].node) {
            failLinkLater(index, action.link, connectionRefusedDelay);
        } else {
            connect(index, action.link, to);
        }
        return;
    }
}

void fleet_world::failLinkLater(std::size_t index, link_id link, millis after)
{
    const std::uint64_t incarnation = m_processes[index].incarnation;
    schedule(m_now + after, [this, index, link, incarnation] {
        if (isRunning(index, incarnation)) {
            m_processes[index].node->onLinkClosed(link, m_now);
            performActions(index);
        }
    });
}

void fleet_world::connect(std::size_t index, link_id link, std::size_t to)
{
    const link_id incoming = firstIncomingLink + m_nextIncomingLink++;
    m_linkEnds[{index, link}] = {to, incoming, false};
    m_linkEnds[{to, incoming}] = {index, link, false};
    runOnProcessor(to, 0, [] {}); // accepting the connection takes processor time
    schedule(m_now + m_settings.oneWayDelay * 2, [this, index, link] {
        if (m_linkEnds.contains({index, link})) {
            m_linkEnds[{index, link}].open = true;
            runOnProcessor(index, 0, [this, index, link] { m_processes[index].node->onLinkOpen(link, m_now); });
        }
    });
}

void fleet_world::perform(std::size_t index, const send_message_action &action)
{
    fleet_message message = action.message;
    if (auto *items = std::get_if<store_items>(&message)) {
        corruptItems(*items);
    }
    const std::string frame = encodeFleetFrame(message);
    const bool hasItems = std::holds_alternative<store_items>(message);
    for (const link_id link : action.links) {
        if (hasItems && (closesLinksAtItems || !addUnsent(index, link, frame.size()))) {
            breakLink(index, link);
        } else {
            sendFrame(index, link, frame);
        }
    }
}

/** @return false if the link now holds more than a link may. What it holds leaves it as its bandwidth allows. */
bool fleet_world::addUnsent(std::size_t index, link_id link, std::size_t bytes)
{
    const auto end = m_linkEnds.find({index, link});
    if (end == m_linkEnds.end()) {
        return true;
    }
    end->second.unsentBytes += bytes;
    schedule(std::max(m_now, m_processes[index].linkFreeAt), [this, index, link] {
        if (const auto sent = m_linkEnds.find({index, link}); sent != m_linkEnds.end()) {
            sent->second.unsentBytes = 0;
        }
    });
    return end->second.unsentBytes <= maxUnsentBytes;
}

/** Closes a link for what was sent on it, and reports that to both ends. */
void fleet_world::breakLink(std::size_t index, link_id link)
{
    if (!m_linkEnds.contains({index, link})) {
        return;
    }
    brokenLinks += 1;
    closeLink(index, link);
    failLinkLater(index, link, millis());
}

void fleet_world::sendFrame(std::size_t index, link_id link, const std::string &frame)
{
    const auto end = m_linkEnds.find({index, link});
    if (end == m_linkEnds.end()) {
        return;
    }
    const link_end receiver = end->second;
    crossZoneBytes += zoneOf(index) == zoneOf(receiver.peer) ? 0 : frame.size();
    if (isPartitioned(index, receiver.peer)) {
        return;
    }
    schedule(occupyLink(index, frame.size()), [this, receiver, frame] {
        if (!m_linkEnds.contains({receiver.peer, receiver.peerLink})) {
            return;
        }
        runOnProcessor(receiver.peer, frame.size(), [this, receiver, frame] {
            const std::vector<std::uint8_t> payload(frame.begin() + 4, frame.end());
            auto message = decodeFleetPayload(payload);
            if (message) {
                m_processes[receiver.peer].node->onMessage(receiver.peerLink, *std::move(message), m_now);
            } else {
                breakLink(receiver.peer, receiver.peerLink);
            }
        });
    });
}

void fleet_world::perform(std::size_t index, const close_link_action &action)
{
    closeLink(index, action.link);
}

void fleet_world::closeLink(std::size_t index, link_id link)
{
    const auto end = m_linkEnds.find({index, link});
    if (end == m_linkEnds.end()) {
        return;
    }
    const link_end other = end->second;
    m_linkEnds.erase(end);
    const std::uint64_t incarnation = m_processes[other.peer].incarnation;
    schedule(m_now + m_settings.oneWayDelay, [this, other, incarnation] {
        const bool known = m_linkEnds.erase({other.peer, other.peerLink}) > 0;
        if (known && isRunning(other.peer, incarnation) && !m_processes[other.peer].paused) {
            m_processes[other.peer].node->onLinkClosed(other.peerLink, m_now);
            performActions(other.peer);
        }
    });
}

} // namespace chivelock::testing

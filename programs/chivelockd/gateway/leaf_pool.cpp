#include "leaf_pool.h"

#include "leaf_connection.h"

#include <algorithm>

namespace chivelock {

namespace asio = boost::asio;

leaf_pool::leaf_pool(asio::io_context &reactor, send_listener &listener)
    : m_reactor(reactor)
    , m_listener(listener)
{
}

leaf_pool::~leaf_pool()
{
    closeIdle();
    for (const auto &[id, one] : m_busy) {
        one->close();
    }
}

void leaf_pool::send(leaf_message message)
{
    const send_id id = message.id;
    if (!m_underWay.hasRoom(message.to.get(), message.text->bytes())) {
        holdBack(message);
        return;
    }
    if (const auto kept = takeIdle(message)) {
        m_busy.emplace(id, kept);
        kept->reuse(std::move(message));
        return;
    }
    const auto made = std::make_shared<connection>(*this);
    m_counts.opened += 1;
    m_busy.emplace(id, made);
    made->open(std::move(message));
}

/** Reports the failure later, as the engine expects it after its own step. */
void leaf_pool::holdBack(const leaf_message &message)
{
    m_counts.heldBack += 1;
    asio::post(m_reactor, [this, id = message.id] { m_listener.onLeafFailure(id, send_failure::HeldBack); });
}

void leaf_pool::closeUnread(millis now)
{
    connection_list unread;
    for (const auto &[id, one] : m_busy) {
        if (one->isUnread(now)) {
            unread.push_back(one); // its failure removes it from the map
        }
    }
    std::ranges::for_each(unread, [](const auto &one) { one->giveUpUnread(); });
}

void leaf_pool::giveUpLargestAnswers()
{
    for (auto largest = m_incomplete.firstToGiveUp(); largest; largest = m_incomplete.firstToGiveUp()) {
        (*largest)->giveUpAnswer();
    }
}

std::shared_ptr<leaf_pool::connection> leaf_pool::takeIdle(const leaf_message &message)
{
    const auto idle = m_idle.find(message.to.get());
    if (idle == m_idle.end() || idle->second.empty()) {
        return nullptr;
    }
    if (!idle->second.back()->isUsableFor(message)) {
        closeIdleOf(*message.to); // the other connections have been idle for longer
        return nullptr;
    }
    return takeWithoutRequest(idle->second, message);
}

/** Takes the most recently used connection that has not carried the request. */
std::shared_ptr<leaf_pool::connection> leaf_pool::takeWithoutRequest(connection_list &idle, const leaf_message &message)
{
    const auto found = std::ranges::find_if(idle.rbegin(), idle.rend(), [&](const std::shared_ptr<connection> &one) {
        return !one->hasCarried(message.requestId);
    });
    const bool isUsable = found != idle.rend() && (*found)->isUsableFor(message);
    if (found != idle.rbegin()) {
        m_listener.onRepeatedRequest({message.requestId, message.to->entry.id, !isUsable});
    }
    if (!isUsable) {
        return nullptr;
    }
    std::shared_ptr<connection> taken = *found;
    idle.erase(std::prev(found.base()));
    message.to->keptConnections -= 1;
    return taken;
}

void leaf_pool::cancel(send_id id)
{
    const auto found = m_busy.find(id);
    if (found == m_busy.end()) {
        return;
    }
    const auto ended = found->second;
    m_busy.erase(found);
    ended->close();
    // If no answer arrives until the deadline, the connection may be broken rather than the leaf. Older connections to
    // the leaf may be broken as well.
    closeIdleOf(ended->peer());
}

void leaf_pool::closeIdleOf(const leaf &target)
{
    const auto idle = m_idle.find(&target);
    if (idle == m_idle.end()) {
        return;
    }
    const connection_list closing = std::move(idle->second);
    m_idle.erase(idle);
    std::ranges::for_each(closing, [](const auto &one) { one->closeIdle(); });
}

void leaf_pool::closeIdle()
{
    const auto all = std::move(m_idle);
    m_idle.clear();
    for (const auto &[target, idle] : all) {
        std::ranges::for_each(idle, [](const auto &one) { one->closeIdle(); });
    }
}

} // namespace chivelock

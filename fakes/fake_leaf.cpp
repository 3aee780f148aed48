#include "fake_leaf.h"

#include <algorithm>

namespace chivelock::fakes {

namespace {

constexpr std::size_t queueCapacity = 8; ///< requests waiting for a slot; further ones are shed
constexpr double coldServiceTimeFactor = 4;

} // namespace

void fake_leaf::receive(leaf_request request)
{
    if (m_faults.dead) {
        refuse(request, call_status::NotSent);
        return;
    }
    if (m_faults.frozen) {
        m_receivedWhileFrozen.push_back(std::move(request));
        return;
    }
    if (m_faults.refusesAsLeaving) {
        refuse(request, call_status::Leaving);
        return;
    }
    if (m_leaving) {
        m_newWorkAfterLeaving = m_time.now() - m_leavingSince;
    }
    const bool holds =
        std::ranges::find(m_held, request.call.snapshot) != m_held.end() && m_version == request.call.version;
    if (!holds && !m_faults.answersFromNewestSnapshot) {
        refuse(request, call_status::SnapshotGone);
        return;
    }
    if (m_faults.shed || m_queue.size() >= queueCapacity) {
        refuse(request, call_status::Shed);
        return;
    }
    m_queue.push_back(std::move(request));
    startNext();
}

void fake_leaf::cancel(std::uint64_t serial)
{
    if (m_faults.frozen || m_faults.dead) {
        return;
    }
    const auto waiting = std::ranges::find(m_queue, serial, &leaf_request::serial);
    if (waiting != m_queue.end()) {
        refuse(*waiting, call_status::Cancelled);
        m_queue.erase(waiting);
        return;
    }
    const auto running = m_running.find(serial);
    if (running != m_running.end()) {
        m_busy = m_busy - (running->second.planned - (m_time.now() - running->second.started));
        refuse(running->second.request, call_status::Cancelled);
        m_running.erase(running);
        startNext();
    }
}

health_report fake_leaf::health() const
{
    health_report report;
    report.leaf = m_info.id;
    report.reachable = !m_faults.dead && !m_faults.frozen;
    report.leaving = m_leaving && !m_faults.healthHidesLeaving;
    report.cold = m_faults.cold;
    report.serving = !report.leaving && !report.cold;
    report.incarnation = m_info.incarnation;
    return report;
}

void fake_leaf::setFaults(const faults &wanted)
{
    const bool resumes = m_faults.frozen && !wanted.frozen;
    m_faults = wanted;
    if (wanted.dead) {
        kill();
    }
    if (resumes) {
        std::deque<leaf_request> received = std::exchange(m_receivedWhileFrozen, {});
        std::ranges::for_each(received, [this](leaf_request &request) { receive(std::move(request)); });
        startNext();
    }
}

void fake_leaf::startLeaving()
{
    m_leaving = true;
    m_leavingSince = m_time.now();
}

void fake_leaf::kill()
{
    std::ranges::for_each(m_running, [this](const auto &item) { refuse(item.second.request, call_status::Failed); });
    std::ranges::for_each(m_queue, [this](const leaf_request &request) { refuse(request, call_status::Failed); });
    m_running.clear();
    m_queue.clear();
    m_receivedWhileFrozen.clear();
}

void fake_leaf::startNext()
{
    while (m_running.size() < m_info.slots && !m_queue.empty() && !m_faults.frozen) {
        leaf_request request = std::move(m_queue.front());
        m_queue.pop_front();
        const millis serviceTime = m_draw(m_random) * m_faults.slowFactor * (m_faults.cold ? coldServiceTimeFactor : 1);
        m_busy = m_busy + serviceTime;
        const std::uint64_t serial = request.serial;
        const std::string &body = request.call.body ? *request.call.body : request.call.requestId;
        m_ledger[body].push_back({m_info.id, request.call.shard, request.call.snapshot, m_time.now()});
        m_running.emplace(serial, running_request {std::move(request), m_time.now(), serviceTime});
        m_time.after(serviceTime, [this, serial] { finish(serial); });
    }
}

void fake_leaf::finish(std::uint64_t serial)
{
    const auto found = m_running.find(serial);
    if (found == m_running.end()) {
        return; // The request was cancelled, or the leaf was killed, before it finished.
    }
    if (m_faults.frozen) {
        constexpr millis recheckDelay {5};
        m_time.after(recheckDelay, [this, serial] { finish(serial); });
        return;
    }
    const leaf_request request = std::move(found->second.request);
    m_running.erase(found);
    leaf_reply reply = baseReply(request, call_status::Ok);
    if (m_faults.answersFromNewestSnapshot) {
        reply.snapshot = m_held.back();
    }
    const std::string body = request.call.body ? *request.call.body : std::string();
    reply.rows.push_back(
        {body + "/" + std::to_string(request.call.shard.value) + "/" + std::to_string(reply.snapshot.value),
         1.0,
         "null"});
    request.reply(std::move(reply));
    startNext();
}

void fake_leaf::refuse(const leaf_request &request, call_status status) const
{
    request.reply(baseReply(request, status));
}

leaf_reply fake_leaf::baseReply(const leaf_request &request, call_status status) const
{
    leaf_reply reply;
    reply.id = request.call.id;
    reply.status = status;
    reply.shard = request.call.shard;
    reply.snapshot = request.call.snapshot;
    reply.version = m_version;
    reply.heldSnapshot = m_held.empty() ? snapshot_id() : m_held.back();
    reply.incarnation = m_info.incarnation;
    return reply;
}

} // namespace chivelock::fakes

/**
 * @file
 * Measures in process how the cost of control traffic and lookups grows with the fleet, for docs/CAPACITY.md. Prints
 * CSV lines "measure,size,value,unit". Processor times depend on the machine; counts and bytes are exact.
 */

#include <catalogue/catalogue.h>
#include <entry/entry.h>
#include <fakes/documents.h>
#include <membership/membership.h>
#include <wire/wire.h>

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <iostream>
#include <map>

namespace {

using namespace chivelock;

class stopwatch
{
public:
    [[nodiscard]] double micros() const
    {
        return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - m_begin).count();
    }

private:
    std::chrono::steady_clock::time_point m_begin = std::chrono::steady_clock::now();
};

void print(std::string_view measure, std::size_t size, double value, std::string_view unit)
{
    std::cout << measure << ',' << size << ',' << value << ',' << unit << std::endl;
}

double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

vm_list_document makeVmList(std::size_t count)
{
    vm_list_document list {1, {}};
    for (std::uint32_t id = 1; id <= count; ++id) {
        list.vms.push_back({{id}, {"zone"}, "127.0.0.1", 17000, 18080, false});
    }
    return list;
}

/** Gossiping members in virtual time. Each message takes one round of 50 ms, which is slower than any real network. */
class gossip_group
{
public:
    explicit gossip_group(std::size_t count)
        : m_revisions(count, 1)
    {
        const vm_list_document list = makeVmList(count);
        for (std::uint32_t id = 1; id <= count; ++id) {
            m_members.emplace_back(vm_id {id}, 1, membership_settings(), id);
            m_members.back().onVmList(list);
        }
    }

    /** Runs one gossip round. Members marked in @p dead neither send nor receive. */
    void round(const std::vector<bool> &dead)
    {
        m_now = m_now + step;
        std::vector<outgoing_heartbeat> arriving = std::exchange(m_inFlight, {});
        for (outgoing_heartbeat &send : arriving) {
            receive(send, dead);
        }
        for (std::size_t index = 0; index < m_members.size(); ++index) {
            if (!dead[index]) {
                for (outgoing_heartbeat &send : m_members[index].tick({m_revisions[index], 1}, m_now)) {
                    enqueue(std::move(send));
                }
            }
        }
    }

    void receive(const outgoing_heartbeat &send, const std::vector<bool> &dead)
    {
        const std::size_t to = send.to.value - 1;
        if (dead[to]) {
            return;
        }
        // Like an entry, the member pulls a higher revision from the sender. The cost of the pull is measured
        // separately.
        m_revisions[to] = std::max(m_revisions[to], send.message.catalogueRevision);
        if (auto ack = m_members[to].onHeartbeat(send.message, {m_revisions[to], 1}, m_now)) {
            enqueue(*std::move(ack));
        }
    }

    void enqueue(outgoing_heartbeat send)
    {
        ++messages;
        if (messages % sampleEvery == 0) {
            bytes += static_cast<double>(encodeFrame(vm_id {1}, send.message).size() * sampleEvery);
        }
        m_inFlight.push_back(std::move(send));
    }

    void publish(std::size_t at, std::uint64_t revision)
    {
        m_revisions[at] = revision;
    }

    [[nodiscard]] std::size_t membersAtRevision(std::uint64_t revision) const
    {
        return static_cast<std::size_t>(std::ranges::count(m_revisions, revision));
    }

    [[nodiscard]] std::size_t countAsAlive(std::size_t observer, vm_id member) const
    {
        return m_members[observer].isRunner(member) ? 1 : 0;
    }

    static constexpr millis step {50};
    static constexpr std::uint64_t sampleEvery = 97;
    std::uint64_t messages = 0;
    double bytes = 0;

private:
    std::deque<membership> m_members;
    std::vector<std::uint64_t> m_revisions;
    std::vector<outgoing_heartbeat> m_inFlight;
    millis m_now {1000};
};

/**
 * Measures control traffic and processor time of a stable group, then how long it takes until all remaining
 * members hold a new revision and until none of those sampled considers a lost member alive.
 */
void measureGossip(std::size_t count)
{
    constexpr int settleRounds = 60;
    constexpr int steadyRounds = 100;
    constexpr double roundsPerSecond = 20;
    const double before = heapBytes();
    gossip_group group(count);
    print("membership_heap", count, (heapBytes() - before) / static_cast<double>(count), "bytes/node");
    std::vector<bool> dead(count, false);
    for (int round = 0; round < settleRounds; ++round) {
        group.round(dead);
    }
    group.messages = 0;
    group.bytes = 0;
    const stopwatch watch;
    for (int round = 0; round < steadyRounds; ++round) {
        group.round(dead);
    }
    const double nodeSeconds = static_cast<double>(count) * steadyRounds / roundsPerSecond;
    print("heartbeat_messages", count, static_cast<double>(group.messages) / nodeSeconds, "1/s/node");
    print("heartbeat_bytes", count, group.bytes / nodeSeconds, "B/s/node");
    print("membership_cpu", count, watch.micros() / nodeSeconds, "us/s/node");
    // One of eleven availability zones, about a tenth of the nodes, is lost at the moment of the change.
    const std::size_t lost = count / 11;
    std::fill(dead.end() - static_cast<std::ptrdiff_t>(lost), dead.end(), true);
    group.publish(0, 2);
    int rounds = 0;
    while (group.membersAtRevision(2) < count - lost && rounds < 600) {
        group.round(dead);
        ++rounds;
    }
    print("change_spread_zone_lost", count, rounds * gossip_group::step.count(), "ms");
    const vm_id last {static_cast<std::uint32_t>(count)};
    std::size_t aliveCount = 1;
    for (; aliveCount > 0 && rounds < 1200; ++rounds) {
        group.round(dead);
        aliveCount = 0;
        for (std::size_t index = 0; index < count - lost; index += 1 + count / 200) {
            aliveCount += group.countAsAlive(index, last);
        }
    }
    print("loss_known_zone_lost", count, rounds * gossip_group::step.count(), "ms");
}

std::string catalogueWith(std::size_t kinds, std::uint64_t revision)
{
    catalogue_document document;
    document.revision = revision;
    for (std::size_t index = 0; index < kinds; ++index) {
        kind_entry kind;
        kind.name = {"kind-" + std::to_string(index)};
        kind.owner = "owner-team";
        kind.service = {"service-" + std::to_string(index % 50)};
        kind.softLimit = millis(index == 0 ? 100 + static_cast<double>(revision) : 100);
        kind.hardLimit = millis(400);
        kind.maxInFlight = 1000;
        kind.maxPerSecond = 1000;
        kind.maxRows = 100;
        document.kinds.push_back(kind);
    }
    std::ranges::sort(document.kinds, {}, &kind_entry::name);
    return writeCatalogue(document);
}

void measureCatalogue(std::size_t kinds)
{
    constexpr int rounds = 20;
    catalogue_store ahead;
    catalogue_store behind;
    const std::string first = catalogueWith(kinds, 1);
    (void)ahead.offer(first, "platform", millis(1));
    (void)behind.offer(first, "platform", millis(1));
    print("catalogue_bytes", kinds, static_cast<double>(first.size()), "B");
    const std::string next = catalogueWith(kinds, 2);
    stopwatch offerTime;
    (void)ahead.offer(next, "platform", millis(2));
    print("catalogue_offer_cpu", kinds, offerTime.micros(), "us");
    const std::string delta = writeDelta(*ahead.deltaSince(1));
    print("catalogue_delta_bytes", kinds, static_cast<double>(delta.size()), "B");
    double sum = 0;
    for (int round = 0; round < rounds; ++round) {
        catalogue_store fresh = behind;
        const stopwatch one;
        (void)fresh.offerDelta(*readDelta(delta), "vm-1", millis(3));
        sum += one.micros();
    }
    print("catalogue_delta_cpu", kinds, sum / rounds, "us");
}

/** Measures the cost of a lookup at its root and at a runner, without sockets. */
void measureFanOut(std::uint32_t shards)
{
    constexpr int rounds = 200;
    root_engine root({1}, 1, {}, 1);
    membership singleMember({1}, 1, {}, 1);
    runner_settings noHedges;
    noHedges.hedging = false;
    runner_engine runner(noHedges, 1);
    const auto topology =
        std::make_shared<topology_document>(*readTopology(fakes::topologyText(1, {{"search", shards, 2, 2, 1, 1}})));
    root_engine::actions rootOut;
    runner_engine::actions out;
    root.onTopology(topology, millis(1), rootOut);
    root.onCatalogue(std::make_shared<catalogue_document>(*readCatalogue(fakes::catalogueText(1))));
    runner.onTopology(topology);
    for (const leaf_info &leaf : topology->leafs) {
        runner.onHealth({leaf.id, millis(1000), true, true, false, false, 1}, millis(1000), out);
    }
    double rootMicros = 0;
    double runnerMicros = 0;
    double codecMicros = 0;
    double frameBytes = 0;
    for (int round = 0; round < rounds; ++round) {
        rootOut.clear();
        lookup_request request {
            1, "request-id-of-usual-length", {"whole"}, "", R"({"query":"of usual length"})", millis(400), ""};
        const stopwatch planning;
        root.submit(request, singleMember, millis(1000), rootOut);
        rootMicros += planning.micros();
        const run_shards run = std::get<run_shards>(std::get<peer_send>(rootOut.front()).message);
        out.clear();
        const stopwatch running;
        runner.onRun({1}, run, millis(1000), out);
        runner_engine::actions ends;
        for (const runner_action &action : out) {
            if (const auto *call = std::get_if<leaf_call>(&action)) {
                leaf_reply reply {call->id,
                                  call_status::Ok,
                                  call->shard,
                                  call->snapshot,
                                  call->version,
                                  {},
                                  false,
                                  1,
                                  {},
                                  {{"row-1", 0.5, "{}"}, {"row-2", 0.4, "{}"}}};
                runner.onLeafReply(reply, millis(1001), ends);
            }
        }
        runnerMicros += running.micros();
        rootOut.clear();
        for (const runner_action &action : ends) {
            if (const auto *reply = std::get_if<runner_reply>(&action)) {
                const stopwatch coding;
                const std::string frame = encodeFrame({1}, reply->reply);
                const std::span bytes(reinterpret_cast<const std::uint8_t *>(frame.data()), frame.size());
                const auto read = decodePayload(bytes.subspan(framePrefixBytes));
                codecMicros += coding.micros();
                frameBytes += static_cast<double>(frame.size());
                const stopwatch merging;
                root.onReply({1}, std::get<shard_reply>(read->message), singleMember, millis(1001), rootOut);
                rootMicros += merging.micros();
            }
        }
    }
    print("root_cpu", shards, rootMicros / rounds, "us/lookup");
    print("runner_cpu", shards, runnerMicros / rounds, "us/lookup");
    print("codec_cpu", shards, codecMicros / rounds, "us/lookup");
    print("reply_bytes", shards, frameBytes / rounds, "B/lookup");
    // The heap memory that root and runner hold per lookup in flight: these lookups are not completed.
    const double heapBefore = heapBytes();
    for (int round = 0; round < rounds; ++round) {
        rootOut.clear();
        root.submit({1, "request-id-of-usual-length", {"whole"}, "", R"({"query":"of usual length"})", millis(400), ""},
                    singleMember,
                    millis(1000),
                    rootOut);
        runner.onRun({1}, std::get<run_shards>(std::get<peer_send>(rootOut.front()).message), millis(1000), out);
    }
    rootOut.clear();
    rootOut.shrink_to_fit();
    out.clear();
    out.shrink_to_fit();
    print("lookup_heap", shards, (heapBytes() - heapBefore) / rounds, "B/lookup");
}

void measureTopology(std::uint32_t shards)
{
    const std::string text = fakes::topologyText(1, {{"search", shards, 2, 2, 1, 1}});
    print("topology_bytes", shards, static_cast<double>(text.size()), "B");
    const double before = heapBytes();
    runner_engine runner({}, 1);
    const stopwatch watch;
    const auto document = std::make_shared<topology_document>(*readTopology(text));
    runner.onTopology(document);
    print("topology_cpu", shards, watch.micros(), "us");
    print("topology_heap", shards, heapBytes() - before, "B");
    std::vector<vm_id> runners;
    for (std::uint32_t id = 1; id <= 3500; ++id) {
        runners.push_back({id});
    }
    const stopwatch assigning;
    const auto owners = assignShards({"search"}, document->services.front().shards, runners);
    print("assign_cpu_3500_runners", shards, assigning.micros(), "us");
}

} // namespace

int main()
{
    for (const std::size_t nodes : {125, 250, 500, 1000, 2000}) {
        measureGossip(nodes);
    }
    for (const std::size_t kinds : {50, 100, 200, 400, 800}) {
        measureCatalogue(kinds);
    }
    for (const std::uint32_t shards : {20, 50, 100, 200, 400}) {
        measureFanOut(shards);
    }
    for (const std::uint32_t shards : {100, 300, 1000, 3000}) {
        measureTopology(shards);
    }
    return 0;
}

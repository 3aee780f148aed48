#define BOOST_TEST_MODULE query
#include <boost/test/included/unit_test.hpp>

#include <query/query.h>

#include <fakes/documents.h>

using namespace chivelock;

namespace {

constexpr std::uint32_t shardCount = 4;

/** A root in a fleet of two VMs; the other VM runs some of the shards. */
struct root_fixture {
    explicit root_fixture(root_settings settings = {})
        : members({1}, 1, {}, 1)
        , engine({1}, 1, settings, 1)
    {
        members.onVmList(*readVmList(fakes::vmListText(1, 2)));
        publishTopology(1, 1);
        engine.onCatalogue(std::make_shared<catalogue_document>(*readCatalogue(fakes::catalogueText(1))));
    }

    void publishTopology(std::uint64_t revision, std::uint32_t snapshot)
    {
        const std::string text =
            fakes::topologyText(revision, {{"search", shardCount, 2, 2, snapshot, 1}, {"desk", 2, 2, 2, 1, 1}});
        engine.onTopology(std::make_shared<topology_document>(*readTopology(text)), now, out);
    }

    void submit(const std::string &kind)
    {
        lookup_request request;
        request.caller = 7;
        request.requestId = "r";
        request.kind = {kind};
        request.remaining = millis(400);
        engine.submit(request, members, now, out);
    }

    struct sent_run {
        vm_id to;
        run_shards run;
    };

    [[nodiscard]] std::vector<sent_run> sentRuns() const
    {
        std::vector<sent_run> found;
        for (const root_action &action : out) {
            const auto *send = std::get_if<peer_send>(&action);
            if (send != nullptr && std::holds_alternative<run_shards>(send->message)) {
                found.push_back({send->to, std::get<run_shards>(send->message)});
            }
        }
        return found;
    }

    [[nodiscard]] std::optional<lookup_answer> finalAnswer() const
    {
        for (const root_action &action : out) {
            if (const auto *sent = std::get_if<caller_answer>(&action)) {
                return sent->answer;
            }
        }
        return std::nullopt;
    }

    void reply(const sent_run &run,
               shard_id shard,
               shard_status status,
               std::uint32_t snapshot = 0,
               std::uint32_t heldSnapshot = 0)
    {
        shard_reply message;
        message.key = run.run.key;
        message.attempt = run.run.attempt;
        message.shard = shard;
        message.status = status;
        message.snapshot = snapshot == 0 ? run.run.snapshot : snapshot_id {snapshot};
        message.version = run.run.version;
        message.heldSnapshot = {heldSnapshot};
        message.retryAfter = millis(20);
        message.rows = {{"row-" + std::to_string(shard.value), 1.0 / (1 + shard.value), "{}"}};
        engine.onReply(run.to, message, members, now, out);
    }

    void replyAll(shard_status status)
    {
        for (const sent_run &run : sentRuns()) {
            std::ranges::for_each(run.run.shards, [&](shard_id shard) { reply(run, shard, status); });
        }
    }

    millis now {1000};
    membership members;
    root_engine engine;
    root_engine::actions out;
};

ticket_table makeTickets(std::uint32_t vm = 1, std::uint64_t incarnation = 5, ticket_settings settings = {})
{
    return {{vm}, incarnation, "secret", settings};
}

} // namespace

BOOST_AUTO_TEST_CASE(rows_merge_by_rule_up_to_the_row_limit)
{
    const std::vector<result_row> left = {{"a", 0.9, ""}, {"b", 0.1, ""}};
    const std::vector<result_row> right = {{"c", 0.5, ""}, {"d", 0.9, ""}};
    const auto merged = mergeRows(merge_rule::TopScore, {left, right}, 3);
    BOOST_REQUIRE(merged.size() == 3);
    BOOST_TEST(merged[0].id == "a");
    BOOST_TEST(merged[1].id == "d");
    BOOST_TEST(mergeRows(merge_rule::Concatenate, {left, right}, 10).back().id == "d");
}

BOOST_AUTO_TEST_CASE(complete_answer_covers_every_shard)
{
    root_fixture root;
    root.submit("whole");
    BOOST_TEST(root.sentRuns().size() == 2); // both runners
    root.replyAll(shard_status::Ok);
    const auto answer = root.finalAnswer();
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST((answer->outcome == lookup_outcome::Whole));
    BOOST_TEST(answer->covered.size() == shardCount);
    BOOST_TEST(answer->missing.empty());
    BOOST_TEST(answer->rows.front().id == "row-0");
    BOOST_TEST(root.engine.inFlight() == 0);
}

BOOST_AUTO_TEST_CASE(lookup_fails_when_refused_shards_rule_out_sufficient_coverage)
{
    root_fixture all;
    all.submit("partial");
    all.replyAll(shard_status::Overloaded);
    BOOST_TEST((all.finalAnswer()->outcome == lookup_outcome::Failed)); // fails before its last shard is refused
    root_fixture single;
    single.submit("whole");
    const auto runs = single.sentRuns();
    single.reply(runs.front(), runs.front().run.shards.front(), shard_status::Overloaded);
    BOOST_REQUIRE(single.finalAnswer().has_value());
    BOOST_TEST((single.finalAnswer()->outcome == lookup_outcome::Failed));
    BOOST_TEST((single.finalAnswer()->retryAfter >= millis(20)));
}

BOOST_AUTO_TEST_CASE(cached_refusal_rejects_the_next_lookup_before_anything_is_sent)
{
    root_settings settings;
    settings.refusalCacheTtl = millis(15);
    root_fixture root(settings);
    root.submit("whole");
    const auto runs = root.sentRuns();
    root.reply(runs.front(), runs.front().run.shards.front(), shard_status::Overloaded);
    root.out.clear();
    root.submit("whole");
    BOOST_TEST(root.sentRuns().empty());
    BOOST_TEST((root.finalAnswer()->outcome == lookup_outcome::NotRun));
    BOOST_TEST((root.finalAnswer()->retryAfter > millis()));
}

BOOST_AUTO_TEST_CASE(partial_answer_at_the_soft_limit_lists_missing_shards)
{
    root_fixture root;
    root.submit("partial");
    const auto runs = root.sentRuns();
    std::size_t replied = 0;
    for (const auto &run : runs) {
        for (const shard_id shard : run.run.shards) {
            if (replied++ < 2) {
                root.reply(run, shard, shard_status::Ok);
            }
        }
    }
    root.now = root.now + millis(100);
    root.engine.tick(root.members, root.now, root.out);
    const auto answer = root.finalAnswer();
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST((answer->outcome == lookup_outcome::Partial));
    BOOST_TEST(answer->covered.size() == 2);
    BOOST_TEST(answer->missing.size() == 2);
    BOOST_TEST(answer->rows.size() == 2);
}

// Guards against an answer that mixes rows of an old and a new snapshot of the index. The leafs of one shard no longer
// hold the pinned snapshot, the lookup restarts on the newer one, and a late reply of the first attempt arrives.
BOOST_AUTO_TEST_CASE(restart_discards_rows_of_earlier_attempts)
{
    root_fixture root;
    root.submit("whole");
    const auto first = root.sentRuns();
    root.publishTopology(2, 2);
    root.reply(first[0], first[0].run.shards[0], shard_status::Ok);
    root.reply(first[0], first[0].run.shards[1], shard_status::SnapshotGone, 0, 2);
    root.out.erase(root.out.begin(), root.out.begin() + static_cast<std::ptrdiff_t>(first.size()));
    const auto second = root.sentRuns();
    BOOST_TEST(second.front().run.snapshot.value == 2);
    BOOST_TEST(second.front().run.attempt == 2);
    root.reply(first[1], first[1].run.shards[0], shard_status::Ok); // late reply of the first attempt
    BOOST_TEST(root.engine.counters().staleReplies >= 1);
    BOOST_TEST(!root.finalAnswer().has_value());
    root.replyAll(shard_status::Ok);
    BOOST_TEST((root.finalAnswer()->outcome == lookup_outcome::Whole));
    BOOST_TEST(root.finalAnswer()->snapshot.value == 2);
    BOOST_TEST(root.finalAnswer()->rows.size() == shardCount);
}

BOOST_AUTO_TEST_CASE(duplicate_and_mismatched_replies_are_dropped)
{
    root_fixture root;
    root.submit("whole");
    const auto runs = root.sentRuns();
    root.reply(runs[0], runs[0].run.shards[0], shard_status::Ok);
    root.reply(runs[0], runs[0].run.shards[0], shard_status::Ok);
    root.reply(runs[0], {99}, shard_status::Ok);
    root.reply(runs[1], runs[1].run.shards[0], shard_status::Ok, 8);
    BOOST_TEST(root.engine.counters().staleReplies == 2);
    BOOST_TEST(root.engine.counters().mismatchedReplies == 1);
    BOOST_TEST(!root.finalAnswer().has_value());
}

// Guards against lookups that hang until their time limit because a runner froze while its connection stayed open:
// the runner receives the run and never answers, and waiting for the connection to break would take too long.
BOOST_AUTO_TEST_CASE(shards_of_an_unresponsive_runner_are_run_locally)
{
    root_fixture root;
    root.engine.tick(root.members, root.now, root.out);
    root.submit("whole");
    root.out.clear();
    root.now = root.now + millis(25);
    root.engine.tick(root.members, root.now, root.out);
    const auto rerouted = root.sentRuns();
    BOOST_REQUIRE(rerouted.size() == 1);
    BOOST_TEST(rerouted.front().to.value == 1);
    root.out.clear();
    root.submit("whole"); // The next lookup sends the stalled runner nothing either.
    BOOST_TEST(root.sentRuns().size() == 1);
}

BOOST_AUTO_TEST_CASE(kind_limit_is_divided_among_the_listed_vms)
{
    kind_entry kind;
    kind.name = {"k"};
    kind.maxInFlight = 8;
    kind.maxPerSecond = 1000000;
    kind.softLimit = millis(50);
    kind_limiter limiter;
    std::size_t admitted = 0;
    for (int round = 0; round < 10; ++round) {
        admitted += limiter.admit(kind, 4, millis(1000)) ? 0 : 1;
    }
    BOOST_TEST(admitted == 2);
    limiter.release(kind.name);
    BOOST_TEST(!limiter.admit(kind, 4, millis(1001)).has_value());
}

BOOST_AUTO_TEST_CASE(rate_limit_returns_the_time_until_the_next_token)
{
    kind_entry kind;
    kind.name = {"k"};
    kind.maxInFlight = 1000;
    kind.maxPerSecond = 10;
    kind_limiter limiter;
    BOOST_TEST(!limiter.admit(kind, 1, millis(1000)).has_value());
    const auto wait = limiter.admit(kind, 1, millis(1000));
    BOOST_REQUIRE(wait.has_value());
    BOOST_TEST(wait->count() == 100);
    BOOST_TEST(!limiter.admit(kind, 1, millis(1101)).has_value());
}

BOOST_AUTO_TEST_CASE(ticket_starts_one_run)
{
    ticket_table tickets = makeTickets();
    const std::string ticket = *tickets.issue(millis(1000));
    BOOST_TEST((tickets.use(ticket, 1, millis(1001)) == ticket_verdict::Start));
    BOOST_TEST((tickets.use(ticket, 1, millis(1002)) == ticket_verdict::Running));
    BOOST_TEST((tickets.use(ticket, 2, millis(1002)) == ticket_verdict::Mismatch));
    lookup_answer answer;
    answer.detail = "done";
    tickets.finish(parseTicket(ticket)->number, answer);
    BOOST_TEST((tickets.use(ticket, 1, millis(1003)) == ticket_verdict::Done));
    BOOST_TEST(tickets.answerOf(parseTicket(ticket)->number)->detail == "done");
}

// Guards against a non-idempotent request (a claim) that runs twice. A ticket is issued and used, the process restarts,
// the caller retries with the same ticket, and the new incarnation must not treat the ticket as its own.
BOOST_AUTO_TEST_CASE(foreign_and_forged_tickets_start_no_run)
{
    ticket_table first = makeTickets(1, 5);
    const std::string ticket = *first.issue(millis(1000));
    ticket_table restarted = makeTickets(1, 6);
    ticket_table other = makeTickets(2, 5);
    BOOST_TEST((restarted.use(ticket, 1, millis(1001)) == ticket_verdict::Unknown));
    BOOST_TEST((other.use(ticket, 1, millis(1001)) == ticket_verdict::Unknown));
    std::string forged = ticket;
    forged.back() = forged.back() == 'a' ? 'b' : 'a';
    BOOST_TEST((first.use(forged, 1, millis(1001)) == ticket_verdict::Unknown));
    BOOST_TEST((first.use("", 1, millis(1001)) == ticket_verdict::Unknown));
    BOOST_TEST((first.use("1.5.x.9.ab", 1, millis(1001)) == ticket_verdict::Unknown));
}

BOOST_AUTO_TEST_CASE(expiry_is_checked_at_use_and_voided_tickets_stay_voided)
{
    ticket_settings settings;
    settings.lifetime = millis(100);
    ticket_table tickets = makeTickets(1, 5, settings);
    const std::string ticket = *tickets.issue(millis(1000));
    BOOST_TEST((tickets.use(ticket, 1, millis(1100)) == ticket_verdict::Unknown));
    const std::string second = *tickets.issue(millis(1000));
    BOOST_TEST((tickets.use(second, 1, millis(1001)) == ticket_verdict::Start));
    tickets.makeVoid(parseTicket(second)->number, {});
    BOOST_TEST((tickets.use(second, 1, millis(1002)) == ticket_verdict::Voided));
}

BOOST_AUTO_TEST_CASE(full_or_stopped_table_issues_no_ticket)
{
    ticket_settings settings;
    settings.capacity = 2;
    ticket_table tickets = makeTickets(1, 5, settings);
    const std::string unused = *tickets.issue(millis(1000));
    BOOST_TEST(tickets.issue(millis(1000)).has_value());
    BOOST_TEST(!tickets.issue(millis(1000)).has_value());
    tickets.stop();
    BOOST_TEST((tickets.use(unused, 1, millis(1001)) == ticket_verdict::Voided));
    BOOST_TEST(!tickets.issue(millis(900000)).has_value());
}

BOOST_AUTO_TEST_CASE(answers_map_to_http_status_and_json)
{
    lookup_answer answer;
    answer.outcome = lookup_outcome::Partial;
    BOOST_TEST(httpStatusOf(answer) == 200);
    answer.outcome = lookup_outcome::NotRun;
    answer.reason = answer_reason::NeedsTicket;
    BOOST_TEST(httpStatusOf(answer) == 428);
    answer.reason = answer_reason::KindLimit;
    BOOST_TEST(httpStatusOf(answer) == 429);
    answer.missing = {{{3}, answer_reason::Expired}};
    answer.retryAfter = millis(12);
    const std::string text = writeAnswer(answer);
    BOOST_TEST(text.find(R"("missing":[{"reason":"expired","shard":3}])") != std::string::npos);
    BOOST_TEST(text.find(R"("retry_after_ms":12)") != std::string::npos);
}

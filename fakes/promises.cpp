#include "promises.h"

#include <algorithm>
#include <set>

namespace chivelock::fakes {

namespace {

constexpr millis maxNewWorkAfterLeaving {3000};
constexpr millis answerGrace {50};

/** Checks the answers to one caller against the recorded executions. */
class answer_check
{
public:
    answer_check(const fake_fleet &fleet, const caller_record &caller, std::vector<violation> &found)
        : m_fleet(fleet)
        , m_caller(caller)
        , m_found(found)
    {
    }

    void run()
    {
        checkCount();
        for (const lookup_answer &answer : m_caller.answers) {
            checkRequestId(answer);
            checkCoverage(answer);
            checkRows(answer);
            checkNotRun(answer);
        }
    }

private:
    void report(const std::string &promise, const std::string &detail)
    {
        m_found.push_back({promise, m_caller.request.requestId + ": " + detail});
    }

    [[nodiscard]] std::size_t executions() const
    {
        const auto found = m_fleet.ledger().find(m_caller.request.body);
        return found != m_fleet.ledger().end() ? found->second.size() : 0;
    }

    void checkCount()
    {
        if (m_caller.answers.size() > 1) {
            report("one answer", std::to_string(m_caller.answers.size()) + " answers");
        }
        if (m_caller.answers.empty() && !m_caller.connectionLost) {
            report("one answer", "silence");
        }
    }

    void checkRequestId(const lookup_answer &answer)
    {
        if (answer.requestId != m_caller.request.requestId) {
            report("own answer", "got that of " + answer.requestId);
        }
    }

    void checkCoverage(const lookup_answer &answer)
    {
        std::set<shard_id> named(answer.covered.begin(), answer.covered.end());
        const std::size_t covered = named.size();
        std::ranges::transform(answer.missing, std::inserter(named, named.end()), &missing_shard::shard);
        if (covered != answer.covered.size() || named.size() != answer.covered.size() + answer.missing.size()) {
            report("true coverage", "a shard is named twice");
        }
        if (answer.outcome == lookup_outcome::Whole && !answer.missing.empty()) {
            report("true coverage", "whole, but shards are missing");
        }
    }

    /** Each row id is "body/shard/snapshot", written by the leaf that ran the request. */
    void checkRows(const lookup_answer &answer)
    {
        const bool answered = answer.outcome == lookup_outcome::Whole || answer.outcome == lookup_outcome::Partial;
        if (!answered) {
            return;
        }
        std::set<std::string> expected;
        for (const shard_id shard : answer.covered) {
            expected.insert(m_caller.request.body + "/" + std::to_string(shard.value) + "/"
                            + std::to_string(answer.snapshot.value));
        }
        std::multiset<std::string> rows;
        std::ranges::transform(answer.rows, std::inserter(rows, rows.end()), &result_row::id);
        for (const std::string &row : rows) {
            if (rows.count(row) > 1) {
                report("whole answer", "row twice: " + row);
            }
            if (!expected.contains(row)) {
                report(row.starts_with(m_caller.request.body + "/") ? "one snapshot" : "own answer",
                       "foreign row " + row);
            }
        }
        for (const std::string &row : expected) {
            if (!rows.contains(row)) {
                report("true coverage", "covered without its row: " + row);
            }
        }
    }

    void checkNotRun(const lookup_answer &answer)
    {
        const bool saysNotRun = answer.outcome == lookup_outcome::NotRun && answer.reason != answer_reason::NeedsTicket;
        if (saysNotRun && executions() > 0) {
            report("not run is not run", "ran " + std::to_string(executions()) + " times");
        }
    }

    const fake_fleet &m_fleet;
    const caller_record &m_caller;
    std::vector<violation> &m_found;
};

} // namespace

std::vector<violation> checkPromises(fake_fleet &fleet)
{
    std::vector<violation> found;
    for (const caller_record &caller : fleet.callers()) {
        answer_check(fleet, caller, found).run();
        const bool isClaim = caller.request.kind.value == "claim";
        const auto runs = fleet.ledger().find(caller.request.body);
        if (isClaim && runs != fleet.ledger().end() && runs->second.size() > 1) {
            found.push_back(
                {"at most once", caller.request.body + " ran " + std::to_string(runs->second.size()) + " times"});
        }
    }
    for (const auto &[id, leaf] : fleet.leafs()) {
        if (leaf->newWorkAfterLeaving() > maxNewWorkAfterLeaving) {
            found.push_back(
                {"leaving targets",
                 "new work " + std::to_string(leaf->newWorkAfterLeaving().count()) + " ms after the start"});
        }
    }
    if (fleet.revisionRegressions() > 0) {
        found.push_back({"catalogue never back", std::to_string(fleet.revisionRegressions()) + " falls"});
    }
    return found;
}

} // namespace chivelock::fakes

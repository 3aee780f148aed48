#pragma once

/**
 * @file
 * Bounds on the memory and the connections that callers and leafs take up on one VM, and the choice of the connection
 * that is closed first. No input or output, no thread, no clock: the time is passed in with each event.
 */

#include <base/base.h>

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace chivelock {

/** Limits in bytes; 0 means no limit. */
struct byte_limits {
    std::size_t perAccount = 0;
    std::size_t all = 0;
};

/** Resources of a VM as far as the settings declare them; 0 means not known. */
struct vm_resources {
    std::size_t memoryMegabytes = 0;
    std::size_t descriptors = 0;
};

/** Limits of one VM on what callers and leafs take up. */
struct pressure_limits {
    std::size_t callerConnections = 0;
    byte_limits callers; ///< for each connection, and for all of them
    byte_limits leafs; ///< request bytes under way to each leaf, and to all of them
    std::size_t incompleteAnswers = 0; ///< bytes of all leafs' answers that have not arrived completely
};

/**
 * Derives the limits from the resources of the VM.
 * @param fixedConnections the limit on caller connections if the number of descriptors is not known.
 * @param leafConnections the connections to leafs that are open now.
 */
[[nodiscard]] pressure_limits
limitsFor(const vm_resources &vm, std::size_t fixedConnections, std::size_t leafConnections);

template<typename type>
concept ledger_key = std::equality_comparable<type> && requires(const type &key)
{
    {
        std::hash<type>()(key)
        } -> std::convertible_to<std::size_t>;
};

/** Counts the bytes that each account holds. */
template<ledger_key key_type>
class byte_ledger
{
public:
    void setLimits(const byte_limits &limits)
    {
        m_limits = limits;
    }

    void add(const key_type &account, std::size_t bytes)
    {
        m_held[account] += bytes;
        m_total += bytes;
    }

    /** @pre the account holds at least @p bytes. */
    void remove(const key_type &account, std::size_t bytes)
    {
        const auto found = m_held.find(account);
        found->second -= bytes;
        m_total -= bytes;
        if (found->second == 0) {
            m_held.erase(found);
        }
    }

    void close(const key_type &account)
    {
        const auto found = m_held.find(account);
        if (found != m_held.end()) {
            m_total -= found->second;
            m_held.erase(found);
        }
    }

    [[nodiscard]] std::size_t heldBy(const key_type &account) const
    {
        const auto found = m_held.find(account);
        return found == m_held.end() ? 0 : found->second;
    }

    [[nodiscard]] std::size_t total() const
    {
        return m_total;
    }

    /** Whether the account may hold @p more bytes. One that holds nothing always may: otherwise an item larger than a
     *  limit could never be held. */
    [[nodiscard]] bool hasRoom(const key_type &account, std::size_t more) const
    {
        const std::size_t held = heldBy(account);
        const bool fitsAccount = m_limits.perAccount == 0 || held + more <= m_limits.perAccount;
        return held == 0 || (fitsAccount && (hasRoomForAll(more) || held + more <= reservedShare()));
    }

    [[nodiscard]] bool hasRoomForAll(std::size_t more) const
    {
        return m_limits.all == 0 || m_total + more <= m_limits.all;
    }

    [[nodiscard]] bool isAccountOverLimit(const key_type &account) const
    {
        return m_limits.perAccount > 0 && heldBy(account) > m_limits.perAccount;
    }

    [[nodiscard]] bool isOverLimit() const
    {
        return isOverLimitBy(1);
    }

    /** Whether all accounts together hold more than @p times their limit. */
    [[nodiscard]] bool isOverLimitBy(double times) const
    {
        return m_limits.all > 0 && static_cast<double>(m_total) > static_cast<double>(m_limits.all) * times;
    }

private:
    /** @return bytes that an account may hold even if the others hold all: what some accounts keep for long must not be
     *  taken from those that pass it on soon. All shares together are at most half of the limit of all. */
    [[nodiscard]] std::size_t reservedShare() const
    {
        constexpr std::size_t reserveDivisor = 2;
        return m_limits.all / (reserveDivisor * std::max<std::size_t>(1, m_held.size()));
    }

    byte_limits m_limits;
    std::unordered_map<key_type, std::size_t> m_held;
    std::size_t m_total = 0;
};

/**
 * Counts the bytes of answers that have not arrived completely. Beyond the limit of all, the largest one must be given
 * up: a small one that arrives beside it is not at fault.
 */
template<ledger_key key_type>
class incomplete_answers
{
public:
    /** @param bytes limit of all answers together; 0 means no limit. */
    void setLimit(std::size_t bytes)
    {
        m_limit = bytes;
    }

    /** @param bytes received of the answer so far; 0 once it is complete or given up. */
    void update(const key_type &answer, std::size_t bytes)
    {
        const std::size_t before = bytesOf(answer);
        m_total = m_total - before + bytes;
        if (bytes == 0) {
            m_bytes.erase(answer);
        } else {
            m_bytes[answer] = bytes;
        }
    }

    [[nodiscard]] std::size_t bytesOf(const key_type &answer) const
    {
        const auto found = m_bytes.find(answer);
        return found == m_bytes.end() ? 0 : found->second;
    }

    [[nodiscard]] std::size_t total() const
    {
        return m_total;
    }

    /** @return the answer to give up now, if the limit is exceeded. */
    [[nodiscard]] std::optional<key_type> firstToGiveUp() const
    {
        if (m_limit == 0 || m_total <= m_limit) {
            return std::nullopt;
        }
        return std::ranges::max_element(m_bytes, {}, [](const auto &one) { return one.second; })->first;
    }

private:
    std::size_t m_limit = 0;
    std::size_t m_total = 0;
    std::unordered_map<key_type, std::size_t> m_bytes;
};

/** Usual size of the answers of each route, in bytes, so that memory can be set aside before an answer is fetched. */
class answer_sizes
{
public:
    void record(std::string_view route, std::size_t bytes);

    /** @return the moving average of the recent answers; 0 before the first. */
    [[nodiscard]] std::size_t expected(std::string_view route) const;

private:
    std::map<std::string, double, std::less<>> m_averages;
};

using connection_id = std::uint64_t;

/** What a caller's connection is used for. */
enum class connection_use : std::uint8_t {
    Idle, ///< no request, and the caller has received all answers
    Receiving, ///< a part of a request has arrived
    Serving, ///< a request was read and is not answered yet; never closed under pressure
    Answering, ///< the caller has not received the answer completely
    Closing ///< the last answer was sent; waits for the caller to close
};

/** Why a connection is closed under pressure. */
enum class closing_cause : std::uint8_t {
    NotReading, ///< for a new connection: the caller leaves an answer unread or a request incomplete
    Idle, ///< for a new connection: no request for longest
    AccountFull, ///< the connection holds more bytes than its limit and makes no progress
    MemoryFull ///< all connections together hold more bytes than their limit
};

[[nodiscard]] std::string_view toString(closing_cause cause);

/** A connection to close, and why. */
struct connection_closing {
    connection_id id = 0;
    closing_cause cause = closing_cause::Idle;
    std::size_t bytes = 0; ///< that it holds
    millis silence; ///< time since its last progress
    millis transferTime; ///< from the start of its current use to its last progress
};

/** What to do with a new connection. */
struct admission {
    bool keep = false; ///< false: answer its request with a refusal and close it
    std::optional<connection_closing> closeFirst;
};

/** The connections of callers on one VM. */
class connection_table
{
public:
    void setLimits(std::size_t connections, const byte_limits &bytes);

    /** Decides on a new connection from this client address. */
    [[nodiscard]] admission admit(std::string_view address, millis now) const;

    /** Whether no further connection can be kept and there are as many refused ones as the limits allow. The next one
     *  then waits in the backlog of the listening socket. */
    [[nodiscard]] bool isSaturated(millis now) const;

    /** @param refused whether the connection is only kept until its refusal has been read. */
    void open(connection_id id, std::string address, bool refused, millis now);

    /** Turns a refused connection into a kept one, or the other way round. */
    void setRefused(connection_id id, bool refused);

    void close(connection_id id);

    /** @param progressed whether the caller has read or sent something since the last call.
     *  @param at when it did; if it did not, the time of the call.
     *  @param received bytes of the current answer that have reached the caller's host. */
    void update(
        connection_id id, connection_use use, std::size_t bytes, bool progressed, millis at, std::size_t received = 0);

    /** @return the kept connection that a new one replaces first, if any. */
    [[nodiscard]] std::optional<connection_closing> firstToReplace(millis now) const;

    /** @return the connection to close next for its memory, if any. One whose caller has not stopped is chosen only if
     *  the memory is full. @param except is not chosen. */
    [[nodiscard]] std::optional<connection_closing> nextOverLimit(millis now, connection_id except = 0) const;

    [[nodiscard]] bool isRefused(connection_id id) const;

    /** Whether the connections hold so much more than their limit that no further request can be served. */
    [[nodiscard]] bool isMemoryFull() const;

    /** Whether an answer of this size may be fetched. Small ones may while the limit is exceeded, as long as the memory
     *  is not full. */
    [[nodiscard]] bool hasMemoryFor(std::size_t answerBytes) const;

    /** @return the connection to close next so that a new answer can be held: one whose caller has stopped reading.
     *  @param except is not chosen. */
    [[nodiscard]] std::optional<connection_closing> firstStopped(millis now, connection_id except) const;

    [[nodiscard]] std::size_t kept() const
    {
        return m_connections.size() - m_refused;
    }

    [[nodiscard]] std::size_t bytesHeld() const
    {
        return m_ledger.total();
    }

    [[nodiscard]] std::size_t limit() const
    {
        return m_limit;
    }

private:
    struct connection {
        std::string address;
        connection_use use = connection_use::Idle;
        millis useSince;
        millis progressAt;
        bool refused = false;
        std::size_t received = 0; ///< bytes of the current answer

        [[nodiscard]] millis transferTime() const
        {
            return progressAt - useSince;
        }

        [[nodiscard]] bool isTransferring(millis now) const;
        [[nodiscard]] bool hasStopped(millis now) const;
    };

    void countOut(const std::string &address);
    [[nodiscard]] std::size_t shareOfAddress() const;
    [[nodiscard]] std::size_t keptFrom(const std::string &address) const;
    [[nodiscard]] double weightOf(connection_id id, const connection &one, millis now) const;
    [[nodiscard]] connection_closing
    closingOf(connection_id id, const connection &one, closing_cause cause, millis now) const;
    template<typename predicate>
    [[nodiscard]] std::optional<connection_closing> firstForNew(predicate isCandidate, millis now) const;
    [[nodiscard]] std::optional<connection_closing> firstRefused(millis now) const;

    std::size_t m_limit = 0;
    std::size_t m_refused = 0;
    std::unordered_map<connection_id, connection> m_connections;
    std::unordered_map<std::string, std::size_t> m_keptByAddress;
    byte_ledger<connection_id> m_ledger;
};

} // namespace chivelock

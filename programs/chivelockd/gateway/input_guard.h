#pragma once

/** @file What happens to input past a bound, and to exceptions while the input of one connection is read. */

#include <base/base.h>
#include <http1/http1.h>

#include <cstdint>
#include <exception>
#include <string>
#include <string_view>

namespace chivelock {

/**
 * Runs the reading of all connections from one kind of source: appending, parsing and decoding. An exception there
 * concerns the input of one connection only and ends just that. What the process does with a decoded message is not run
 * here: a failure in it could leave the state of other requests half changed.
 */
class input_guard
{
public:
    /** @param source for logs and metrics; must outlive the guard. */
    explicit input_guard(std::string_view source)
        : m_source(source)
    {
    }

    /** @return what @p step returns, or ReadFailed if it throws. */
    template<typename read_step>
    [[nodiscard]] read_state read(read_step &&step)
    {
        try {
            return step();
        } catch (const std::exception &problem) { // std::bad_alloc and std::length_error are seldom and expected
            logEvent(log_level::Error,
                     "input_not_read",
                     {{"source", std::string(m_source)}, {"problem", std::string(problem.what())}});
            return read_state::ReadFailed;
        }
    }

    /** Logs and counts that a connection is closed for what it sent. @param bytes received of the message. */
    void countCutOff(std::string_view cause, std::string_view peer, std::uint64_t bytes)
    {
        m_cutOff += 1;
        logEvent(log_level::Warning,
                 "input_cut_off",
                 {{"source", std::string(m_source)},
                  {"cause", std::string(cause)},
                  {"peer", std::string(peer)},
                  {"bytes", bytes},
                  {"outcome", std::string("connection_closed")}});
    }

    [[nodiscard]] std::string_view source() const
    {
        return m_source;
    }

    /** @return the number of connections that were closed past a bound or because reading them failed. */
    [[nodiscard]] std::uint64_t cutOff() const
    {
        return m_cutOff;
    }

private:
    std::string_view m_source;
    std::uint64_t m_cutOff = 0;
};

} // namespace chivelock

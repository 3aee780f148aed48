#pragma once

/** @file Which delegated work a helper still owes results for. */

#include <delegation/delegation.h>

#include <map>

namespace chivelock {

/** The work delegated to one helper that has neither been reported completely, nor cancelled, nor run out of time. */
class unfinished_work
{
public:
    /** @param until when the results become useless. */
    void add(delegation_id id, millis until)
    {
        m_until[id] = until;
    }

    void remove(delegation_id id)
    {
        m_until.erase(id);
    }

    /** @return whether results may still come. */
    [[nodiscard]] bool isOpen(millis now)
    {
        std::erase_if(m_until, [now](const auto &one) { return one.second <= now; });
        return !m_until.empty();
    }

private:
    std::map<delegation_id, millis> m_until;
};

} // namespace chivelock

#include <admission/admission.h>

namespace chivelock {

namespace {

constexpr double shareMargin = 2; // times the mean of the others; accounts differ somewhat in their usual load
constexpr std::size_t minOpenAboveShare = 4; // a page of a client may send a few requests at once

} // namespace

void fair_shares::begin(account_id account)
{
    if (account != 0) {
        m_open[account] += 1;
        m_total += 1;
    }
}

void fair_shares::end(account_id account)
{
    const auto found = m_open.find(account);
    if (found == m_open.end()) {
        return;
    }
    m_total -= 1;
    found->second -= 1;
    if (found->second == 0) {
        m_open.erase(found);
    }
}

bool fair_shares::isAboveShare(account_id account) const
{
    const auto found = m_open.find(account);
    if (found == m_open.end() || m_open.size() < 2 || found->second < minOpenAboveShare) {
        return false;
    }
    const double others = static_cast<double>(m_total - found->second) / static_cast<double>(m_open.size() - 1);
    return static_cast<double>(found->second) > others * shareMargin;
}

} // namespace chivelock

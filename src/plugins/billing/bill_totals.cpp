#include "plugins/billing/bill_totals.h"

#include <xxhash.h>

namespace crocuslane {

namespace {

// Bounds the memory for request ids to about 10 MB. A repeated bill follows the first one within minutes after the log
// service is reachable again, and far fewer bills are written in that time. Invoices are made from the whole stream,
// not from these sums.
constexpr std::size_t maximumCountedIds = 200'000;
// Number of single bills in the status for operators.
constexpr std::size_t maximumRecent = 100;

} // namespace

bill_totals::bill_totals(bool ignoresRepeatedRequests)
    : m_ignoresRepeatedRequests(ignoresRepeatedRequests)
{
}

void bill_totals::add(const bill &bill)
{
    const std::string &request = bill.request.value();
    const std::uint64_t hash = XXH3_64bits(request.data(), request.size());
    if (m_ignoresRepeatedRequests) {
        if (!m_countedHashes.insert(hash).second) {
            return;
        }
        m_countedHashOrder.push_back(hash);
        if (m_countedHashOrder.size() > maximumCountedIds) {
            m_countedHashes.erase(m_countedHashOrder.front());
            m_countedHashOrder.pop_front();
        }
    }
    sums &sums = m_sums[bill.organisation];
    ++sums.bills;
    sums.outputTokens += bill.usage.outputTokens;
    sums.cost += bill.cost;
    m_recent.push_back(bill);
    if (m_recent.size() > maximumRecent) {
        m_recent.pop_front();
    }
}

const std::map<organisation_id, bill_totals::sums> &bill_totals::byOrganisation() const
{
    return m_sums;
}

const std::deque<bill> &bill_totals::recent() const
{
    return m_recent;
}

} // namespace crocuslane

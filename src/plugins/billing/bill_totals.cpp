#include "plugins/billing/bill_totals.h"

#include <xxhash.h>

namespace crocuslane {

namespace {

// Bounds the memory for ids to some 10 MB. A repeated bill follows the first one within minutes of the log's coming
// back, which is far fewer bills. Invoices are made from the whole stream, not from these sums.
constexpr std::size_t maximumCounted = 200'000;
// Bills that an operator sees one by one.
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
        if (!m_counted.insert(hash).second) {
            return;
        }
        m_countedOrder.push_back(hash);
        if (m_countedOrder.size() > maximumCounted) {
            m_counted.erase(m_countedOrder.front());
            m_countedOrder.pop_front();
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

#include "logstream/group_writer.h"

#include "logrecords/log_record_codec.h"
#include "logstream/record_id.h"

#include <algorithm>

namespace crocuslane {

namespace {

using namespace std::chrono_literals;

// Time that a group collects entries before it is appended.
constexpr duration groupDelay = 10ms;
constexpr std::size_t maximumGroupBytes = 64UL * 1024;
constexpr duration initialRetryDelay = 100ms;
// Also the longest delay of a pending group after the end of a log outage.
constexpr duration maximumRetryDelay = 1s;

} // namespace

group_writer::group_writer(const node_identity &node, std::string stream, append_budget &budget)
    : m_node(node)
    , m_stream(std::move(stream))
    , m_budget(budget)
{
}

entry_ticket group_writer::add(log_entry entry, steady_time now)
{
    const std::size_t size = approximateSize(entry);
    m_waiting.push_back({++m_lastTicket, std::move(entry), now, size});
    m_waitingBytes += size;
    return m_lastTicket;
}

bool group_writer::withdraw(entry_ticket ticket)
{
    const auto hasTicket = [ticket](const waiting_entry &entry) { return entry.ticket == ticket; };
    // A group whose appends were all rejected is not in the log, so its entries can be regrouped. The new group gets a
    // new record id, because an id must always identify the same payload.
    if (m_inFlight && !m_inFlight->isOutstanding && !m_inFlight->mayBeInLog
        && std::any_of(m_inFlight->entries.begin(), m_inFlight->entries.end(), hasTicket)) {
        for (auto entry = m_inFlight->entries.rbegin(); entry != m_inFlight->entries.rend(); ++entry) {
            m_waitingBytes += entry->size;
            m_waiting.push_front(std::move(*entry));
        }
        m_inFlight.reset();
    }
    const auto found = std::find_if(m_waiting.begin(), m_waiting.end(), hasTicket);
    if (found == m_waiting.end()) {
        return false;
    }
    m_waitingBytes -= found->size;
    m_waiting.erase(found);
    return true;
}

std::vector<entry_ticket> group_writer::completeGroup()
{
    std::vector<entry_ticket> tickets;
    for (const waiting_entry &entry : m_inFlight->entries) {
        tickets.push_back(entry.ticket);
    }
    m_inFlight.reset();
    return tickets;
}

std::vector<entry_ticket> group_writer::handle(const event &event, steady_time now)
{
    if (!m_inFlight) {
        return {};
    }
    if (const auto *appended = std::get_if<record_appended>(&event)) {
        return appended->recordId == m_inFlight->recordId ? completeGroup() : std::vector<entry_ticket>();
    }
    const auto *failed = std::get_if<append_failed>(&event);
    if (!failed || failed->recordId != m_inFlight->recordId) {
        return {};
    }
    m_inFlight->isOutstanding = false;
    m_inFlight->mayBeInLog = m_inFlight->mayBeInLog || !failed->wasRejected;
    const duration delay = initialRetryDelay * (1U << std::min(m_inFlight->failures, 10U));
    m_inFlight->retryTime = now + std::min(delay, maximumRetryDelay);
    ++m_inFlight->failures;
    return {};
}

std::vector<entry_ticket> group_writer::handleRead(const read_batch &batch)
{
    if (!m_inFlight
        || std::find(batch.recordIds.begin(), batch.recordIds.end(), m_inFlight->recordId) == batch.recordIds.end()) {
        return {};
    }
    return completeGroup();
}

bool group_writer::isGroupDue(steady_time now) const
{
    return !m_waiting.empty() && (m_waitingBytes >= maximumGroupBytes || now >= m_waiting.front().added + groupDelay);
}

void group_writer::formGroup(steady_time now)
{
    group next;
    std::vector<log_entry> contents;
    std::size_t bytes = 0;
    while (!m_waiting.empty() && (contents.empty() || bytes + m_waiting.front().size <= maximumGroupBytes)) {
        bytes += m_waiting.front().size;
        contents.push_back(m_waiting.front().content);
        next.entries.push_back(std::move(m_waiting.front()));
        m_waiting.pop_front();
    }
    m_waitingBytes -= bytes;
    next.recordId = record_id{m_stream + ":" + m_node.id.value(), m_node.incarnation, ++m_lastRecordNumber}.toText();
    next.payload = encodeEntries(contents);
    next.retryTime = now;
    m_inFlight = std::move(next);
}

void group_writer::send(steady_time now, action_list &actions)
{
    const bool isRetryDue = m_inFlight && !m_inFlight->isOutstanding && now >= m_inFlight->retryTime;
    const bool canFormGroup = !m_inFlight && isGroupDue(now);
    if ((!isRetryDue && !canFormGroup) || !m_budget.tryTake(now)) {
        return;
    }
    if (canFormGroup) {
        formGroup(now);
    }
    m_inFlight->isOutstanding = true;
    actions.push_back(append_record{m_stream, m_inFlight->recordId, m_inFlight->payload});
}

steady_time group_writer::nextDeadline(steady_time now) const
{
    if (m_inFlight) {
        return m_inFlight->isOutstanding ? steady_time::max()
                                         : std::max(m_inFlight->retryTime, m_budget.nextAvailable(now));
    }
    if (m_waiting.empty()) {
        return steady_time::max();
    }
    const steady_time due = m_waitingBytes >= maximumGroupBytes ? now : m_waiting.front().added + groupDelay;
    return std::max(due, m_budget.nextAvailable(now));
}

bool group_writer::isEmpty() const
{
    return pendingEntries() == 0;
}

std::size_t group_writer::pendingEntries() const
{
    return m_waiting.size() + (m_inFlight ? m_inFlight->entries.size() : 0);
}

} // namespace crocuslane

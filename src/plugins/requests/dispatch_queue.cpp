#include "plugins/requests/dispatch_queue.h"

namespace crocuslane {

dispatch_queue::dispatch_queue(std::size_t capacity)
    : m_capacity(capacity)
{
}

std::optional<request_id>
dispatch_queue::push(const request_id &request, const std::string &queueName, const queue_position &position)
{
    // The tier precedes the class: otherwise interactive requests beyond the bound of one caller group would delay
    // standard requests of groups that are within their bounds.
    m_requests.insert(
        request,
        queueName,
        {position.tier, position.urgency, !position.isContinuation, position.virtualStart, m_nextSequenceNumber});
    ++m_nextSequenceNumber;
    if (m_requests.size() <= m_capacity) {
        return std::nullopt;
    }
    std::optional<request_id> last = lastRequest();
    remove(*last);
    return last;
}

void dispatch_queue::remove(const request_id &request)
{
    m_requests.remove(request);
}

void dispatch_queue::dispatch(const std::function<dispatch_result(const request_id &)> &tryStart)
{
    std::unordered_set<std::string> queuesWithoutRunner;
    for (auto queue = nextQueue(queuesWithoutRunner); queue != m_requests.queues().end();
         queue = nextQueue(queuesWithoutRunner)) {
        const std::string queueName = queue->first;
        const request_id request = queue->second.begin()->second;
        const sort_key position = queue->second.begin()->first;
        if (tryStart(request) == dispatch_result::waiting) {
            queuesWithoutRunner.insert(queueName);
            continue;
        }
        // If tryStart queued the same request again, for another version, it stays at its new position.
        const sort_key *currentPosition = m_requests.positionOf(request);
        if (currentPosition != nullptr && *currentPosition == position) {
            remove(request);
        }
    }
}

bool dispatch_queue::contains(const request_id &request) const
{
    return m_requests.contains(request);
}

std::size_t dispatch_queue::size() const
{
    return m_requests.size();
}

dispatch_queue::queue_iterator
dispatch_queue::nextQueue(const std::unordered_set<std::string> &queuesWithoutRunner) const
{
    const auto &queues = m_requests.queues();
    auto first = queues.end();
    for (auto queue = queues.begin(); queue != queues.end(); ++queue) {
        if (queuesWithoutRunner.contains(queue->first)) {
            continue;
        }
        if (first == queues.end() || queue->second.begin()->first < first->second.begin()->first) {
            first = queue;
        }
    }
    return first;
}

std::optional<request_id> dispatch_queue::lastRequest() const
{
    const auto &queues = m_requests.queues();
    auto last = queues.end();
    for (auto queue = queues.begin(); queue != queues.end(); ++queue) {
        if (last == queues.end() || last->second.rbegin()->first < queue->second.rbegin()->first) {
            last = queue;
        }
    }
    return last == queues.end() ? std::nullopt : std::optional(last->second.rbegin()->second);
}

} // namespace crocuslane

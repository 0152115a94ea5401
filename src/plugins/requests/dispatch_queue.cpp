#include "plugins/requests/dispatch_queue.h"

namespace crocuslane {

dispatch_queue::dispatch_queue(std::size_t capacity)
    : m_capacity(capacity)
{
}

std::optional<request_id>
dispatch_queue::push(const request_id &request, const std::string &lane, const queue_position &position)
{
    // The tier precedes the class: otherwise interactive requests beyond the bound of one caller group would delay
    // standard requests of groups that are within their bounds.
    m_requests.insert(
        request,
        lane,
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
    std::unordered_set<std::string> lanesWithoutRunner;
    for (auto lane = nextLane(lanesWithoutRunner); lane != m_requests.queues().end();
         lane = nextLane(lanesWithoutRunner)) {
        const std::string laneName = lane->first;
        const request_id request = lane->second.begin()->second;
        const sort_key position = lane->second.begin()->first;
        if (tryStart(request) == dispatch_result::waiting) {
            lanesWithoutRunner.insert(laneName);
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

dispatch_queue::lane_iterator dispatch_queue::nextLane(const std::unordered_set<std::string> &lanesWithoutRunner) const
{
    const auto &lanes = m_requests.queues();
    auto first = lanes.end();
    for (auto lane = lanes.begin(); lane != lanes.end(); ++lane) {
        if (lanesWithoutRunner.contains(lane->first)) {
            continue;
        }
        if (first == lanes.end() || lane->second.begin()->first < first->second.begin()->first) {
            first = lane;
        }
    }
    return first;
}

std::optional<request_id> dispatch_queue::lastRequest() const
{
    const auto &lanes = m_requests.queues();
    auto last = lanes.end();
    for (auto lane = lanes.begin(); lane != lanes.end(); ++lane) {
        if (last == lanes.end() || last->second.rbegin()->first < lane->second.rbegin()->first) {
            last = lane;
        }
    }
    return last == lanes.end() ? std::nullopt : std::optional(last->second.rbegin()->second);
}

} // namespace crocuslane

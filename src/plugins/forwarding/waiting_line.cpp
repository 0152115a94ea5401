#include "plugins/forwarding/waiting_line.h"

#include <iterator>
#include <vector>

namespace crocuslane {

void waiting_line::push(const request_id &request, const std::string &lane, unsigned rank)
{
    m_requests.insert(request, lane, {rank, ++m_lastSequence});
}

void waiting_line::remove(const request_id &request)
{
    m_requests.remove(request);
}

bool waiting_line::contains(const request_id &request) const
{
    return m_requests.contains(request);
}

std::size_t waiting_line::size() const
{
    return m_requests.size();
}

std::size_t waiting_line::before(const std::string &lane, unsigned rank) const
{
    const auto found = m_requests.queues().find(lane);
    if (found == m_requests.queues().end()) {
        return 0;
    }
    const auto end = found->second.lower_bound({rank + 1, 0});
    return static_cast<std::size_t>(std::distance(found->second.begin(), end));
}

void waiting_line::dispatch(const std::function<bool(const request_id &)> &tryStart)
{
    std::vector<std::string> lanes;
    for (const auto &[lane, requests] : m_requests.queues()) {
        lanes.push_back(lane);
    }
    for (const std::string &lane : lanes) {
        while (true) {
            const auto found = m_requests.queues().find(lane);
            if (found == m_requests.queues().end()) {
                break;
            }
            const request_id first = found->second.begin()->second;
            if (!tryStart(first)) {
                break;
            }
            remove(first);
        }
    }
}

} // namespace crocuslane

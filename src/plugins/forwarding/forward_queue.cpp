#include "plugins/forwarding/forward_queue.h"

#include <iterator>
#include <vector>

namespace crocuslane {

void forward_queue::push(const request_id &request, const std::string &service, unsigned priority)
{
    m_requests.insert(request, service, {priority, ++m_lastSequence});
}

void forward_queue::remove(const request_id &request)
{
    m_requests.remove(request);
}

bool forward_queue::contains(const request_id &request) const
{
    return m_requests.contains(request);
}

std::size_t forward_queue::size() const
{
    return m_requests.size();
}

std::size_t forward_queue::countBefore(const std::string &service, unsigned priority) const
{
    const auto found = m_requests.queues().find(service);
    if (found == m_requests.queues().end()) {
        return 0;
    }
    const auto end = found->second.lower_bound({priority + 1, 0});
    return static_cast<std::size_t>(std::distance(found->second.begin(), end));
}

void forward_queue::dispatch(const std::function<bool(const request_id &)> &tryStart)
{
    std::vector<std::string> services;
    for (const auto &[service, requests] : m_requests.queues()) {
        services.push_back(service);
    }
    for (const std::string &service : services) {
        while (true) {
            const auto found = m_requests.queues().find(service);
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

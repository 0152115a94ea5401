#include "plugins/forwarding/forward_queue.h"

#include <algorithm>

namespace crocuslane {

void forward_queue::push(const waiting_request &waiting, const service_id &service, steady_time now)
{
    remove(waiting.request, now);
    service_queue &queue = m_services[service];
    queue.requests.push(waiting);
    queue.byPriority[waiting.priority];
    m_serviceByRequest.emplace(waiting.request, service);
    updateContention(queue, now);
}

void forward_queue::remove(const request_id &request, steady_time now)
{
    const auto found = m_serviceByRequest.find(request);
    if (found == m_serviceByRequest.end()) {
        return;
    }
    service_queue &queue = m_services.at(found->second);
    queue.requests.remove(request);
    m_serviceByRequest.erase(found);
    updateContention(queue, now);
}

bool forward_queue::contains(const request_id &request) const
{
    return m_serviceByRequest.contains(request);
}

std::size_t forward_queue::size() const
{
    return m_serviceByRequest.size();
}

std::size_t forward_queue::countBefore(const service_id &service, unsigned priority) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? 0 : found->second.requests.countUpTo(priority);
}

void forward_queue::noteStart(const service_id &service,
                              const organisation_id &organisation,
                              unsigned priority,
                              steady_time now)
{
    service_queue &queue = m_services[service];
    queue.requests.noteStart(organisation, priority, now);
    for (auto &[each, forecast] : queue.byPriority) {
        if (each == priority) {
            forecast.own.noteStart(now);
        }
        if (each >= priority) {
            forecast.upTo.noteStart(now);
        }
    }
}

std::optional<duration> forward_queue::predictedDelay(const service_id &service,
                                                      const organisation_id &organisation,
                                                      unsigned priority,
                                                      steady_time now) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return std::nullopt;
    }
    const admission_queue &requests = found->second.requests;
    const auto forecast = found->second.byPriority.find(priority);
    const std::size_t before = requests.countBefore(organisation, priority);
    if (forecast == found->second.byPriority.end() || before == 0) {
        return std::nullopt;
    }
    const std::size_t moreUrgent = requests.countUpTo(priority) - requests.count(priority);
    const std::optional<duration> own = forecast->second.own.delay(before - moreUrgent, now);
    const std::optional<duration> upTo = forecast->second.upTo.delay(before, now);
    // An empty value compares as less than any other. The starts of this priority alone show what more urgent requests,
    // including those still to come, leave to it.
    return std::max(own, upTo);
}

void forward_queue::dispatch(steady_time now, const std::function<bool(const request_id &)> &tryStart)
{
    const auto start = [&](const std::optional<request_id> &request) {
        if (!request || !tryStart(*request)) {
            return false;
        }
        remove(*request, now);
        return true;
    };
    for (auto &[service, queue] : m_services) {
        while (const std::optional<request_id> chosen = queue.requests.next(now)) {
            if (start(chosen)) {
                continue;
            }
            // The guaranteed share of a lower priority doesn't hold up more urgent requests that a runner can take.
            const std::optional<request_id> urgent = queue.requests.nextMostUrgent(now);
            if (urgent == chosen || !start(urgent)) {
                break;
            }
        }
    }
}

void forward_queue::updateContention(service_queue &queue, steady_time now)
{
    for (auto &[priority, forecast] : queue.byPriority) {
        forecast.own.setContended(queue.requests.count(priority) > 0, now);
        forecast.upTo.setContended(queue.requests.countUpTo(priority) > 0, now);
    }
}

} // namespace crocuslane

#pragma once

#include "plugins/admission/admission_queue.h"
#include "plugins/admission/start_forecast.h"

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

namespace crocuslane {

/// Requests that wait for a runner with free capacity, in one queue per service.
class forward_queue
{
public:
    void push(const waiting_request &waiting, const service_id &service, steady_time now);
    void remove(const request_id &request, steady_time now);
    bool contains(const request_id &request) const;
    std::size_t size() const;
    /// Number of queued requests of @p service with @p priority or a more urgent one.
    std::size_t countBefore(const service_id &service, unsigned priority) const;
    /// Counts an attempt at a runner of @p service, of a queued request or another one.
    void noteStart(const service_id &service, const organisation_id &organisation, unsigned priority, steady_time now);
    /// Time until a new request would start. Empty when it is unknown, or no request waits in front of it.
    std::optional<duration> predictedDelay(const service_id &service,
                                           const organisation_id &organisation,
                                           unsigned priority,
                                           steady_time now) const;
    /// Calls @p tryStart with the next request of each service until it returns false or no request of the service is
    /// queued. Removes each request for which @p tryStart returned true.
    void dispatch(steady_time now, const std::function<bool(const request_id &)> &tryStart);

private:
    struct forecasts {
        /// From the requests of this priority.
        start_forecast own;
        /// From the requests of this priority and more urgent ones.
        start_forecast upTo;
    };

    struct service_queue {
        admission_queue requests;
        std::map<unsigned, forecasts> byPriority;
    };

    static void updateContention(service_queue &queue, steady_time now);

    std::map<service_id, service_queue> m_services;
    std::unordered_map<request_id, service_id> m_serviceByRequest;
};

} // namespace crocuslane

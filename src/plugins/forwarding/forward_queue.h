#pragma once

#include "base/queue_set.h"
#include "base/text_id.h"

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace crocuslane {

/// Requests that wait for a runner with free capacity, in one queue per service.
class forward_queue
{
public:
    /// The request with the lowest value of @p priority goes first; requests of equal priority go in order of arrival.
    void push(const request_id &request, const std::string &service, unsigned priority);
    void remove(const request_id &request);
    bool contains(const request_id &request) const;
    std::size_t size() const;
    /// Number of queued requests of @p service that go before a new one of @p priority.
    std::size_t countBefore(const std::string &service, unsigned priority) const;
    /// Calls @p tryStart with the first request of each service until it returns false or no request of the service is
    /// queued. Removes each request for which @p tryStart returned true.
    void dispatch(const std::function<bool(const request_id &)> &tryStart);

private:
    std::uint64_t m_lastSequence = 0;
    /// Ordered by priority, then by arrival.
    queue_set<request_id, std::pair<unsigned, std::uint64_t>> m_requests;
};

} // namespace crocuslane

#pragma once

#include "kernel/forward_types.h"

#include <optional>
#include <vector>

namespace crocuslane {

/// Requests that arrived before this VM had read the configuration and the list of runners, in order of arrival.
class startup_queue
{
public:
    struct entry {
        forward_request request;
        steady_time arrivedAt;
        /// The request waits no longer than until this time.
        steady_time waitsUntil;
    };

    /// Returns false when the queue is full.
    bool push(const forward_request &request, steady_time now);
    /// Returns false when the request is not queued.
    bool remove(const request_id &request);
    std::vector<entry> takeAll();
    /// Removes and returns the requests whose wait is over at @p now.
    std::vector<entry> takeExpired(steady_time now);
    /// steady_time::max() when the queue is empty.
    steady_time nextDeadline() const;
    std::size_t size() const;

private:
    std::vector<entry> m_entries;
};

} // namespace crocuslane

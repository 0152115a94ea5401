#pragma once

#include "base/queue_set.h"
#include "services/admission_controller.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_set>

namespace crocuslane {

/// Position of a request in its queue. The lowest position is dispatched first.
struct queue_position {
    admission_tier tier = admission_tier::within_bound;
    request_class urgency = request_class::standard;
    /// A request that has already run in part precedes new requests of its class.
    bool isContinuation = false;
    double virtualStart = 0.0;
};

enum class dispatch_result {
    /// The request no longer waits in its queue: it was started, has ended or was queued again.
    taken,
    /// No runner is free for the request, nor for any other request of its queue.
    waiting,
};

/// The requests that wait for a free runner, at most @c capacity in all. They are divided into queues: the requests of
/// one queue can be served by the same runners, so a dispatch round makes one unsuccessful try per queue without a free
/// runner, however many requests wait in it.
class dispatch_queue
{
public:
    explicit dispatch_queue(std::size_t capacity);

    /// When the dispatch queue is full, removes the last request and returns it, which may be @p request itself.
    std::optional<request_id>
    push(const request_id &request, const std::string &queueName, const queue_position &position);
    void remove(const request_id &request);
    /// Calls @p tryStart for the waiting requests by position until each queue is empty or has no free runner.
    /// @p tryStart may push and remove requests.
    void dispatch(const std::function<dispatch_result(const request_id &)> &tryStart);
    bool contains(const request_id &request) const;
    std::size_t size() const;

private:
    /// Tier, class, whether the request is new, virtual start, sequence number of the arrival.
    using sort_key = std::tuple<admission_tier, request_class, bool, double, std::uint64_t>;
    using queue_iterator = std::map<std::string, std::map<sort_key, request_id>>::const_iterator;
    queue_iterator nextQueue(const std::unordered_set<std::string> &queuesWithoutRunner) const;
    std::optional<request_id> lastRequest() const;

    std::size_t m_capacity;
    std::uint64_t m_nextSequenceNumber = 0;
    queue_set<request_id, sort_key> m_requests;
};

} // namespace crocuslane

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

/// Place of a waiting request; the lowest goes first.
struct queue_position {
    admission_tier standing = admission_tier::within_bound;
    request_class urgency = request_class::standard;
    /// A request that has already run in part goes before new ones of its class.
    bool isContinuation = false;
    double order = 0.0;
};

enum class dispatch_result {
    /// The request left the queue.
    taken,
    /// No runner is free for it, nor for any other request of its lane.
    waiting,
};

/// Requests that wait for a free runner. Requests of one lane can be served by the same runners, so a dispatch round
/// asks once per lane that has no free runner, however many requests wait in it.
class dispatch_queue
{
public:
    explicit dispatch_queue(std::size_t capacity);

    /// Returns the request that had to give way when the queue is full, which may be @p request itself.
    std::optional<request_id> push(const request_id &request, const std::string &lane, const queue_position &position);
    void remove(const request_id &request);
    /// Offers waiting requests in order until each lane is empty or waiting. @p tryStart may push and remove.
    void dispatch(const std::function<dispatch_result(const request_id &)> &tryStart);
    bool contains(const request_id &request) const;
    std::size_t size() const;

private:
    /// Standing, class, new request, order, sequence of arrival.
    using key = std::tuple<admission_tier, request_class, bool, double, std::uint64_t>;
    using lane_iterator = std::map<std::string, std::map<key, request_id>>::const_iterator;
    lane_iterator bestLane(const std::unordered_set<std::string> &waitingLanes) const;
    std::optional<request_id> worstRequest() const;

    std::size_t m_capacity;
    std::uint64_t m_nextSequence = 0;
    queue_set<request_id, key> m_requests;
};

} // namespace crocuslane

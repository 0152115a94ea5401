#pragma once

#include "base/queue_set.h"
#include "base/text_id.h"

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace crocuslane {

/// Requests that wait for room at a runner, by lane: requests of one lane can be served by the same runners.
class waiting_line
{
public:
    /// The lowest @p rank goes first, within a rank the earliest.
    void push(const request_id &request, const std::string &lane, unsigned rank);
    void remove(const request_id &request);
    bool contains(const request_id &request) const;
    std::size_t size() const;
    /// Requests of a lane that go before a new one of @p rank.
    std::size_t before(const std::string &lane, unsigned rank) const;
    /// Offers the first request of each lane until @p tryStart returns false for it or the lane is empty. A request
    /// that was started has left the line before the call returns.
    void dispatch(const std::function<bool(const request_id &)> &tryStart);

private:
    std::uint64_t m_lastSequence = 0;
    /// By rank, then by arrival.
    queue_set<request_id, std::pair<unsigned, std::uint64_t>> m_requests;
};

} // namespace crocuslane

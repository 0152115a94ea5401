#pragma once

#include "base/text_id.h"

#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <unordered_map>

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
    using key = std::pair<unsigned, std::uint64_t>;
    struct place {
        std::string lane;
        key position;
    };

    std::uint64_t m_lastSequence = 0;
    std::map<std::string, std::map<key, request_id>> m_lanes;
    std::unordered_map<request_id, place> m_places;
};

} // namespace crocuslane

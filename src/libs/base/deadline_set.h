#pragma once

#include "base/clock.h"
#include "base/text_id.h"

#include <optional>
#include <set>
#include <unordered_map>

namespace crocuslane {

/// The next deadline of each request.
class deadline_set
{
public:
    /// Sets the request's deadline and replaces an earlier one.
    void set(const request_id &request, steady_time deadline);
    void clear(const request_id &request);
    /// The earliest deadline; steady_time::max() when there is none.
    steady_time next() const;
    /// Removes and returns one request whose deadline is at or before @p now.
    std::optional<request_id> takeExpired(steady_time now);

private:
    std::set<std::pair<steady_time, request_id>> m_ordered;
    std::unordered_map<request_id, steady_time> m_byRequest;
};

} // namespace crocuslane

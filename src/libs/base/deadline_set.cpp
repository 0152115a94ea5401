#include "base/deadline_set.h"

namespace crocuslane {

void deadline_set::set(const request_id &request, steady_time deadline)
{
    clear(request);
    m_ordered.emplace(deadline, request);
    m_byRequest.emplace(request, deadline);
}

void deadline_set::clear(const request_id &request)
{
    const auto found = m_byRequest.find(request);
    if (found == m_byRequest.end()) {
        return;
    }
    m_ordered.erase({found->second, request});
    m_byRequest.erase(found);
}

steady_time deadline_set::next() const
{
    return m_ordered.empty() ? steady_time::max() : m_ordered.begin()->first;
}

std::optional<request_id> deadline_set::takeExpired(steady_time now)
{
    if (next() > now) {
        return std::nullopt;
    }
    if (m_ordered.empty()) {
        return std::nullopt;
    }
    request_id request = m_ordered.begin()->second;
    clear(request);
    return request;
}

} // namespace crocuslane

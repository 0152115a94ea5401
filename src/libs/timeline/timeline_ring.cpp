#include "timeline/timeline_ring.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace crocuslane {

namespace {

std::string toJsonText(const nlohmann::json &value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

nlohmann::json toJson(const timeline_event &event)
{
    return {{"time_ms", event.time.milliseconds},
            {"logical", event.time.logical},
            {"vm", event.vm.value()},
            {"kind", toName(event.kind)},
            {"request", event.request.value()},
            {"detail", event.detail}};
}

timeline_ring::timeline_ring(hybrid_clock &clock, vm_id vm, std::size_t capacity)
    : m_clock(clock)
    , m_vm(std::move(vm))
    , m_capacity(std::max<std::size_t>(1, capacity))
{
}

void timeline_ring::record(timeline_kind kind, const request_id &request, std::string detail)
{
    if (detail.size() > maximumDetailBytes) {
        detail.resize(maximumDetailBytes);
        detail.shrink_to_fit();
    }
    if (m_events.size() == m_capacity) {
        m_events.pop_front();
        ++m_overwritten;
    }
    m_events.push_back({m_clock.now(), m_vm, kind, request, std::move(detail)});
}

std::vector<timeline_event> timeline_ring::events(const request_id &request, std::int64_t sinceMilliseconds) const
{
    const auto first = std::lower_bound(
        m_events.begin(), m_events.end(), sinceMilliseconds, [](const timeline_event &event, std::int64_t since) {
            return event.time.milliseconds < since;
        });
    std::vector<timeline_event> found;
    std::copy_if(first, m_events.end(), std::back_inserter(found), [&request](const timeline_event &event) {
        return request.isEmpty() || event.request == request;
    });
    return found;
}

std::string timeline_ring::eventsJson(const request_id &request, std::int64_t sinceMilliseconds) const
{
    nlohmann::json list = nlohmann::json::array();
    for (const timeline_event &event : events(request, sinceMilliseconds)) {
        list.push_back(toJson(event));
    }
    return toJsonText({{"events", std::move(list)}});
}

std::optional<std::int64_t> timeline_ring::oldestMilliseconds() const
{
    return m_events.empty() ? std::nullopt : std::optional(m_events.front().time.milliseconds);
}

std::size_t timeline_ring::size() const
{
    return m_events.size();
}

std::size_t timeline_ring::capacity() const
{
    return m_capacity;
}

std::uint64_t timeline_ring::overwritten() const
{
    return m_overwritten;
}

} // namespace crocuslane

#pragma once

#include "base/hybrid_clock.h"
#include "kernel/timeline.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace crocuslane {

struct timeline_event {
    hybrid_time time;
    vm_id vm;
    timeline_kind kind = timeline_kind::request_received;
    request_id request;
    std::string detail;
};

/// {"time_ms", "logical", "vm", "kind", "request", "detail"}; bytes that are not UTF-8 are replaced.
nlohmann::json toJson(const timeline_event &event);

/// The last events of this process, for the time line over all entry VMs: merged by time, logical and VM, an effect
/// never stands before its cause on another VM.
class timeline_ring : public timeline_recorder
{
public:
    /// Longer details are cut, so that the ring has a bound in bytes too.
    static constexpr std::size_t maximumDetailBytes = 240;

    /// @p time must outlive the ring. It is the clock that stamps the messages to other VMs.
    timeline_ring(hybrid_clock &time, vm_id vm, std::size_t capacity);

    void record(timeline_kind kind, const request_id &request, std::string detail) override;
    /// Events in order of time, all requests for an empty @p request, from @p sinceMilliseconds (Unix) on.
    std::vector<timeline_event> events(const request_id &request, std::int64_t sinceMilliseconds) const;
    /// The same as a JSON object with the list "events".
    std::string eventsJson(const request_id &request, std::int64_t sinceMilliseconds) const;
    /// Unix milliseconds of the oldest event held; nothing without events.
    std::optional<std::int64_t> oldestMilliseconds() const;
    std::size_t size() const;
    std::size_t capacity() const;
    /// Events that newer ones have pushed out.
    std::uint64_t overwritten() const;

private:
    hybrid_clock &m_time;
    vm_id m_vm;
    std::size_t m_capacity;
    std::deque<timeline_event> m_events;
    std::uint64_t m_overwritten = 0;
};

} // namespace crocuslane

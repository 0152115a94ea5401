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

/// One event on a VM; @c request is empty when the event concerns no single request.
struct timeline_event {
    hybrid_time time;
    vm_id vm;
    timeline_kind kind = timeline_kind::request_received;
    request_id request;
    std::string detail;
};

/// JSON object with "time_ms", "logical", "vm", "kind", "request" and "detail". Strings may contain invalid UTF-8,
/// which must be replaced when the object is written.
nlohmann::json toJson(const timeline_event &event);

/// Ring buffer of the latest events of this process. The events of all entry VMs can be merged into one timeline:
/// sorted by time, logical counter and VM, no event precedes its cause on another VM.
class timeline_ring : public timeline_recorder
{
public:
    /// Longer details are truncated, which also limits the memory of the ring buffer.
    static constexpr std::size_t maximumDetailBytes = 240;

    /// @p clock must outlive this object, and must be the clock that also stamps messages to other VMs.
    timeline_ring(hybrid_clock &clock, vm_id vm, std::size_t capacity);

    void record(timeline_kind kind, const request_id &request, std::string detail) override;
    /// Events of @p request, or of all requests when it is empty, from @p sinceMilliseconds (Unix time) on, ordered by
    /// time.
    std::vector<timeline_event> events(const request_id &request, std::int64_t sinceMilliseconds) const;
    /// The same events as text of a JSON object with the list "events"; invalid UTF-8 is replaced.
    std::string eventsJson(const request_id &request, std::int64_t sinceMilliseconds) const;
    /// Time of the oldest stored event in Unix milliseconds; empty when there are no events.
    std::optional<std::int64_t> oldestMilliseconds() const;
    /// Number of stored events.
    std::size_t size() const;
    /// Maximum number of stored events.
    std::size_t capacity() const;
    /// Number of events that were overwritten by newer ones.
    std::uint64_t overwritten() const;

private:
    hybrid_clock &m_clock;
    vm_id m_vm;
    std::size_t m_capacity;
    std::deque<timeline_event> m_events;
    std::uint64_t m_overwritten = 0;
};

} // namespace crocuslane

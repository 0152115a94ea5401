#pragma once

#include "base/clock.h"
#include "base/text_id.h"

#include <deque>
#include <unordered_map>

namespace crocuslane {

/// Repeats that this VM may send to each service, so that all VMs together keep a limit without talking to each other:
/// in any window, a share of the VM's own requests and an equal part of a fixed allowance.
class repeat_budget
{
public:
    struct limit {
        double share = 0.0;
        double allowance = 0.0;
        duration window{};
    };

    explicit repeat_budget(limit limit);

    void noteRequest(const service_id &service, steady_time now);
    /// Counts a repeat, or returns false when there is none left. @p vms share the allowance.
    bool take(const service_id &service, std::size_t vms, steady_time now);

private:
    struct bucket {
        std::int64_t slot = 0;
        unsigned requests = 0;
        unsigned repeats = 0;
    };
    struct totals {
        unsigned requests = 0;
        unsigned repeats = 0;
    };

    bucket &current(const service_id &service, steady_time now);
    totals sum(const service_id &service, steady_time now) const;
    std::int64_t slotOf(steady_time now) const;

    limit m_limit;
    std::unordered_map<service_id, std::deque<bucket>> m_buckets;
};

} // namespace crocuslane

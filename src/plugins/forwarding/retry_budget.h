#pragma once

#include "base/clock.h"
#include "base/text_id.h"

#include <deque>
#include <unordered_map>

namespace crocuslane {

/// Limits the retries that this VM sends to each service. In any window, they stay below a share of the VM's own
/// requests plus an equal part of a fixed allowance, so that all VMs together keep the limit without communication.
class retry_budget
{
public:
    struct limit {
        double share = 0.0;
        double allowance = 0.0;
        duration window{};
    };

    explicit retry_budget(limit limit);

    void recordRequest(const service_id &service, steady_time now);
    /// Counts a retry, or returns false when the budget is used up. @p vmCount VMs share the allowance.
    bool tryTake(const service_id &service, std::size_t vmCount, steady_time now);

private:
    struct bucket {
        std::int64_t slot = 0;
        unsigned requests = 0;
        unsigned retries = 0;
    };
    struct totals {
        unsigned requests = 0;
        unsigned retries = 0;
    };

    bucket &currentBucket(const service_id &service, steady_time now);
    totals sum(const service_id &service, steady_time now) const;
    std::int64_t slotOf(steady_time now) const;

    limit m_limit;
    std::unordered_map<service_id, std::deque<bucket>> m_buckets;
};

} // namespace crocuslane

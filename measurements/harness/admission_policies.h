#pragma once

#include "kernel/plugin.h"
#include "services/admission_controller.h"

#include <map>
#include <memory>

namespace crocuslane {

/// Requests of one group granted within its limit, per whole second since the start, over all entry VMs of a run.
class grant_counts
{
public:
    void count(const caller_group_id &group, duration sinceStart);
    /// Highest mean per second over @p window within the period.
    double highestRate(const caller_group_id &group, int fromSecond, int untilSecond, int window) const;
    double meanRate(const caller_group_id &group, int fromSecond, int untilSecond) const;

private:
    std::map<caller_group_id, std::map<int, double>> m_perSecond;
};

class kernel;

enum class admission_policy {
    product,
    /// A token bucket of limit ÷ VMs at each VM; refuses what is beyond.
    per_vm,
    none,
};

/// Adds the plug-ins of the policy to one of @p vmCount kernels that share @p counts, which must outlive them.
void addAdmission(kernel &target, admission_policy policy, std::size_t vmCount, grant_counts &counts);

} // namespace crocuslane

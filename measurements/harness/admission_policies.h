#pragma once

#include "kernel/plugin.h"
#include "services/admission_controller.h"

#include <map>
#include <memory>

namespace crocuslane {

/// Counts the requests granted within the limit of each caller group, per whole second since the start, over all entry
/// VMs of a run.
class grant_counts
{
public:
    void count(const caller_group_id &group, duration sinceStart);
    /// Highest mean rate per second over any @p window seconds of the given period.
    double highestRate(const caller_group_id &group, int fromSecond, int untilSecond, int window) const;
    double meanRate(const caller_group_id &group, int fromSecond, int untilSecond) const;

private:
    std::map<caller_group_id, std::map<int, double>> m_perSecond;
};

class kernel;

enum class admission_policy {
    /// The router's plug-ins membership and admission.
    product,
    /// Each VM has a token bucket with an equal part of the limit and refuses requests beyond it.
    per_vm,
    none,
};

/// Adds the plug-ins of the policy to one of @p vmCount kernels that share @p counts, which must outlive them.
void addAdmission(kernel &target, admission_policy policy, std::size_t vmCount, grant_counts &counts);

} // namespace crocuslane

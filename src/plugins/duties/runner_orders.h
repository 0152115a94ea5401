#pragma once

#include "kernel/plugin.h"

#include <map>

namespace crocuslane {

/// Desired versions of each runner, compared with what the runner reports.
///
/// A live model runner of the VM list shall hold every version that is not withdrawn of the models of its service.
class runner_orders
{
public:
    void setRunners(const std::vector<vm_entry> &entries);
    /// Orders the runner when its report differs. @p fencing is that of the duty.
    void compare(const runner_load &load,
                 const configuration &configuration,
                 log_offset fencing,
                 steady_time now,
                 action_list &actions);

private:
    struct model_runner {
        service_id service;
        std::string address;
        steady_time lastOrder = steady_time::min();
    };

    std::map<runner_id, model_runner> m_runners;
};

} // namespace crocuslane

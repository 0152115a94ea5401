#pragma once

#include "kernel/plugin.h"

#include <map>

namespace crocuslane {

/// Compares the versions that each runner reports with the desired ones, and orders the runner to change them.
///
/// The desired versions of a live model runner in the VM list are all versions of the models of its service that are
/// not withdrawn.
class runner_orders
{
public:
    void setRunners(const std::vector<vm_entry> &entries);
    /// Sends an order if the reported versions differ from the desired ones. @p fencing is the fencing number of the
    /// duty.
    void reconcile(const runner_load &load,
                   const configuration &configuration,
                   log_offset fencing,
                   steady_time now,
                   action_list &actions);

private:
    struct model_runner {
        service_id service;
        std::string address;
        steady_time lastOrderTime = steady_time::min();
    };

    std::map<runner_id, model_runner> m_runners;
};

} // namespace crocuslane

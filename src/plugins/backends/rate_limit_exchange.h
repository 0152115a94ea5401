#pragma once

#include "kernel/action.h"
#include "kernel/event.h"
#include "plugins/backends/backend_table.h"
#include "plugins/backends/rate_limit_table.h"
#include "services/member_view.h"

namespace crocuslane {

/// Brings the limits that runners state from answers and from the other entry VMs into the table, logs them, and tells
/// the other VMs what they don't know.
class rate_limit_exchange
{
public:
    /// @p backends names runners in log lines.
    rate_limit_exchange(rate_limit_table &limits, const backend_table &backends);

    /// @p members is null when this VM runs without other entry VMs.
    void setMembers(const member_view *members);
    /// The head of an answer has arrived. Returns true when a runner no longer states a limit; so does receive().
    bool headReceived(const forward_head_received &received, steady_time now, action_list &actions);
    bool receive(const runner_limits &message, steady_time now, action_list &actions);
    void connected(const vm_id &peer, steady_time now, action_list &actions) const;
    /// Sends changes, when due.
    void expire(steady_time now, action_list &actions);
    steady_time nextDeadline() const;

private:
    void
    log(rate_limit_table::change change, runner_key process, const std::string &source, action_list &actions) const;
    std::string nameOf(runner_key process) const;

    rate_limit_table &m_limits;
    const backend_table &m_backends;
    const member_view *m_members = nullptr;
    steady_time m_nextSend;
};

} // namespace crocuslane

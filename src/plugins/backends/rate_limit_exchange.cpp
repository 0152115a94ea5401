#include "plugins/backends/rate_limit_exchange.h"

#include <fmt/format.h>

namespace crocuslane {

namespace {

constexpr std::chrono::milliseconds sendInterval{250};

} // namespace

rate_limit_exchange::rate_limit_exchange(rate_limit_table &limits, const backend_table &backends)
    : m_limits(limits)
    , m_backends(backends)
{
}

void rate_limit_exchange::setMembers(const member_view *members)
{
    m_members = members;
}

bool rate_limit_exchange::headReceived(const forward_head_received &received, steady_time now, action_list &actions)
{
    const forward_answer_head &head = received.head;
    const attempt_load *load = m_backends.findAttempt(received.attempt);
    // Another runner's answer says nothing about this one.
    if (load == nullptr || head.isMisdirected || head.identity == answer_identity::other) {
        return false;
    }
    const rate_limit_table::change change =
        m_limits.note(load->process, head.rateLimit, head.isGenuine, load->startedAt, now);
    if (change == rate_limit_table::change::unreadable) {
        actions.push_back(log_decision{
            "runner_limit_unreadable", {}, {{"runner", load->runner.value()}, {"value", head.rateLimit.unreadable}}});
        return false;
    }
    log(change, load->process, "own", actions);
    expire(now, actions);
    return change == rate_limit_table::change::lifted;
}

bool rate_limit_exchange::receive(const runner_limits &message, steady_time now, action_list &actions)
{
    bool isLifted = false;
    for (const runner_limits::entry &entry : message.entries) {
        const rate_limit_table::change change = m_limits.merge(entry, now);
        log(change, entry.runner, "peer", actions);
        isLifted = isLifted || change == rate_limit_table::change::lifted;
    }
    expire(now, actions);
    return isLifted;
}

void rate_limit_exchange::connected(const vm_id &peer, steady_time now, action_list &actions) const
{
    if (m_limits.size() > 0) {
        actions.push_back(send_to_peer{peer, m_limits.describe(now)});
    }
}

void rate_limit_exchange::expire(steady_time now, action_list &actions)
{
    if (now < m_nextSend || !m_limits.hasChanges()) {
        return;
    }
    m_nextSend = now + sendInterval;
    m_limits.expire(now);
    const runner_limits message = m_limits.takeChanges(now);
    if (m_members == nullptr || message.entries.empty()) {
        return;
    }
    for (const vm_id &peer : m_members->connectedPeers()) {
        actions.push_back(send_to_peer{peer, message});
    }
}

steady_time rate_limit_exchange::nextDeadline() const
{
    return m_limits.hasChanges() ? m_nextSend : steady_time::max();
}

void rate_limit_exchange::log(rate_limit_table::change change,
                              runner_key process,
                              const std::string &source,
                              action_list &actions) const
{
    if (change == rate_limit_table::change::none) {
        return;
    }
    const bool isStated = change == rate_limit_table::change::stated;
    log_decision line{isStated ? "runner_limit_stated" : "runner_limit_lifted",
                      {},
                      {{"runner", nameOf(process)}, {"source", source}}};
    if (isStated) {
        line.fields.emplace_back("requests_per_s", fmt::format("{:g}", m_limits.find(process)->requestsPerSecond));
    }
    actions.push_back(std::move(line));
}

std::string rate_limit_exchange::nameOf(runner_key process) const
{
    for (const auto &[id, record] : m_backends.backends()) {
        if (record.process() == process) {
            return id.value();
        }
    }
    return "not_listed";
}

} // namespace crocuslane

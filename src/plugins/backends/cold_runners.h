#pragma once

#include "kernel/action.h"
#include "kernel/event.h"
#include "plugins/backends/runner_limit_source.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace crocuslane {

/// Why a runner counts as cold.
enum class cold_source {
    /// Its entry in the list of runners.
    entry,
    /// One of its answers.
    answer,
    new_process,
    /// It may have restarted unobserved.
    connection_refused,
    /// Requests were kept from its availability zone until recently.
    evacuation,
};

std::string_view toName(cold_source source);

/// Knows until when runner processes are cold, and the rate of requests that each tolerates meanwhile. While the list
/// of runners is too old to tell, all runners of services with such a rate count as cold.
class cold_runners : public runner_limit_source
{
public:
    /// Takes the rates and cold times of the services from a configuration.
    void setServices(const std::vector<forward_service> &services);
    /// Takes a new list. A process that was not in an earlier one counts as cold, except in the first list.
    void applyList(const backend_list_read &list, steady_time now);
    /// The list of runners was complete at @p time.
    void setListTime(steady_time time);
    /// The process counts as cold until @p until at least; no effect for a process that was never listed.
    void setColdUntil(runner_key runner, steady_time until, cold_source source);
    /// The process counts as cold for the cold time of its service plus @p addition from @p start on.
    void setColdFrom(runner_key runner, steady_time start, duration addition, cold_source source);

    std::optional<runner_limit> limitOf(runner_key runner, steady_time now) const override;
    bool hasLimits(steady_time now) const override;
    /// Number of processes that were cold at the last report, without those that count as cold because of an old list.
    std::size_t size() const;
    /// Whether the list was too old at the last report.
    bool isListOld() const;

    /// Adds to @p log what has changed since the last report. Returns true when a runner is no longer cold.
    bool report(steady_time now, action_list &log);
    /// When the next change is due without an event.
    steady_time nextDeadline() const;

private:
    struct service {
        double requestsPerSecond = 0.0;
        duration coldTime{};
    };
    struct process {
        runner_id runner;
        service_id serviceId;
        service rates;
        /// Stated by the runner or ordered.
        steady_time coldUntil;
        /// Start that was observed or is possible, as far as the cold time of the service counts from it.
        steady_time startedAt;
        bool mayHaveStarted = false;
        duration addition{};
        cold_source source = cold_source::entry;
        steady_time listedAt;
        bool hasStartTime = false;
        bool isListed = false;
        bool isReportedCold = false;

        steady_time until() const;
    };

    service ratesOf(const service_id &service) const;
    void noteListed(const backend_entry &entry, bool isFirstList, steady_time now);
    bool isTooOld(steady_time now) const;
    void updateLatest(const process &changed);
    bool reportList(steady_time now, action_list &log);
    static bool reportProcess(process &each, steady_time now, action_list &log);

    std::unordered_map<service_id, service> m_services;
    bool m_hasRates = false;
    std::unordered_map<runner_key, process> m_processes;
    /// Empty when not known.
    std::optional<steady_time> m_listTime;
    bool m_isListRead = false;
    /// No process is known to be cold later.
    steady_time m_latestUntil;
    bool m_hasChanged = false;
    bool m_isReportedOld = false;
    std::size_t m_reportedCold = 0;
    steady_time m_nextChange = steady_time::max();
};

} // namespace crocuslane

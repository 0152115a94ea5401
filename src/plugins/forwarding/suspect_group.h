#pragma once

#include "kernel/action.h"
#include "kernel/peer_message.h"
#include "plugins/forwarding/runner_crash_detector.h"
#include "plugins/forwarding/suspect_table.h"
#include "services/member_view.h"

#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace crocuslane {

/// Names of one kind of suspects in the log.
struct suspect_log_names {
    std::string_view id;
    std::string_view suspected;
    std::string_view isolated;
    std::string_view probed;
    std::string_view released;
};

/// Suspects of one kind, such as prompt parts, under which runners crash: the evidence that the entry VMs have of them
/// together, which of them are isolated, and when one of their requests is sent as a probe.
class suspect_group
{
public:
    using suspect_id = suspect_table::suspect_id;

    struct environment {
        const clock *time = nullptr;
        vm_id self;
        /// Null when this VM runs without other entry VMs.
        member_view *members = nullptr;
        const runner_crash_detector *runners = nullptr;
    };

    suspect_group(environment environment, const suspect_log_names &names, const suspect_table::thresholds &thresholds);

    bool isIsolated(suspect_id id) const;
    bool isSuspect(suspect_id id) const;
    /// Notes that a request with this isolated suspect came. Returns whether it may be sent as a probe.
    bool noteRefusal(suspect_id id);
    void noteProbe(suspect_id id);
    void addLoss(suspect_id id, unsigned position, const suspect_table::loss &loss);
    void addSound(suspect_id id, steady_time at);
    void eraseLosses(runner_key runner);
    /// Takes the evidence of another VM.
    void merge(const crash_evidence::part &part);

    /// Isolates suspects, releases those without requests, and schedules isolations to be sent again.
    void check();
    /// Whether check() or takeChanges() may have something to do.
    bool isActive() const;
    /// What the connected VMs don't know yet, up to @p most entries.
    std::vector<crash_evidence::part> takeChanges(std::size_t most);
    std::vector<crash_evidence::part> describeIsolated() const;
    /// True once after suspects were isolated, so that waiting requests are checked.
    bool takeIsolationsAdded();
    std::vector<suspect_id> isolated() const;
    std::vector<log_decision> takeLog();

private:
    steady_time now() const;
    suspect_table::crash_check crashCheck() const;
    bool mayProbe(suspect_id id, const suspect_table::isolation &isolation) const;
    /// Whether this is one of the entry VMs whose requests may be a probe in this time slot. All VMs compute the same
    /// order of VMs.
    bool isProber(suspect_id id, unsigned probes, std::int64_t slot) const;
    void mergeIsolation(const crash_evidence::part &part);
    void isolate();
    void logSuspected();
    void repeatIsolations();
    crash_evidence::part describe(suspect_id id) const;
    void log(std::string_view event, suspect_id id, std::string_view source);

    environment m_environment;
    suspect_log_names m_names;
    suspect_table m_table;
    /// Suspects of which the connected entry VMs don't have the newest evidence yet, with the time from which it may be
    /// sent.
    std::unordered_map<suspect_id, steady_time> m_changed;
    std::set<suspect_id> m_loggedSuspects;
    std::vector<log_decision> m_log;
    steady_time m_nextRepetition;
    bool m_hasNewIsolations = false;
};

} // namespace crocuslane

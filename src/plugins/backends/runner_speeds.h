#pragma once

#include "base/clock.h"
#include "kernel/runner_key.h"

#include <functional>
#include <string>
#include <unordered_map>

namespace crocuslane {

/// Learns from answers how long work takes at each runner process, relative to the usual time of its group: a plain
/// service, or one model. Nothing is kept of a process that was replaced.
class runner_speeds
{
public:
    /// @p expected is the time that the work usually takes; a constant factor in it has no effect.
    void add(const std::string &group, runner_key process, duration measured, duration expected, steady_time now);
    /// Time of work at the process relative to the usual time. 1 for an unknown process, and while the difference is
    /// within the uncertainty of what was measured.
    double timeFactor(runner_key process, steady_time now) const;
    /// Removes the processes that are not listed any more.
    void keepOnly(const std::function<bool(runner_key)> &isListed);
    /// Number of processes at which work takes notably longer than usual.
    std::size_t slowProcesses(steady_time now) const;

private:
    /// Mean of logarithms whose weights decay with time.
    struct decaying_mean {
        double weight = 0.0;
        double sum = 0.0;

        void decay(duration elapsed, duration halfLife);
        void add(double value);
    };
    struct learned_speed {
        decaying_mean machine;
        decaying_mean recent;
        steady_time updatedAt;

        void decayTo(steady_time now);
    };
    struct process_speed {
        std::string group;
        learned_speed learned;
    };
    struct group_times {
        /// Mean and variance of the logarithms of measured to expected times.
        double mean = 0.0;
        double variance = 0.25;
        double measurements = 0.0;
    };

    std::unordered_map<runner_key, process_speed> m_processes;
    std::unordered_map<std::string, group_times> m_groups;
};

} // namespace crocuslane

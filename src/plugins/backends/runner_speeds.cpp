#include "plugins/backends/runner_speeds.h"

#include <algorithm>
#include <cmath>

namespace crocuslane {

namespace {

// The speed of a machine stays for as long as its process; the half-life only limits the effect of old measurements.
constexpr std::chrono::seconds machineHalfLife{300};
// A temporary slowdown lasts some seconds.
constexpr std::chrono::seconds recentHalfLife{5};
// As many measurements at the usual speed are assumed of each process before the first one.
constexpr double priorMeasurements = 4.0;
// Differences below this many standard errors have no effect: among 140 equal runners, hardly any exceeds it by chance.
constexpr double ignoredErrors = 3.0;
// A group's mean and variance are averages over about this many measurements.
constexpr double groupMeasurements = 400.0;
constexpr double smallestFactor = 0.4;
constexpr double largestFactor = 4.0;
constexpr double slowFactor = 1.3;

/// 0 for a @p value that chance explains; for larger ones the reduction falls with the square of the value.
double beyondChance(double value, double variance, double measurements)
{
    const double ignoredSquare = ignoredErrors * ignoredErrors * variance / measurements;
    const double square = value * value;
    return square <= ignoredSquare ? 0.0 : value * (1.0 - ignoredSquare / square);
}

} // namespace

void runner_speeds::decaying_mean::decay(duration elapsed, duration halfLife)
{
    const double kept = std::exp2(-toSeconds(elapsed) / toSeconds(halfLife));
    weight *= kept;
    sum *= kept;
}

void runner_speeds::decaying_mean::add(double value)
{
    weight += 1.0;
    sum += value;
}

void runner_speeds::learned_speed::decayTo(steady_time now)
{
    machine.decay(now - updatedAt, machineHalfLife);
    recent.decay(now - updatedAt, recentHalfLife);
    updatedAt = now;
}

void runner_speeds::add(
    const std::string &group, runner_key process, duration measured, duration expected, steady_time now)
{
    if (measured <= duration::zero() || expected <= duration::zero()) {
        return;
    }
    const double value = std::log(toSeconds(measured) / toSeconds(expected));
    group_times &times = m_groups[group];
    times.measurements = std::min(times.measurements + 1.0, groupMeasurements);
    times.mean += (value - times.mean) / times.measurements;
    const double deviation = value - times.mean;
    const auto [found, isNew] = m_processes.try_emplace(process);
    learned_speed &speed = found->second.learned;
    speed.decayTo(isNew ? speed.updatedAt : now);
    speed.updatedAt = now;
    found->second.group = group;
    // The variance around the process's own mean: the difference between machines is no uncertainty.
    const double noise = deviation - speed.machine.sum / (speed.machine.weight + priorMeasurements);
    times.variance += (noise * noise - times.variance) / groupMeasurements;
    speed.machine.add(deviation);
    speed.recent.add(deviation);
}

double runner_speeds::timeFactor(runner_key process, steady_time now) const
{
    const auto found = m_processes.find(process);
    if (found == m_processes.end()) {
        return 1.0;
    }
    learned_speed speed = found->second.learned;
    speed.decayTo(now);
    const double variance = m_groups.at(found->second.group).variance;
    const double machineWeight = speed.machine.weight + priorMeasurements;
    const double machine = beyondChance(speed.machine.sum / machineWeight, variance, machineWeight);
    const double recentWeight = speed.recent.weight + priorMeasurements;
    // Without new measurements, the sum and with it the temporary part decay towards the machine's own speed.
    const double difference = (speed.recent.sum - speed.recent.weight * machine) / recentWeight;
    const double temporary = beyondChance(difference, variance, recentWeight);
    return std::clamp(std::exp(machine + temporary), smallestFactor, largestFactor);
}

void runner_speeds::keepOnly(const std::function<bool(runner_key)> &isListed)
{
    std::erase_if(m_processes, [&isListed](const auto &each) { return !isListed(each.first); });
}

std::size_t runner_speeds::slowProcesses(steady_time now) const
{
    return static_cast<std::size_t>(std::count_if(m_processes.begin(), m_processes.end(), [&](const auto &each) {
        return timeFactor(each.first, now) >= slowFactor;
    }));
}

} // namespace crocuslane

#include "measure/measurement.h"

#include "harness/admission_policies.h"
#include "harness/fixed_services.h"
#include "harness/policies.h"
#include "harness/simulation.h"

#include <algorithm>

namespace crocuslane {

namespace {

/// Largest p99 of other groups while one group exceeds its limit, relative to that without.
constexpr double target = 1.2;
constexpr double minimumGoodput = 0.95;
/// Largest granted rate over five seconds, relative to the limit; allows for the requests of one exchange interval.
constexpr double maximumLimitUse = 1.1;

constexpr double normalUtilization = 0.35;
constexpr double peakFactor = 4.0;
constexpr double abuseUtilization = 0.6;
constexpr double abuseFactor = 10.0;
/// Limit of a group relative to its mean rate.
constexpr double limitHeadroom = 1.5;
constexpr std::size_t abusingGroup = 1;
/// Callers keep using the recommended entry address, so this share of a group's requests goes to one VM.
constexpr double homeVmShare = 0.7;
constexpr std::chrono::seconds rampTime{2};
constexpr std::chrono::seconds drainTime{20};
/// Latency that a request without an answer counts as.
constexpr double unansweredSeconds = 60.0;
constexpr int limitWindowSeconds = 5;

struct phase_times {
    std::chrono::seconds loadChange{20};
    std::chrono::seconds isolation{40};
    std::chrono::seconds end{60};
};

struct scenario {
    deployment_parameters deployment;
    workload_parameters workload;
    phase_times times;
    double requestsPerSecond = 0.0;
    std::vector<caller_group_settings> groups;
};

struct admission_row {
    std::string name;
    admission_policy admission;
};

const std::vector<admission_row> admissionRows{
    {"product", admission_policy::product}, {"per VM", admission_policy::per_vm}, {"none", admission_policy::none}};

caller_group_id groupId(std::size_t organisation)
{
    return caller_group_id("organisation-" + std::to_string(organisation) + "/callers");
}

std::string keyOf(std::size_t organisation)
{
    return "key-" + std::to_string(organisation);
}

/// Requests at a constant rate over the whole run. The prefix keeps ids of several calls distinct.
std::vector<simulated_request>
requestsAt(const scenario &scenario, double perSecond, std::uint64_t seed, const std::string &prefix)
{
    workload_parameters parameters = scenario.workload;
    parameters.requestsPerSecond = perSecond;
    parameters.length = scenario.times.end;
    std::vector<simulated_request> requests = makeWorkload(parameters, scenario.deployment, seed);
    for (simulated_request &request : requests) {
        request.id = request_id(prefix + request.id.value());
    }
    return requests;
}

void assignCallers(const scenario &scenario, std::vector<simulated_request> &requests, std::uint64_t seed)
{
    seeded_random random(seed);
    const std::size_t vms = scenario.deployment.vms.size();
    for (simulated_request &request : requests) {
        request.callerKeyHash = keyOf(request.organisation);
        request.vm = random.unit() < homeVmShare ? request.organisation % vms : random.below(vms);
    }
}

void merge(std::vector<simulated_request> &requests, std::vector<simulated_request> more)
{
    requests.insert(requests.end(), more.begin(), more.end());
    std::stable_sort(requests.begin(), requests.end(), [](const auto &left, const auto &right) {
        return left.arrival < right.arrival;
    });
}

/// Load that rises to four times the normal load within two seconds.
std::vector<simulated_request> peakRequests(const scenario &scenario, std::uint64_t seed)
{
    std::vector<simulated_request> requests = requestsAt(scenario, scenario.requestsPerSecond, seed, "");
    std::vector<simulated_request> more =
        requestsAt(scenario, (peakFactor - 1.0) * scenario.requestsPerSecond, seed + 1'000'000, "s");
    seeded_random random(seed);
    std::erase_if(more, [&](const simulated_request &request) {
        return random.unit() > toSeconds(request.arrival - scenario.times.loadChange) / toSeconds(rampTime);
    });
    merge(requests, std::move(more));
    assignCallers(scenario, requests, seed);
    return requests;
}

/// If @p isAbused, one group sends ten times its limit, spread over the VMs in the same way as its other requests.
std::vector<simulated_request> abuseRequests(const scenario &scenario, bool isAbused, std::uint64_t seed)
{
    std::vector<simulated_request> requests = requestsAt(scenario, scenario.requestsPerSecond, seed, "");
    if (isAbused) {
        const double perSecond = abuseFactor * scenario.groups[abusingGroup].requestsPerSecond;
        std::vector<simulated_request> more = requestsAt(scenario, perSecond, seed + 1'000'000, "a");
        std::erase_if(more,
                      [&](const simulated_request &request) { return request.arrival < scenario.times.loadChange; });
        for (simulated_request &request : more) {
            request.organisation = abusingGroup;
        }
        merge(requests, std::move(more));
    }
    assignCallers(scenario, requests, seed);
    return requests;
}

plugin_setup setupOf(const scenario &scenario, admission_policy policy, grant_counts &counts)
{
    return [&scenario, policy, &counts](kernel &target, std::size_t /*vm*/) {
        target.add(
            std::make_unique<fixed_services>(scenario.workload, std::vector{version_id("small@1")}, scenario.groups));
        target.add(makePlugin("routing"));
        addAdmission(target, policy, scenario.deployment.vms.size(), counts);
    };
}

scenario makeScenario(const deployment_parameters &deployment,
                      const workload_parameters &workload,
                      double utilization,
                      double limitFactor)
{
    scenario result{deployment, workload, {}, 0.0, {}};
    setUtilization(result.workload, deployment, utilization);
    result.requestsPerSecond = result.workload.requestsPerSecond;
    const std::vector<simulated_request> sample = requestsAt(result, 200.0, 7, "");
    std::vector<double> counts(result.workload.organisations, 0.0);
    for (const simulated_request &request : sample) {
        counts[request.organisation] += 1.0;
    }
    for (std::size_t organisation = 0; organisation < counts.size(); ++organisation) {
        caller_group_settings group;
        group.id = groupId(organisation);
        group.organisation = organisation_id("organisation-" + std::to_string(organisation));
        group.requestsPerSecond =
            limitFactor * result.requestsPerSecond * counts[organisation] / static_cast<double>(sample.size());
        group.tokensInFlight = 1'000'000'000;
        group.keyHashes = {keyOf(organisation)};
        result.groups.push_back(std::move(group));
    }
    return result;
}

/// Share of the generation time of an answer that lies in [from, until). An unfinished answer ends with the run.
double overlapShare(const request_outcome &answer, duration runEnd, duration from, duration until)
{
    const duration begin = answer.arrival + *answer.firstToken;
    const duration end = answer.end ? answer.arrival + *answer.end : runEnd;
    if (begin >= end) {
        return begin >= from && begin < until ? 1.0 : 0.0;
    }
    const duration covered = std::min(end, until) - std::max(begin, from);
    return std::max(0.0, toSeconds(covered) / toSeconds(end - begin));
}

/// Work on answers without an error during the peak, relative to the work of fully used engines in that time. The unit
/// of work is the time of an engine that runs one request.
double goodput(const scenario &scenario, const simulation &run)
{
    const engine_settings &engine = scenario.deployment.engine;
    const duration from = scenario.times.loadChange + 2 * rampTime;
    const duration until = scenario.times.end;
    double work = 0.0;
    for (const request_outcome &answer : run.outcomes()) {
        if (answer.error || !answer.firstToken) {
            continue;
        }
        // An unfinished answer has no usage yet, so its prompt is not counted.
        const double prompt = answer.usage.promptTokens - static_cast<double>(answer.usage.cachedPromptTokens);
        work += overlapShare(answer, run.elapsed(), from, until)
            * (toSeconds(engine.tokenTime) * answer.tokens + toSeconds(engine.prefillTime) * prompt);
    }
    const double perRunner = engine.slots / (1.0 + engine.slowdownPerRequest * (engine.slots - 1.0));
    return work / (perRunner * static_cast<double>(scenario.deployment.runners.size()) * toSeconds(until - from));
}

struct abuse_figures {
    double p99 = 0.0;
    /// Rate granted to the abusing group within its limit, relative to that limit: mean, and highest over five seconds.
    double meanLimitUse = 0.0;
    double highestLimitUse = 0.0;
};

abuse_figures
measureAbuse(const scenario &scenario, admission_policy policy, bool isAbused, bool isIsolated, std::uint64_t seed)
{
    grant_counts counts;
    const std::vector<simulated_request> requests = abuseRequests(scenario, isAbused, seed);
    simulation run(scenario.deployment, scenario.workload, setupOf(scenario, policy, counts), seed);
    if (isIsolated) {
        // The VM that receives most requests of the abusing group.
        run.at(scenario.times.isolation, [&run] { run.isolateVm(abusingGroup); });
    }
    run.run(requests, scenario.times.end + drainTime);
    std::vector<double> seconds;
    for (std::size_t index = 0; index < requests.size(); ++index) {
        const request_outcome &answer = run.outcomes()[index];
        if (answer.kind == 0 && requests[index].organisation != abusingGroup
            && answer.arrival >= scenario.times.loadChange) {
            seconds.push_back(answer.end && !answer.error ? toSeconds(*answer.end) : unansweredSeconds);
        }
    }
    const caller_group_settings &abusing = scenario.groups[abusingGroup];
    const auto from =
        static_cast<int>((isIsolated ? scenario.times.isolation : scenario.times.loadChange + 2 * rampTime).count());
    const auto until = static_cast<int>(scenario.times.end.count());
    return {quantile(seconds, 0.99),
            counts.meanRate(abusing.id, from, until) / abusing.requestsPerSecond,
            counts.highestRate(abusing.id, from, until, limitWindowSeconds) / abusing.requestsPerSecond};
}

measure_result measureCrest(const measure_options &options)
{
    measure_result result{"crest", 0.0, target, {}};
    for (const auto &[deployment, workload] :
         {std::pair(rimalDeployment(), rimalWorkload()), std::pair(ironworksDeployment(), ironworksWorkload())}) {
        const scenario peak = makeScenario(deployment, workload, normalUtilization, limitHeadroom * peakFactor);
        const scenario abuse = makeScenario(deployment, workload, abuseUtilization, limitHeadroom);
        report_table table("crest-" + deployment.name,
                           {"p99 ratio",
                            "goodput",
                            "p99 ms",
                            "p99 quiet ms",
                            "limit use",
                            "limit use 5 s",
                            "cut: limit use",
                            "cut: 5 s"});
        for (const admission_row &policy : admissionRows) {
            const auto measureSeed = [&](std::uint64_t seed) -> std::vector<double> {
                grant_counts counts;
                const std::vector<simulated_request> requests = peakRequests(peak, seed);
                simulation run(peak.deployment, peak.workload, setupOf(peak, policy.admission, counts), seed);
                run.run(requests, peak.times.end + drainTime);
                const abuse_figures quiet = measureAbuse(abuse, policy.admission, false, false, seed);
                const abuse_figures abused = measureAbuse(abuse, policy.admission, true, false, seed);
                const abuse_figures cut = measureAbuse(abuse, policy.admission, true, true, seed);
                return {abused.p99 / quiet.p99,
                        goodput(peak, run),
                        abused.p99 * 1000.0,
                        quiet.p99 * 1000.0,
                        abused.meanLimitUse,
                        abused.highestLimitUse,
                        cut.meanLimitUse,
                        cut.highestLimitUse};
            };
            const std::vector<std::vector<double>> rows = measureSeeds(options.seeds(20, 2), measureSeed);
            table.addRow(policy.name, rows);
            if (policy.admission != admission_policy::product) {
                continue;
            }
            result.ratio = std::max(result.ratio, spreadOf(rows[0]).median);
            if (spreadOf(rows[1]).median < minimumGoodput) {
                result.missed.push_back(deployment.name + ": goodput below 0.95 of the capacity");
            }
            if (std::max(spreadOf(rows[5]).median, spreadOf(rows[7]).median) > maximumLimitUse) {
                result.missed.push_back(deployment.name
                                        + ": limit exceeded by more than the requests of one exchange interval");
            }
        }
        table.print();
        if (options.isPlotting) {
            table.plot();
        }
    }
    return result;
}

const measurement_registrar autoRegistrar("crest", measureCrest);

} // namespace

} // namespace crocuslane

#include "scenarios.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <future>
#include <iostream>

namespace {

using namespace crocuslane;

constexpr std::size_t workerCount = 3;

struct totals {
    std::uint64_t events = 0;
    std::uint64_t faults = 0;
    std::uint64_t violations = 0;
    std::uint64_t answers = 0;
    std::vector<std::string> firstViolations;
};

/// Runs every workerCount-th history from @p share on.
totals runShare(const scenario &scenario, std::uint64_t seed, std::size_t count, std::size_t share, bool isControl)
{
    totals sum;
    for (std::size_t index = share; index < count; index += workerCount) {
        const history_result result = runHistory(scenario, seed + index, isControl);
        sum.events += result.events;
        sum.faults += result.faults;
        sum.answers += result.answers;
        sum.violations += result.violations.size();
        if (!result.violations.empty()) {
            sum.firstViolations.push_back(
                fmt::format("violation {} seed={}: {}", scenario.name, seed + index, result.violations.front()));
        }
    }
    return sum;
}

totals runAll(const scenario &scenario, std::uint64_t seed, std::size_t count, bool isControl)
{
    std::vector<std::future<totals>> shares;
    for (std::size_t share = 0; share < workerCount; ++share) {
        shares.push_back(std::async(std::launch::async, runShare, std::cref(scenario), seed, count, share, isControl));
    }
    totals sum;
    for (std::future<totals> &share : shares) {
        const totals shareTotals = share.get();
        sum.events += shareTotals.events;
        sum.faults += shareTotals.faults;
        sum.answers += shareTotals.answers;
        sum.violations += shareTotals.violations;
        sum.firstViolations.insert(
            sum.firstViolations.end(), shareTotals.firstViolations.begin(), shareTotals.firstViolations.end());
    }
    return sum;
}

/// Checks the invariants with and without their mechanisms. Returns 1 on a violation, and when a control without the
/// mechanism shows none.
int prove(const std::string &name, std::uint64_t seed, std::size_t histories)
{
    std::size_t invariants = 0;
    std::uint64_t violations = 0;
    std::size_t effectiveControls = 0;
    bool hasIneffectiveControl = false;
    for (const scenario &scenario : allScenarios()) {
        if (!name.empty() && name != scenario.name) {
            continue;
        }
        const totals proof = runAll(scenario, seed, histories, false);
        const totals control = runAll(scenario, seed, histories, true);
        for (const std::string &violation : proof.firstViolations) {
            std::cerr << violation << '\n';
        }
        std::cout << fmt::format("{} histories={} events={} faults={} violations={} control={}",
                                 scenario.name,
                                 histories,
                                 proof.events,
                                 proof.faults,
                                 proof.violations,
                                 control.violations)
                  << std::endl;
        std::cerr << fmt::format("{} answers={}", scenario.name, proof.answers) << '\n';
        violations += proof.violations;
        hasIneffectiveControl = hasIneffectiveControl || control.violations == 0;
        if (scenario.isInvariant) {
            ++invariants;
            effectiveControls += control.violations > 0 ? 1 : 0;
        }
    }
    std::cout << fmt::format("invariants={} violations={} controls={}", invariants, violations, effectiveControls)
              << std::endl;
    return violations == 0 && !hasIneffectiveControl && invariants + effectiveControls > 0 ? 0 : 1;
}

/// Prints the history of one seed, to find the cause of a violation. With a @p request, only its observations and those
/// that belong to no request.
int trace(const std::string &name, std::uint64_t seed, const std::string &request)
{
    for (const scenario &scenario : allScenarios()) {
        if (name != scenario.name) {
            continue;
        }
        const history_result result = runHistory(scenario, seed, false);
        for (const observation &observed : result.observations) {
            if (request.empty() || observed.request == request || observed.request.empty()) {
                std::cout << toText(observed) << '\n';
            }
        }
        for (const std::string &violation : result.violations) {
            std::cout << violation << '\n';
        }
    }
    return 0;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    namespace options = boost::program_options;
    constexpr std::size_t quickHistories = 45;
    constexpr std::size_t fullHistories = 300;
    std::string name;
    std::uint64_t seed = 1;
    std::size_t histories = fullHistories;
    std::string tracedRequest;
    options::options_description description("prove [NAME] [--seed N] [--quick] [--histories N]");
    description.add_options()("help",
                              "show this text")("name", options::value(&name), "invariant to check (default: all)")(
        "seed", options::value(&seed), "seed of the first history")("quick", "fewer histories per invariant, for CI")(
        "histories", options::value(&histories), "histories per invariant")(
        "trace",
        options::value(&tracedRequest)->implicit_value(""),
        "print the history of the given seed, or only the observations of one request");
    options::positional_options_description positions;
    positions.add("name", 1);
    options::variables_map values;
    try {
        options::store(
            options::command_line_parser(argumentCount, arguments).options(description).positional(positions).run(),
            values);
        options::notify(values);
    } catch (const options::error &error) {
        std::cerr << error.what() << '\n' << description;
        return 2;
    }
    if (values.contains("help")) {
        std::cout << description;
        return 0;
    }
    if (values.contains("quick")) {
        histories = quickHistories;
    }
    if (values.contains("trace")) {
        return trace(name, seed, tracedRequest);
    }
    return prove(name, seed, histories);
}

#include "measure/measurement.h"

#include "harness/baseline_pickers.h"
#include "harness/fixed_services.h"
#include "harness/policies.h"
#include "services/runner_picker.h"

#include <ctime>
#include <deque>

#include <malloc.h>

namespace crocuslane {

namespace {

/// Largest decision time with 12,000 runners, relative to that with 18.
constexpr double target = 1.25;
constexpr std::uint32_t slotsPerRunner = 16;
constexpr std::size_t attemptsInFlight = 64;
constexpr unsigned tokensPerRequest = 430;
/// Load of one of 1,700 entry VMs that together have 44,000 requests/s and 19 million tokens/s.
constexpr double requestsPerSecond = 26.0;
constexpr double maximumCoreShare = 0.015;
constexpr double maximumStateBytes = 64e6;

class discarding_timeline : public timeline_recorder
{
public:
    void record(timeline_kind /*kind*/, const request_id & /*request*/, std::string /*detail*/) override
    {
    }
};

double processorSeconds()
{
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    constexpr double nanosecondsPerSecond = 1e9;
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) / nanosecondsPerSecond;
}

vm_list_read vmList(unsigned runners)
{
    vm_list_read list;
    for (unsigned index = 0; index < runners; ++index) {
        vm_entry entry;
        entry.id = "runner-" + std::to_string(index);
        entry.role = vm_role::model;
        entry.service = service_id("answers");
        entry.address = "192.0.2.1:" + std::to_string(index);
        entry.availabilityZone = "zone-" + std::to_string(index % 3);
        // One region is the worst case, because all runners are candidates for the watched subset.
        entry.region = "region";
        list.entries.push_back(std::move(entry));
    }
    return list;
}

/// One kernel with a runner_picker and a given number of runners.
class picking_kernel
{
public:
    picking_kernel(const plugin_setup &setup, unsigned runners, std::uint64_t seed)
        : m_random(seed)
    {
        const std::size_t before = mallinfo2().uordblks;
        setup(m_kernel, 0);
        m_kernel.start();
        apply(m_kernel.handle(vmList(runners)));
        // The watched subset may grow after the first load reports.
        constexpr int rounds = 3;
        for (int round = 0; round < rounds; ++round) {
            m_clock.advance(std::chrono::seconds(1));
            const std::vector<watch_runners::entry> watched = m_watched;
            for (const watch_runners::entry &entry : watched) {
                runner_load load{entry.runner, slotsPerRunner, 0, 0, {onlyVersion}, {}, backend_state::live};
                load.slotsUsed = static_cast<std::uint32_t>(m_random.below(slotsPerRunner / 2));
                apply(m_kernel.handle(runner_load_reported{load}));
            }
        }
        m_picker = &m_kernel.services().find<runner_picker>();
        m_stateBytes = static_cast<double>(mallinfo2().uordblks - before);
    }

    /// Seconds of processor time per pick, including the start and end of the attempt.
    double measureDecision(unsigned count)
    {
        pick_request request;
        request.service = service_id("answers");
        request.version = onlyVersion;
        request.work.promptTokens = 500;
        request.work.outputTokens = 100;
        const double before = processorSeconds();
        for (unsigned index = 0; index < count; ++index) {
            decide(request);
        }
        return (processorSeconds() - before) / count;
    }

    /// Seconds of processor time per received token.
    double measureToken(unsigned count)
    {
        const double before = processorSeconds();
        for (unsigned index = 0; index < count; ++index) {
            m_clock.advance(std::chrono::microseconds(100));
            m_picker->tokenReceived(m_running[index % m_running.size()]);
        }
        return (processorSeconds() - before) / count;
    }

    double stateBytes() const
    {
        return m_stateBytes;
    }

    std::size_t watched() const
    {
        return m_watched.size();
    }

private:
    void apply(const action_list &actions)
    {
        for (const action &action : actions) {
            if (const auto *watch = std::get_if<watch_runners>(&action)) {
                m_watched = watch->runners;
            }
        }
    }

    void decide(const pick_request &request)
    {
        const std::optional<runner_choice> choice = m_picker->pick(request);
        if (choice) {
            m_picker->attemptStarted(++m_lastAttempt, request, choice->runner);
            m_running.push_back(m_lastAttempt);
        }
        if (!choice || m_running.size() > attemptsInFlight) {
            m_picker->attemptEnded(m_running.front(), std::nullopt);
            m_running.pop_front();
        }
    }

    manual_clock m_clock;
    seeded_random m_random;
    discarding_timeline m_timeline;
    kernel m_kernel{{m_clock, m_random, {vm_id("vm-1"), 1, "zone-0", "region", {}, {}}, {}, m_timeline}};
    std::vector<watch_runners::entry> m_watched;
    runner_picker *m_picker = nullptr;
    std::deque<attempt_number> m_running;
    attempt_number m_lastAttempt = 0;
    double m_stateBytes = 0.0;
};

measure_result measurePick(const measure_options &options)
{
    measure_result result{"pick", 0.0, target, {}};
    const workload_parameters workload = rimalWorkload();
    report_table table("pick", {"us per decision", "state KB", "watched runners", "core share at 26 req/s"});
    struct measured_policy {
        policy choice;
        unsigned decisions;
    };
    std::vector<measured_policy> measuredPolicies{{productPolicy(workload), 40'000}};
    if (!options.isProductOnly) {
        measuredPolicies.push_back(
            {baselinePolicy(workload, "linear scan", {baseline_kind::least_reported_load}), 400});
    }
    for (const measured_policy &measured : measuredPolicies) {
        double referenceDecision = 0.0;
        for (const unsigned runners : {9U, 18U, 1200U, 12'000U}) {
            std::vector<std::vector<double>> rows(4);
            for (const std::uint64_t seed : options.seeds(20, 3)) {
                picking_kernel kernel(measured.choice.setup, runners, seed);
                const double decision = kernel.measureDecision(measured.decisions);
                const double token = kernel.measureToken(measured.decisions);
                rows[0].push_back(decision * 1e6);
                rows[1].push_back(kernel.stateBytes() / 1000.0);
                rows[2].push_back(static_cast<double>(kernel.watched()));
                rows[3].push_back(requestsPerSecond * (decision + tokensPerRequest * token));
            }
            table.addRow(measured.choice.name + ", " + std::to_string(runners), rows);
            if (measured.choice.name != "product") {
                continue;
            }
            const double decision = spreadOf(rows[0]).median;
            referenceDecision = runners == 18 ? decision : referenceDecision;
            result.ratio = decision / referenceDecision;
            if (spreadOf(rows[3]).median > maximumCoreShare) {
                result.missed.push_back(std::to_string(runners) + " runners: decisions use over 1.5% of a core");
            }
            if (spreadOf(rows[1]).median * 1000.0 > maximumStateBytes) {
                result.missed.push_back(std::to_string(runners) + " runners: state takes over 64 MB");
            }
        }
    }
    table.print();
    if (options.isPlotting) {
        table.plot();
    }
    if (result.ratio > target) {
        result.missed.push_back("decision time grows with the number of runners");
    }
    return result;
}

const measurement_registrar autoRegistrar("pick", measurePick);

} // namespace

} // namespace crocuslane

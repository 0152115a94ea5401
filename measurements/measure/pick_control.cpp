#include "measure/measurement.h"

#include "harness/control_exchange.h"
#include "harness/policies.h"

#include <algorithm>

namespace crocuslane {

namespace {

/// Largest traffic that an entry VM may send to the others.
constexpr double bytesPerSecondBudget = 5'000.0;

measure_result measurePickControl(const measure_options &options)
{
    measure_result result{"pick-control", 0.0, 1.0, {}};
    report_table table(
        "pick-control",
        {"of 5 KB/s", "mean B/s", "highest B/s", "other regions", "demand age s", "age p95 s", "majority"});
    for (const std::size_t vmCount : {6U, 20U, 60U}) {
        const auto rows = measureSeeds(options.seeds(20, 2), [&](std::uint64_t seed) -> std::vector<double> {
            control_parameters parameters;
            parameters.vmCount = vmCount;
            parameters.seed = seed;
            parameters.length = std::chrono::seconds(options.isQuick ? 20 : 60);
            const control_figures figures = measureControl(parameters);
            return {figures.highestBytesPerSecond / bytesPerSecondBudget,
                    figures.meanBytesPerSecond,
                    figures.highestBytesPerSecond,
                    figures.interRegionShare,
                    figures.medianDemandAge,
                    figures.p95DemandAge,
                    figures.majorityShare};
        });
        table.addRow(std::to_string(vmCount) + " entry VMs", rows);
        result.ratio = std::max(result.ratio, spreadOf(rows[0]).median);
        if (spreadOf(rows[6]).minimum < 1.0) {
            result.missed.push_back(std::to_string(vmCount) + " VMs: at times no contact with a majority within 6 s");
        }
    }
    table.print();
    if (options.isPlotting) {
        table.plot();
    }
    return result;
}

const measurement_registrar autoRegistrar("pick-control", measurePickControl);

} // namespace

} // namespace crocuslane

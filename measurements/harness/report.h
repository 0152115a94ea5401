#pragma once

#include "harness/statistics.h"

#include <cstdint>
#include <string>
#include <vector>

namespace crocuslane {

struct measure_options {
    std::uint64_t firstSeed = 1;
    /// Fewer seeds and shorter runs.
    bool isQuick = false;
    bool isPlotting = false;
    /// Leaves out the baselines, for tuning the router's constants.
    bool isProductOnly = false;
    /// Overrides the measurement's own number of seeds; 0 keeps it.
    unsigned seedCount = 0;

    /// Consecutive seeds; @p full and @p quick are the counts for a full and a quick run.
    std::vector<std::uint64_t> seeds(unsigned full, unsigned quick) const;
};

/// Table of one measurement: a row per policy with the minimum, median and maximum of each figure over the seeds.
class report_table
{
public:
    report_table(std::string name, std::vector<std::string> columns);

    void addRow(const std::string &policy, const std::vector<std::vector<double>> &figuresBySeed);
    void print() const;
    /// Writes NAME.svg, a histogram of the first column with error bars from minimum to maximum. Needs gnuplot.
    void plot() const;

private:
    struct row {
        std::string policy;
        std::vector<spread> figures;
    };

    std::string m_name;
    std::vector<std::string> m_columns;
    std::vector<row> m_rows;
};

/// Outcome of one measurement; printed as its last line.
struct measure_result {
    std::string name;
    double ratio = 0.0;
    double target = 0.0;
    /// One sentence for each missed target.
    std::vector<std::string> missed;
};

void printResult(const measure_result &result);

} // namespace crocuslane

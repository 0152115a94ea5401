#include "harness/report.h"

#include <fmt/core.h>

#include <cstdio>
#include <memory>

namespace crocuslane {

std::vector<std::uint64_t> measure_options::seeds(unsigned full, unsigned quick) const
{
    std::vector<std::uint64_t> all;
    const unsigned count = seedCount > 0 ? seedCount : (isQuick ? quick : full);
    for (unsigned index = 0; index < count; ++index) {
        all.push_back(firstSeed + index);
    }
    return all;
}

report_table::report_table(std::string name, std::vector<std::string> columns)
    : m_name(std::move(name))
    , m_columns(std::move(columns))
{
}

void report_table::addRow(const std::string &policy, const std::vector<std::vector<double>> &figuresBySeed)
{
    row added{policy, {}};
    for (const std::vector<double> &figure : figuresBySeed) {
        added.figures.push_back(spreadOf(figure));
    }
    m_rows.push_back(std::move(added));
}

void report_table::print() const
{
    fmt::print("{:<28}", m_name);
    for (const std::string &column : m_columns) {
        fmt::print(" | {:^26}", column);
    }
    fmt::print("\n{:<28}", "policy");
    for (std::size_t column = 0; column < m_columns.size(); ++column) {
        fmt::print(" | {:>8} {:>8} {:>8}", "min", "median", "max");
    }
    fmt::print("\n");
    for (const row &row : m_rows) {
        fmt::print("{:<28}", row.policy);
        for (const spread &figure : row.figures) {
            fmt::print(" | {:>8.4g} {:>8.4g} {:>8.4g}", figure.minimum, figure.median, figure.maximum);
        }
        fmt::print("\n");
    }
}

void report_table::plot() const
{
    const std::unique_ptr<std::FILE, int (*)(std::FILE *)> gnuplot(popen("gnuplot", "w"), pclose);
    if (!gnuplot) {
        return;
    }
    fmt::print(gnuplot.get(),
               "set terminal svg size 900,420 font 'sans,12'\nset output '{}.svg'\nset style data histogram\n"
               "set style histogram errorbars gap 1\nset style fill solid 0.5\nset key off\nset ylabel '{}'\n"
               "set yrange [0:*]\nset xtics rotate by -20\nplot '-' using 2:3:4:xtic(1)\n",
               m_name,
               m_columns.front());
    for (const row &row : m_rows) {
        const spread &figure = row.figures.front();
        fmt::print(gnuplot.get(), "\"{}\" {} {} {}\n", row.policy, figure.median, figure.minimum, figure.maximum);
    }
    fmt::print(gnuplot.get(), "e\n");
}

void printResult(const measure_result &result)
{
    for (const std::string &missed : result.missed) {
        fmt::print("{} missed: {}\n", result.name, missed);
    }
    fmt::print("{} ratio={:.3f} target={:.3f}\n", result.name, result.ratio, result.target);
    std::fflush(stdout);
}

} // namespace crocuslane

#include "load/time_histogram.h"

#include <boost/histogram.hpp>

#include <cmath>

namespace crocuslane {

namespace {

constexpr double minimumMilliseconds = 0.01;
constexpr double maximumMilliseconds = 3.6e6;
constexpr unsigned binCount = 1980; // ln(3.6e8) / 0.01, for bins 1% wide

using axis_type = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

} // namespace

struct time_histogram::implementation {
    decltype(boost::histogram::make_histogram(std::declval<axis_type>())) bins;
    std::uint64_t count = 0;
};

time_histogram::time_histogram()
    : m_implementation(std::make_unique<implementation>(implementation{
        boost::histogram::make_histogram(axis_type(binCount, minimumMilliseconds, maximumMilliseconds)), 0}))
{
}

time_histogram::~time_histogram() = default;
time_histogram::time_histogram(time_histogram &&other) noexcept = default;
time_histogram &time_histogram::operator=(time_histogram &&other) noexcept = default;

void time_histogram::add(duration time)
{
    m_implementation->bins(toSeconds(time) * 1e3);
    ++m_implementation->count;
}

std::uint64_t time_histogram::count() const
{
    return m_implementation->count;
}

double time_histogram::quantile(double share) const
{
    const double targetCount = share * static_cast<double>(m_implementation->count);
    double cumulativeCount = 0.0;
    const auto &axis = m_implementation->bins.axis();
    for (int index = -1; index <= axis.size() && m_implementation->count > 0; ++index) {
        cumulativeCount += m_implementation->bins.at(index);
        if (cumulativeCount >= targetCount && cumulativeCount > 0.0) {
            return index < 0 ? minimumMilliseconds : axis.bin(std::min(index, axis.size() - 1)).center();
        }
    }
    return 0.0;
}

} // namespace crocuslane

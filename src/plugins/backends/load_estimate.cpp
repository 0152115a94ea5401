#include "plugins/backends/load_estimate.h"

#include <algorithm>
#include <cmath>

namespace crocuslane {

namespace {

// An older report is as old as the counts of the other VMs.
constexpr std::chrono::seconds reportLifetime{4};

} // namespace

double latest_load::running(const backend_record &record, steady_time now) const
{
    return record.estimatedRunning(now);
}

double latest_load::trust(const backend_record & /*record*/, steady_time /*now*/) const
{
    return 1.0;
}

aged_load::aged_load(duration halfLife)
    : m_halfLife(halfLife)
{
}

double aged_load::running(const backend_record &record, steady_time now) const
{
    const double usual = record.remoteUse.average();
    const double counted = usual + trustAt(record.remoteUse.age(now)) * (record.remoteRunning() - usual);
    if (!record.load || now - record.loadReceivedAt > reportLifetime) {
        return record.localRunning + counted;
    }
    const double reported = record.load->running + record.load->waiting;
    const double others = std::max(0.0, reported - record.localRunningAtLoad);
    return record.localRunning + counted + trustAt(now - record.loadReceivedAt) * (others - counted);
}

double aged_load::trust(const backend_record &record, steady_time now) const
{
    return trustAt(record.remoteUse.age(now));
}

double aged_load::trustAt(duration age) const
{
    return std::exp2(-toSeconds(age) / toSeconds(m_halfLife));
}

} // namespace crocuslane

#pragma once

#include "plugins/backends/backend_table.h"

namespace crocuslane {

/// Estimates the requests in progress at a runner from information of different ages.
class load_estimate
{
public:
    virtual ~load_estimate() = default;
    virtual double running(const backend_record &record, steady_time now) const = 0;
    /// 1 when the counts of the other VMs are exact, near 0 when they say nothing about the present.
    virtual double trust(const backend_record &record, steady_time now) const = 0;
};

/// Takes counts and reports as they are.
class latest_load : public load_estimate
{
public:
    double running(const backend_record &record, steady_time now) const override;
    double trust(const backend_record &record, steady_time now) const override;
};

/// Trusts the difference between a count and the runner's own average the less, the older the count is: most of the
/// requests that made the difference have ended, and other VMs have reacted to it.
class aged_load : public load_estimate
{
public:
    /// A difference is halved after @p halfLife.
    explicit aged_load(duration halfLife);
    double running(const backend_record &record, steady_time now) const override;
    double trust(const backend_record &record, steady_time now) const override;

private:
    double trustAt(duration age) const;

    duration m_halfLife;
};

} // namespace crocuslane

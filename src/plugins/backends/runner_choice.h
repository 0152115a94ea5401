#pragma once

#include "base/random_source.h"
#include "plugins/backends/backend_table.h"

#include <span>

namespace crocuslane {

/// A runner that could take a request, and what it would cost there.
struct scored_backend {
    backend_record *record = nullptr;
    duration expectedDelay{};
    /// In milliseconds.
    double cost = 0.0;
    /// Estimated number of requests in progress.
    double running = 0.0;
    double slots = 1.0;
};

/// Chooses one of several runners by their costs. The costs come from stale information that all VMs share, so that a
/// rule that always takes the cheapest makes all VMs send to the same runners until the next exchange.
class runner_choice
{
public:
    virtual ~runner_choice() = default;
    /// Index of the chosen runner. @p available must not be empty.
    virtual std::size_t choose(std::span<const scored_backend> available, random_source &random) const = 0;
};

/// Chooses evenly among the runners whose costs exceed the lowest by no more than a fixed width.
class near_cheapest_choice : public runner_choice
{
public:
    explicit near_cheapest_choice(double widthMilliseconds);
    std::size_t choose(std::span<const scored_backend> available, random_source &random) const override;

private:
    double m_widthMilliseconds;
};

/// Draws two runners among those near the cheapest and takes the cheaper one.
class two_runners_choice : public runner_choice
{
public:
    explicit two_runners_choice(double widthMilliseconds);
    std::size_t choose(std::span<const scored_backend> available, random_source &random) const override;

private:
    double m_widthMilliseconds;
};

/// Chooses among the runners near the cheapest, each with a probability in proportion to its free slots.
class free_slots_choice : public runner_choice
{
public:
    explicit free_slots_choice(double widthMilliseconds);
    std::size_t choose(std::span<const scored_backend> available, random_source &random) const override;

private:
    double m_widthMilliseconds;
};

/// Chooses with probabilities that fall exponentially with the cost: without a limit at which a runner gets all or
/// nothing.
class cost_weighted_choice : public runner_choice
{
public:
    explicit cost_weighted_choice(double scaleMilliseconds);
    std::size_t choose(std::span<const scored_backend> available, random_source &random) const override;

private:
    double m_scaleMilliseconds;
};

} // namespace crocuslane

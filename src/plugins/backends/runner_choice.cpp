#include "plugins/backends/runner_choice.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace crocuslane {

namespace {

double lowestCost(std::span<const scored_backend> available)
{
    return std::min_element(available.begin(),
                            available.end(),
                            [](const scored_backend &a, const scored_backend &b) { return a.cost < b.cost; })
        ->cost;
}

std::vector<std::size_t> nearCheapest(std::span<const scored_backend> available, double width)
{
    const double best = lowestCost(available);
    std::vector<std::size_t> near;
    for (std::size_t index = 0; index < available.size(); ++index) {
        if (available[index].cost <= best + width) {
            near.push_back(index);
        }
    }
    return near;
}

/// Index of a weight, drawn in proportion to the weights.
std::size_t draw(const std::vector<double> &weights, random_source &random)
{
    double total = 0.0;
    for (const double weight : weights) {
        total += weight;
    }
    double rest = random.unit() * total;
    for (std::size_t index = 0; index + 1 < weights.size(); ++index) {
        rest -= weights[index];
        if (rest < 0.0) {
            return index;
        }
    }
    return weights.size() - 1;
}

} // namespace

near_cheapest_choice::near_cheapest_choice(double widthMilliseconds)
    : m_widthMilliseconds(widthMilliseconds)
{
}

std::size_t near_cheapest_choice::choose(std::span<const scored_backend> available, random_source &random) const
{
    const std::vector<std::size_t> near = nearCheapest(available, m_widthMilliseconds);
    return near[random.below(near.size())];
}

two_runners_choice::two_runners_choice(double widthMilliseconds)
    : m_widthMilliseconds(widthMilliseconds)
{
}

std::size_t two_runners_choice::choose(std::span<const scored_backend> available, random_source &random) const
{
    const std::vector<std::size_t> near = nearCheapest(available, m_widthMilliseconds);
    const std::size_t first = near[random.below(near.size())];
    const std::size_t second = near[random.below(near.size())];
    return available[second].cost < available[first].cost ? second : first;
}

free_slots_choice::free_slots_choice(double widthMilliseconds)
    : m_widthMilliseconds(widthMilliseconds)
{
}

std::size_t free_slots_choice::choose(std::span<const scored_backend> available, random_source &random) const
{
    const std::vector<std::size_t> near = nearCheapest(available, m_widthMilliseconds);
    std::vector<double> weights;
    weights.reserve(near.size());
    for (const std::size_t index : near) {
        weights.push_back(std::max(1.0, available[index].slots - available[index].running));
    }
    return near[draw(weights, random)];
}

cost_weighted_choice::cost_weighted_choice(double scaleMilliseconds)
    : m_scaleMilliseconds(scaleMilliseconds)
{
}

std::size_t cost_weighted_choice::choose(std::span<const scored_backend> available, random_source &random) const
{
    const double best = lowestCost(available);
    std::vector<double> weights;
    weights.reserve(available.size());
    for (const scored_backend &each : available) {
        weights.push_back(std::exp((best - each.cost) / m_scaleMilliseconds));
    }
    return draw(weights, random);
}

} // namespace crocuslane

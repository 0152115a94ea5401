#include "plugins/membership/peer_topology.h"

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <vector>

namespace crocuslane {

namespace {

constexpr std::size_t neighboursPerRing = 2;

std::uint64_t hashOf(const std::string &text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

void addRingNeighbours(const vm_id &self, const std::set<vm_id> &entryVms, std::uint64_t ring, std::set<vm_id> &result)
{
    std::vector<std::pair<std::uint64_t, const vm_id *>> order;
    order.reserve(entryVms.size());
    for (const vm_id &id : entryVms) {
        order.emplace_back(hashOf(id.value(), ring), &id);
    }
    const std::uint64_t own = hashOf(self.value(), ring);
    const auto isBefore = [](const auto &left, const auto &right) {
        return left.first != right.first ? left.first < right.first : *left.second < *right.second;
    };
    std::sort(order.begin(), order.end(), isBefore);
    const auto position = std::lower_bound(order.begin(), order.end(), std::pair(own, &self), isBefore);
    const auto index = static_cast<std::size_t>(position - order.begin());
    result.insert(*order[(index + 1) % order.size()].second);
    result.insert(*order[(index + order.size() - 1) % order.size()].second);
}

} // namespace

std::set<vm_id> neighbours(const vm_id &self, const std::set<vm_id> &entryVms)
{
    std::set<vm_id> all = entryVms;
    all.insert(self);
    std::set<vm_id> result;
    if (all.size() <= maximumNeighbours + 1) {
        result = all;
    } else {
        for (std::uint64_t ring = 0; ring < maximumNeighbours / neighboursPerRing; ++ring) {
            addRingNeighbours(self, all, ring, result);
        }
    }
    result.erase(self);
    return result;
}

bool opensConnection(const vm_id &self, const vm_id &peer)
{
    const auto &[low, high] = std::minmax(self, peer);
    const bool lowOpens = hashOf(low.value() + '\n' + high.value(), 0) % 2 == 0;
    return lowOpens == (self < peer);
}

} // namespace crocuslane

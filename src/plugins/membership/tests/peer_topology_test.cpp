#include "plugins/membership/peer_topology.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace crocuslane;

namespace {

class topology_fixture
{
protected:
    static std::set<vm_id> vms(std::size_t count)
    {
        std::set<vm_id> ids;
        for (std::size_t index = 0; index < count; ++index) {
            ids.insert(vm_id("entry-" + std::to_string(index)));
        }
        return ids;
    }

    /// Number of VMs at each distance, in hops, from @p start.
    static std::vector<std::size_t> vmsByDistance(const vm_id &start, const std::set<vm_id> &ids)
    {
        std::set<vm_id> seen{start};
        std::vector<vm_id> frontier{start};
        std::vector<std::size_t> sizes;
        while (!frontier.empty()) {
            sizes.push_back(frontier.size());
            std::vector<vm_id> next;
            for (const vm_id &id : frontier) {
                for (const vm_id &neighbour : neighbours(id, ids)) {
                    if (seen.insert(neighbour).second) {
                        next.push_back(neighbour);
                    }
                }
            }
            frontier = std::move(next);
        }
        return sizes;
    }
};

} // namespace

// Guards against a pair of VMs of which both open their connection, or both wait for the other to open it.
TEST_CASE_METHOD(topology_fixture, "topology, any pair of VMs, one side opens", "[membership]")
{
    const std::set<vm_id> ids = vms(30);
    for (const vm_id &first : ids) {
        for (const vm_id &second : ids) {
            if (first != second) {
                CHECK(opensConnection(first, second) != opensConnection(second, first));
                CHECK(neighbours(first, ids).contains(second) == neighbours(second, ids).contains(first));
            }
        }
    }
}

// Guards against a VM that no connection reaches, and against messages that need many hops.
TEST_CASE_METHOD(topology_fixture,
                 "topology, few and many VMs, reaches all within the connection limit",
                 "[membership]")
{
    CHECK(neighbours(vm_id("entry-0"), vms(6)).size() == 5);
    for (const std::size_t count : {14U, 60U, 300U}) {
        const std::set<vm_id> ids = vms(count);
        for (const vm_id &id : ids) {
            CHECK(neighbours(id, ids).size() <= maximumNeighbours);
        }
        const std::vector<std::size_t> sizes = vmsByDistance(*ids.begin(), ids);
        CHECK(sizes.size() <= 5);
        std::size_t total = 0;
        for (const std::size_t size : sizes) {
            total += size;
        }
        CHECK(total == count);
    }
}

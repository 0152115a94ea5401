#pragma once

#include "base/text_id.h"

#include <cstddef>
#include <set>

namespace crocuslane {

/// Maximum number of peers that one entry VM is connected with.
constexpr std::size_t maximumNeighbours = 8;

/// Entry VMs that @p self shall be connected with. The relation is symmetric: both ends compute it alike.
///
/// These are all others while there are at most maximumNeighbours, otherwise the neighbours on several rings, each with
/// a different pseudo-random order of the ids. Such a graph is connected and has a logarithmic diameter, and a joining
/// or leaving VM changes only the connections of its own neighbours.
std::set<vm_id> neighbours(const vm_id &self, const std::set<vm_id> &entryVms);

/// Whether @p self opens the connection to @p peer rather than accepting it. A hash of the pair of ids decides, which
/// spreads the opening of connections evenly over the VMs.
bool opensConnection(const vm_id &self, const vm_id &peer);

} // namespace crocuslane

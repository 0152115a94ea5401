#pragma once

#include "base/text_id.h"

#include <cstddef>
#include <set>

namespace crocuslane {

/// Connections that one entry VM keeps at most.
constexpr std::size_t maximumNeighbours = 8;

/// Entry VMs that @p self shall be connected with, the same relation on both ends: all others while they are at most
/// maximumNeighbours, otherwise the neighbours on several rings in different random orders of the ids. Such a graph is
/// connected, has a logarithmic diameter, and a joining or leaving VM changes only its own neighbours' connections.
std::set<vm_id> neighbours(const vm_id &self, const std::set<vm_id> &entryVms);

/// Whether @p self opens the connection to @p peer, rather than accepts it. A hash of the pair decides, so that no VM
/// opens all of its connections or none.
bool opensConnection(const vm_id &self, const vm_id &peer);

} // namespace crocuslane

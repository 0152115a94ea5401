#pragma once

#include "kernel/action.h"
#include "kernel/peer_message.h"

#include <map>
#include <tuple>
#include <vector>

namespace crocuslane {

/// Distributes the evidence of all entry VMs over the peer connections: each VM sends a peer the entries that the peer
/// is not known to have, its own and those of others.
class evidence_exchange
{
public:
    /// Stores an entry that is newer than the known one; returns false otherwise.
    bool store(const version_evidence &entry);
    /// Records that @p peer has these entries, and returns those that were new here.
    std::vector<version_evidence> receive(const vm_id &peer, const version_evidence_list &list);
    void connected(const vm_id &peer);
    /// Sends each of @p peers what it doesn't have.
    void runRound(const std::vector<vm_id> &peers, action_list &actions);
    /// Entries of one order.
    std::vector<version_evidence> entriesOf(const service_id &service, std::uint64_t orderPosition) const;
    /// Removes the entries of the orders before @p orderPosition.
    void removeBefore(const service_id &service, std::uint64_t orderPosition);

private:
    struct key {
        service_id service;
        vm_id vm;
        std::uint64_t incarnation = 0;

        bool operator<(const key &other) const
        {
            return std::tie(service, vm, incarnation) < std::tie(other.service, other.vm, other.incarnation);
        }
    };
    struct entry_version {
        std::uint64_t orderPosition = 0;
        std::uint64_t counter = 0;

        bool operator<(const entry_version &other) const
        {
            return std::tie(orderPosition, counter) < std::tie(other.orderPosition, other.counter);
        }
    };

    static key keyOf(const version_evidence &entry);
    static entry_version versionOf(const version_evidence &entry);

    std::map<key, version_evidence> m_entries;
    /// The newest versions that each peer is known to have.
    std::map<vm_id, std::map<key, entry_version>> m_versionsByPeer;
};

} // namespace crocuslane

#pragma once

#include "kernel/action.h"
#include "kernel/peer_message.h"

#include <map>
#include <tuple>
#include <utility>
#include <vector>

namespace crocuslane {

/// Identifies an order in version_evidence::orderPosition: its position and the epoch of the log, so that an order of a
/// later epoch is the newer one. Equal to the position in epoch 0.
std::uint64_t evidenceOrder(const rollout_order &order);

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
    /// Entries of one order; @p order is an evidenceOrder().
    std::vector<version_evidence> entriesOf(const service_id &service, std::uint64_t order) const;
    /// Removes the entries of the orders before @p order.
    void removeBefore(const service_id &service, std::uint64_t order);
    /// Makes the entries of @p from, also those that are received later, entries of @p to: the same order in a later
    /// epoch.
    void continueOrder(const service_id &service, std::uint64_t from, std::uint64_t to);

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

    version_evidence continued(version_evidence entry) const;
    static key keyOf(const version_evidence &entry);
    static entry_version versionOf(const version_evidence &entry);

    std::map<key, version_evidence> m_entries;
    /// Orders that continue in a later epoch, by service and earlier evidenceOrder().
    std::map<std::pair<service_id, std::uint64_t>, std::uint64_t> m_continued;
    /// The newest versions that each peer is known to have.
    std::map<vm_id, std::map<key, entry_version>> m_versionsByPeer;
};

} // namespace crocuslane

#pragma once

#include "kernel/plugin.h"
#include "logstream/group_writer.h"
#include "plugins/billing/bill_totals.h"
#include "services/bill_ledger.h"

#include <map>
#include <memory>
#include <set>

namespace crocuslane {

/// Disables single mechanisms, so that the proof program can show that its checks detect their absence. No setting of
/// the daemon changes these values.
struct billing_controls {
    /// If false, a bill counts as durable at once.
    bool waitsForDurability = true;
    /// If false, every record of a request id counts.
    bool ignoresRepeatedRequests = true;
};

/// Writes the bills of this VM to the log. While the log is slow or unreachable, copies at other VMs make a bill
/// durable.
class billing_plugin : public plugin, public bill_ledger
{
public:
    explicit billing_plugin(billing_controls controls = {});

    std::string_view name() const override;
    std::vector<std::string_view> dependencies() const override;
    void initialize(plugin_context &context) override;
    void start(action_list &actions) override;
    void handle(const event &event, action_list &actions) override;
    steady_time nextDeadline() const override;
    bool isIdle() const override;
    void describe(nlohmann::json &status) const override;

    void charge(const bill &bill) override;

    const bill_totals &totals() const;

private:
    /// A bill of this VM that is not yet known to be in the log.
    struct own_bill {
        bill content;
        entry_ticket ticket = 0;
        steady_time charged;
        bool isDurable = false;
        steady_time lastSent = steady_time::min();
        /// VMs that a copy was sent to (its holders), and whether they acknowledged it.
        std::map<vm_id, bool> holders;
    };

    /// Copy of a bill of another VM, its origin.
    struct peer_copy {
        bill content;
        vm_id origin;
        steady_time received;
        /// Set once this VM appends the bill in place of the origin.
        std::optional<entry_ticket> ticket;
    };

    void readPeerMessage(const vm_id &peer, const peer_message &message, action_list &actions);
    void noteLogged(const request_id &request, action_list &actions);
    void noteAcknowledged(const std::vector<entry_ticket> &tickets, action_list &actions);
    void noteDurable(own_bill &bill);
    bool hasEnoughCopies(const own_bill &bill) const;
    bool isInOtherZone(const vm_id &peer) const;
    void sendCopies(action_list &actions);
    void sendCopies(own_bill &bill, action_list &actions);
    /// Connected peers in the order in which they are chosen as holders.
    std::vector<vm_id> peersByPreference() const;
    void appendOrphans();
    /// Whether the origin is lost or has lost the bill, or this VM stops, so that this VM has to append the bill.
    bool isOrphan(const peer_copy &copy, steady_time now) const;

    billing_controls m_controls;
    plugin_context *m_context = nullptr;
    stream_reader m_reader;
    bill_totals m_totals;
    std::unique_ptr<group_writer> m_writer;
    std::map<request_id, own_bill> m_ownBills;
    std::map<entry_ticket, request_id> m_requestByTicket;
    std::map<std::pair<vm_id, request_id>, peer_copy> m_peerCopies;
    std::set<vm_id> m_connectedPeers;
    std::map<vm_id, steady_time> m_disconnectedSince;
    std::map<vm_id, std::string> m_zones;
    bool m_isLogFailing = false;
    bool m_isStopping = false;
    steady_time m_nextTick;
};

} // namespace crocuslane

#include "plugins/billing/billing_plugin.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace crocuslane {

namespace {

using namespace std::chrono_literals;

// All bills are in one partition; the number in the name allows for further ones.
constexpr std::string_view streamName = "bills-0";
constexpr std::size_t requiredCopies = 2;
// No copies are sent while the log service answers within this time: they would double the traffic between VMs.
constexpr duration copyDelay = 100ms;
// Copies are sent again after this time, which shows their holders that the origin still has the bill, and which
// replaces disconnected holders.
constexpr duration copyRefreshInterval = 10s;
constexpr duration tickInterval = 50ms;
// An origin that is disconnected for this long counts as lost, and its copies are appended to the log.
constexpr duration disconnectTimeout = 5s;
// A connected origin that hasn't sent the copy again for this long has restarted and lost the bill.
constexpr duration refreshTimeout = 30s;

const plugin_registrar autoRegistrar("billing",
                                     []() -> std::unique_ptr<plugin> { return std::make_unique<billing_plugin>(); });

} // namespace

billing_plugin::billing_plugin(billing_controls controls)
    : m_controls(controls)
    , m_reader(std::string(streamName))
    , m_totals(controls.ignoresRepeatedRequests)
{
}

std::string_view billing_plugin::name() const
{
    return "billing";
}

std::vector<std::string_view> billing_plugin::dependencies() const
{
    return {"appends"};
}

void billing_plugin::initialize(plugin_context &context)
{
    m_context = &context;
    m_writer =
        std::make_unique<group_writer>(context.node, std::string(streamName), context.services.find<append_budget>());
    context.services.offer<bill_ledger>(*this);
}

void billing_plugin::start(action_list &actions)
{
    m_nextTick = m_context->time.steadyNow();
    m_reader.follow(actions);
}

void billing_plugin::handle(const event &event, action_list &actions)
{
    const steady_time now = m_context->time.steadyNow();
    noteAcknowledged(m_writer->handle(event, now), actions);
    if (const auto batch = m_reader.handle(event)) {
        for (const read_entry &entry : batch->entries) {
            if (const auto *read = std::get_if<bill>(&entry.content)) {
                m_totals.add(*read);
                noteLogged(read->request, actions);
            }
        }
        noteAcknowledged(m_writer->handleRead(*batch), actions);
    }
    if (const auto *message = std::get_if<peer_message_received>(&event)) {
        readPeerMessage(message->peer, message->message, actions);
    } else if (const auto *connected = std::get_if<peer_connected>(&event)) {
        m_connectedPeers.insert(connected->peer);
        m_disconnectedSince.erase(connected->peer);
    } else if (const auto *disconnected = std::get_if<peer_disconnected>(&event)) {
        m_connectedPeers.erase(disconnected->peer);
        m_disconnectedSince.try_emplace(disconnected->peer, now);
    } else if (const auto *list = std::get_if<vm_list_read>(&event)) {
        for (const vm_entry &entry : list->entries) {
            if (entry.role == vm_role::entry) {
                m_zones[vm_id(entry.id)] = entry.availabilityZone;
            }
        }
    } else if (std::holds_alternative<append_failed>(event)) {
        m_isLogFailing = true;
    } else if (std::holds_alternative<record_appended>(event)) {
        m_isLogFailing = false;
    } else if (std::holds_alternative<stop_requested>(event)) {
        m_isStopping = true;
    }
    sendCopies(actions);
    if (now >= m_nextTick) {
        appendOrphans();
        m_nextTick = now + tickInterval;
    }
    m_writer->send(now, actions);
}

steady_time billing_plugin::nextDeadline() const
{
    const steady_time next = m_writer->nextDeadline(m_context->time.steadyNow());
    return m_ownBills.empty() && m_peerCopies.empty() ? next : std::min(next, m_nextTick);
}

bool billing_plugin::isIdle() const
{
    const bool ownBillsAreDurable =
        std::all_of(m_ownBills.begin(), m_ownBills.end(), [](const auto &entry) { return entry.second.isDurable; });
    // A connected origin still has the bill and sends its copy to another holder when this VM stops.
    const bool peerCopiesAreSafe = std::all_of(m_peerCopies.begin(), m_peerCopies.end(), [this](const auto &entry) {
        return m_connectedPeers.contains(entry.second.origin);
    });
    return ownBillsAreDurable && peerCopiesAreSafe;
}

void billing_plugin::describe(nlohmann::json &status) const
{
    status["unwritten_bills"] = m_ownBills.size();
    status["held_copies"] = m_peerCopies.size();
    status["log_reachable"] = m_reader.isReachable();
    status["unreadable_records"] = m_reader.unreadableRecords();
    status["totals"] = nlohmann::json::array();
    for (const auto &[organisation, sums] : m_totals.byOrganisation()) {
        status["totals"].push_back({{"organisation", organisation.value()},
                                    {"bills", sums.bills},
                                    {"output_tokens", sums.outputTokens},
                                    {"cost", sums.cost}});
    }
    status["bills"] = nlohmann::json::array();
    for (const bill &recent : m_totals.recent()) {
        status["bills"].push_back({{"request_id", recent.request.value()},
                                   {"organisation", recent.organisation.value()},
                                   {"group", recent.group.value()},
                                   {"service", recent.service.value()},
                                   {"kind", recent.kind.value()},
                                   {"version", recent.version.value()},
                                   {"prompt_tokens", recent.usage.promptTokens},
                                   {"output_tokens", recent.usage.outputTokens},
                                   {"cost", recent.cost},
                                   {"time_ms", recent.unixMilliseconds}});
    }
}

const bill_totals &billing_plugin::totals() const
{
    return m_totals;
}

// Bills of this VM.

void billing_plugin::charge(const bill &charged)
{
    const auto [entry, isNew] = m_ownBills.try_emplace(charged.request);
    own_bill &own = entry->second;
    if (!isNew) {
        // The request was charged before, and its bill is being written to the log.
        if (own.isDurable) {
            m_context->post(bill_durable{charged.request});
        }
        return;
    }
    own.content = charged;
    own.charged = m_context->time.steadyNow();
    own.ticket = m_writer->add(charged, own.charged);
    m_requestByTicket[own.ticket] = charged.request;
    if (!m_controls.waitsForDurability) {
        noteDurable(own);
    }
}

void billing_plugin::noteDurable(own_bill &bill)
{
    if (bill.isDurable) {
        return;
    }
    bill.isDurable = true;
    m_context->timeline.record(timeline_kind::bill_durable, bill.content.request, {});
    m_context->post(bill_durable{bill.content.request});
}

void billing_plugin::noteAcknowledged(const std::vector<entry_ticket> &tickets, action_list &actions)
{
    for (const entry_ticket ticket : tickets) {
        const auto found = m_requestByTicket.find(ticket);
        if (found != m_requestByTicket.end()) {
            const request_id request = found->second;
            noteLogged(request, actions);
        }
        std::erase_if(m_peerCopies, [ticket](const auto &entry) { return entry.second.ticket == ticket; });
    }
}

void billing_plugin::noteLogged(const request_id &request, action_list &actions)
{
    std::erase_if(m_peerCopies, [&request](const auto &entry) { return entry.first.second == request; });
    const auto found = m_ownBills.find(request);
    if (found == m_ownBills.end()) {
        return;
    }
    noteDurable(found->second);
    for (const auto &[holder, hasAcknowledged] : found->second.holders) {
        if (m_connectedPeers.contains(holder)) {
            actions.push_back(send_to_peer{holder, bill_copy_released{request}});
        }
    }
    m_requestByTicket.erase(found->second.ticket);
    m_ownBills.erase(found);
}

// Copies of own bills.

bool billing_plugin::isInOtherZone(const vm_id &peer) const
{
    const auto zone = m_zones.find(peer);
    return zone != m_zones.end() && zone->second != m_context->node.availabilityZone;
}

std::vector<vm_id> billing_plugin::peersByPreference() const
{
    std::vector<vm_id> sameZone;
    std::vector<vm_id> otherZone;
    for (const vm_id &peer : m_connectedPeers) {
        (isInOtherZone(peer) ? otherZone : sameZone).push_back(peer);
    }
    // Peers in other availability zones come first, so that the first holder is in another zone if there is one.
    otherZone.insert(otherZone.end(), sameZone.begin(), sameZone.end());
    return otherZone;
}

bool billing_plugin::hasEnoughCopies(const own_bill &bill) const
{
    std::size_t acknowledged = 0;
    bool isInOther = false;
    for (const auto &[holder, hasAcknowledged] : bill.holders) {
        if (hasAcknowledged) {
            ++acknowledged;
            isInOther = isInOther || isInOtherZone(holder);
        }
    }
    const bool otherZoneExists = std::any_of(
        m_connectedPeers.begin(), m_connectedPeers.end(), [this](const vm_id &peer) { return isInOtherZone(peer); });
    return acknowledged >= requiredCopies && (isInOther || !otherZoneExists);
}

void billing_plugin::sendCopies(action_list &actions)
{
    const steady_time now = m_context->time.steadyNow();
    for (auto &[request, bill] : m_ownBills) {
        const bool isDue = m_isLogFailing || !m_reader.isReachable() || now >= bill.charged + copyDelay;
        const bool isFirst = bill.lastSent == steady_time::min();
        if (isDue && (isFirst || now >= bill.lastSent + copyRefreshInterval)) {
            std::erase_if(bill.holders,
                          [this](const auto &holder) { return !m_connectedPeers.contains(holder.first); });
            sendCopies(bill, actions);
        }
    }
}

void billing_plugin::sendCopies(own_bill &bill, action_list &actions)
{
    if (m_connectedPeers.empty()) {
        return;
    }
    for (const vm_id &peer : peersByPreference()) {
        if (bill.holders.size() >= requiredCopies) {
            break;
        }
        bill.holders.try_emplace(peer, false);
    }
    for (const auto &[holder, hasAcknowledged] : bill.holders) {
        actions.push_back(send_to_peer{holder, bill_copy{bill.content}});
    }
    bill.lastSent = m_context->time.steadyNow();
}

void billing_plugin::readPeerMessage(const vm_id &peer, const peer_message &message, action_list &actions)
{
    if (const auto *copy = std::get_if<bill_copy>(&message)) {
        peer_copy &stored = m_peerCopies[{peer, copy->content.request}];
        stored.content = copy->content;
        stored.origin = peer;
        stored.received = m_context->time.steadyNow();
        actions.push_back(send_to_peer{peer, bill_copy_acknowledged{copy->content.request}});
    } else if (const auto *acknowledged = std::get_if<bill_copy_acknowledged>(&message)) {
        const auto found = m_ownBills.find(acknowledged->request);
        if (found != m_ownBills.end() && found->second.holders.contains(peer)) {
            found->second.holders[peer] = true;
            if (hasEnoughCopies(found->second)) {
                noteDurable(found->second);
            }
        }
    } else if (const auto *released = std::get_if<bill_copy_released>(&message)) {
        m_peerCopies.erase({peer, released->request});
    }
}

// Copies of other VMs' bills.

bool billing_plugin::isOrphan(const peer_copy &copy, steady_time now) const
{
    if (m_isStopping || now >= copy.received + refreshTimeout) {
        return true;
    }
    const auto since = m_disconnectedSince.find(copy.origin);
    return since != m_disconnectedSince.end() && now >= since->second + disconnectTimeout;
}

void billing_plugin::appendOrphans()
{
    const steady_time now = m_context->time.steadyNow();
    for (auto &[key, copy] : m_peerCopies) {
        // A second record of the same request has no effect, so the holders need not agree on which of them appends.
        if (!copy.ticket && isOrphan(copy, now)) {
            copy.ticket = m_writer->add(copy.content, now);
        }
    }
}

} // namespace crocuslane

#include "plugins/duties/lease_manager.h"

namespace crocuslane {

namespace {

using namespace std::chrono_literals;

constexpr std::string_view streamName = "leases";
constexpr duration leaseDuration = 10s;
// Covers the relative drift of two steady clocks over one lease, and the time between checking the clock and using the
// lease.
constexpr duration leaseMargin = 1s;
constexpr duration renewInterval = leaseDuration / 3;
constexpr duration quietPeriod = 60s;
constexpr duration tickInterval = 250ms;
// Spreads the requests of VMs that find a duty free at the same time.
constexpr duration maximumRequestJitter = 500ms;

} // namespace

lease_manager::lease_manager(plugin_context &context, lease_controls controls)
    : m_context(context)
    , m_controls(controls)
    , m_reader(std::string(streamName))
    , m_writer(context.node, std::string(streamName), context.services.find<append_budget>())
    , m_ledger(quietPeriod)
    , m_nextTick(context.time.steadyNow())
{
}

void lease_manager::requestLease(const std::string &duty)
{
    const auto [entry, isNew] = m_ownLeases.try_emplace(duty);
    if (isNew) {
        entry->second.earliestRequestTime =
            m_context.time.steadyNow() + (m_ledger.isNewestKnown(duty) ? duration::zero() : quietPeriod);
    }
}

bool lease_manager::isHeld(const own_lease &lease) const
{
    if (!lease.fencing || lease.isReleased) {
        return false;
    }
    return !m_controls.checksClock || m_context.time.steadyNow() < lease.expiryTime;
}

std::optional<log_offset> lease_manager::fencing(const std::string &duty) const
{
    const auto found = m_ownLeases.find(duty);
    return found != m_ownLeases.end() && isHeld(found->second) ? found->second.fencing : std::nullopt;
}

void lease_manager::start(action_list &actions) const
{
    m_reader.follow(actions);
}

void lease_manager::handle(const event &event, action_list &actions)
{
    const steady_time now = m_context.time.steadyNow();
    m_writer.handle(event, now);
    if (const auto batch = m_reader.handle(event)) {
        m_ledger.detectGap(*batch);
        if (batch->hasGap) {
            // The missing records may contain a granted lease.
            for (auto &[duty, lease] : m_ownLeases) {
                lease.earliestRequestTime = now + quietPeriod;
            }
        }
        for (const read_entry &entry : batch->entries) {
            handleEntry(entry);
        }
        m_writer.handleRead(*batch);
    }
    if (std::holds_alternative<stop_requested>(event)) {
        m_isStopping = true;
    }
    if (now >= m_nextTick || m_isStopping) {
        for (auto &[duty, lease] : m_ownLeases) {
            maintain(duty, lease);
        }
        m_nextTick = now + tickInterval;
    }
    announceChanges();
    m_writer.send(now, actions);
}

void lease_manager::handleEntry(const read_entry &entry)
{
    const auto *record = std::get_if<lease_entry>(&entry.content);
    if (!record) {
        return;
    }
    const bool isEffective = m_ledger.add(*record, entry.offset, entry.appendTime);
    const auto found = m_ownLeases.find(record->duty);
    if (found == m_ownLeases.end()) {
        return;
    }
    own_lease &lease = found->second;
    const bool isOwn = record->vm == m_context.node.id && record->incarnation == m_context.node.incarnation;
    const bool isPending = isOwn && lease.pendingTicket == record->ticket;
    if (isEffective && isPending) {
        applyOwnRecord(lease, *record, entry.offset);
    } else if (isEffective) {
        lease.fencing.reset();
    }
    if (isPending) {
        lease.pendingTicket.reset();
    }
    if (!m_ledger.isNewestKnown(record->duty)) {
        // The holder is unknown because earlier records are missing, but this record shows that some VM requests the
        // duty.
        lease.earliestRequestTime = m_context.time.steadyNow() + quietPeriod + leaseMargin;
    } else if (isEffective) {
        // The holder counts its lease from before it sent the record, so the lease ends earlier than this time.
        const duration jitter = fromSeconds(m_context.random.unit() * toSeconds(maximumRequestJitter));
        lease.earliestRequestTime =
            m_context.time.steadyNow() + std::chrono::milliseconds(record->durationMilliseconds) + leaseMargin + jitter;
    }
}

void lease_manager::applyOwnRecord(own_lease &lease, const lease_entry &entry, log_offset offset)
{
    const duration length = std::chrono::milliseconds(entry.durationMilliseconds);
    lease.fencing = offset;
    // Counted from before the append was sent, so that the lease ends here earlier than at any VM that reads the
    // record.
    lease.expiryTime = lease.pendingSince + length - leaseMargin;
    lease.renewTime = lease.pendingSince + renewInterval;
    lease.isReleased = length == duration::zero();
}

void lease_manager::maintain(const std::string &duty, own_lease &lease)
{
    const steady_time now = m_context.time.steadyNow();
    if (m_isStopping) {
        release(duty, lease);
        return;
    }
    if (lease.pendingTicket || !m_reader.isReachable() || !m_reader.endReadTime()) {
        return;
    }
    const granted_lease *newest = m_ledger.find(duty);
    if (lease.fencing) {
        if (now >= lease.renewTime) {
            appendRecord(duty, lease, *lease.fencing, leaseDuration);
        }
    } else if (now >= lease.earliestRequestTime || !m_controls.waitsForExpiry) {
        appendRecord(duty, lease, newest ? newest->fencing : 0, leaseDuration);
    }
}

void lease_manager::release(const std::string &duty, own_lease &lease)
{
    if (lease.isReleased) {
        return;
    }
    if (!isHeld(lease)) {
        if (lease.pendingTicket && m_writer.withdraw(lease.pendingEntryTicket)) {
            lease.pendingTicket.reset();
        }
        return;
    }
    // The duty is no longer used from here on. A lease of zero duration lets the next holder start after the margin.
    const log_offset fencing = *lease.fencing;
    lease.isReleased = true;
    appendRecord(duty, lease, fencing, duration::zero());
}

void lease_manager::appendRecord(const std::string &duty, own_lease &lease, log_offset replaces, duration length)
{
    lease.pendingTicket = ++m_lastTicket;
    lease.pendingSince = m_context.time.steadyNow();
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
    lease.pendingEntryTicket = m_writer.add(lease_entry{duty,
                                                        m_context.node.id,
                                                        m_context.node.incarnation,
                                                        m_lastTicket,
                                                        replaces,
                                                        static_cast<std::uint32_t>(milliseconds)},
                                            lease.pendingSince);
}

void lease_manager::announceChanges()
{
    for (auto &[duty, lease] : m_ownLeases) {
        const bool isNowHeld = isHeld(lease);
        if (isNowHeld == lease.isAnnouncedAsHeld) {
            continue;
        }
        lease.isAnnouncedAsHeld = isNowHeld;
        m_context.timeline.record(timeline_kind::duty_changed, {}, "duty=" + duty + (isNowHeld ? " held" : " lost"));
        m_context.post(duty_changed{duty, isNowHeld, lease.fencing.value_or(0)});
    }
}

steady_time lease_manager::nextDeadline() const
{
    return std::min(m_nextTick, m_writer.nextDeadline(m_context.time.steadyNow()));
}

bool lease_manager::isIdle() const
{
    // A lease that can't be released because the log is unreachable expires by itself.
    for (const auto &[duty, lease] : m_ownLeases) {
        if (isHeld(lease)) {
            return false;
        }
    }
    return m_writer.isEmpty() || !m_reader.isReachable();
}

std::string lease_manager::holder(const std::string &duty) const
{
    const granted_lease *newest = m_ledger.find(duty);
    return newest ? newest->vm.value() : std::string();
}

std::vector<std::string> lease_manager::duties() const
{
    std::vector<std::string> names;
    for (const auto &[duty, lease] : m_ownLeases) {
        names.push_back(duty);
    }
    return names;
}

} // namespace crocuslane

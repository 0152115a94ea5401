#include "plugins/duties/lease_table.h"

namespace crocuslane {

namespace {

using namespace std::chrono_literals;

constexpr std::string_view streamName = "leases";
constexpr duration leaseLength = 10s;
// Covers the drift of two steady clocks over one lease, and the time from the check of the clock to the use.
constexpr duration leaseMargin = 1s;
constexpr duration renewInterval = leaseLength / 3;
constexpr duration quietTime = 60s;
constexpr duration tickInterval = 250ms;
// Applicants that find a duty free at the same time apply one after another instead of all at once.
constexpr duration largestApplicationJitter = 500ms;

} // namespace

lease_table::lease_table(plugin_context &context, lease_controls controls)
    : m_context(context)
    , m_controls(controls)
    , m_reader(std::string(streamName))
    , m_writer(context.node, std::string(streamName), context.services.find<append_budget>())
    , m_ledger(quietTime)
    , m_nextTick(context.time.steadyNow())
{
}

void lease_table::apply(const std::string &duty)
{
    const auto [entry, isNew] = m_applications.try_emplace(duty);
    if (isNew) {
        entry->second.freeTime = m_context.time.steadyNow() + (m_ledger.isKnown(duty) ? duration::zero() : quietTime);
    }
}

bool lease_table::isHeld(const duty_application &application) const
{
    if (!application.fencing || application.isReleased) {
        return false;
    }
    return !m_controls.checksClock || m_context.time.steadyNow() < application.heldUntil;
}

std::optional<log_offset> lease_table::fencing(const std::string &duty) const
{
    const auto found = m_applications.find(duty);
    return found != m_applications.end() && isHeld(found->second) ? found->second.fencing : std::nullopt;
}

void lease_table::start(action_list &actions) const
{
    m_reader.follow(actions);
}

void lease_table::handle(const event &event, action_list &actions)
{
    const steady_time now = m_context.time.steadyNow();
    m_writer.handle(event, now);
    if (const auto batch = m_reader.handle(event)) {
        m_ledger.noteBatch(*batch);
        if (batch->hasGap) {
            // A lease may have been granted in the missing part.
            for (auto &[duty, application] : m_applications) {
                application.freeTime = now + quietTime;
            }
        }
        for (const read_entry &entry : batch->entries) {
            read(entry);
        }
        m_writer.handleRead(*batch);
    }
    if (std::holds_alternative<stop_requested>(event)) {
        m_isStopping = true;
    }
    if (now >= m_nextTick || m_isStopping) {
        for (auto &[duty, application] : m_applications) {
            pursue(duty, application);
        }
        m_nextTick = now + tickInterval;
    }
    announce();
    m_writer.send(now, actions);
}

void lease_table::read(const read_entry &entry)
{
    const auto *lease = std::get_if<lease_entry>(&entry.content);
    if (!lease) {
        return;
    }
    const bool isEffective = m_ledger.add(*lease, entry.offset, entry.appendTime);
    const auto found = m_applications.find(lease->duty);
    if (found == m_applications.end()) {
        return;
    }
    duty_application &application = found->second;
    const bool isOwn = lease->vm == m_context.node.id && lease->incarnation == m_context.node.incarnation;
    const bool isPending = isOwn && application.pending == lease->ticket;
    if (isEffective && isPending) {
        takeOver(application, *lease, entry.offset);
    } else if (isEffective) {
        application.fencing.reset();
    }
    if (isPending) {
        application.pending.reset();
    }
    if (!m_ledger.isKnown(lease->duty)) {
        // Nobody can tell from here who holds the duty; the record shows that somebody competes for it.
        application.freeTime = m_context.time.steadyNow() + quietTime + leaseMargin;
    } else if (isEffective) {
        // The record was appended, and sent, before it was read: the holder's own lease ends earlier than this.
        const duration jitter = fromSeconds(m_context.random.unit() * toSeconds(largestApplicationJitter));
        application.freeTime =
            m_context.time.steadyNow() + std::chrono::milliseconds(lease->durationMilliseconds) + leaseMargin + jitter;
    }
}

void lease_table::takeOver(duty_application &application, const lease_entry &entry, log_offset offset)
{
    const duration length = std::chrono::milliseconds(entry.durationMilliseconds);
    application.fencing = offset;
    // Counted from before the append was sent: whoever reads the record measures a later end.
    application.heldUntil = application.pendingSince + length - leaseMargin;
    application.renewTime = application.pendingSince + renewInterval;
    application.isReleased = length == duration::zero();
}

void lease_table::pursue(const std::string &duty, duty_application &application)
{
    const steady_time now = m_context.time.steadyNow();
    if (m_isStopping) {
        release(duty, application);
        return;
    }
    if (application.pending || !m_reader.isReachable() || !m_reader.endReadTime()) {
        return;
    }
    const known_lease *newest = m_ledger.find(duty);
    if (application.fencing) {
        if (now >= application.renewTime) {
            append(duty, application, *application.fencing, leaseLength);
        }
    } else if (now >= application.freeTime || !m_controls.waitsForExpiry) {
        append(duty, application, newest ? newest->fencing : 0, leaseLength);
    }
}

void lease_table::release(const std::string &duty, duty_application &application)
{
    if (application.isReleased) {
        return;
    }
    if (!isHeld(application)) {
        if (application.pending && m_writer.withdraw(application.pendingEntry)) {
            application.pending.reset();
        }
        return;
    }
    // No order is sent from here on; a lease without length lets the next holder start after the margin.
    const log_offset fencing = *application.fencing;
    application.isReleased = true;
    append(duty, application, fencing, duration::zero());
}

void lease_table::append(const std::string &duty, duty_application &application, log_offset replaces, duration length)
{
    application.pending = ++m_lastTicket;
    application.pendingSince = m_context.time.steadyNow();
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
    application.pendingEntry = m_writer.add(lease_entry{duty,
                                                        m_context.node.id,
                                                        m_context.node.incarnation,
                                                        m_lastTicket,
                                                        replaces,
                                                        static_cast<std::uint32_t>(milliseconds)},
                                            application.pendingSince);
}

void lease_table::announce()
{
    for (auto &[duty, application] : m_applications) {
        const bool isNowHeld = isHeld(application);
        if (isNowHeld == application.isAnnounced) {
            continue;
        }
        application.isAnnounced = isNowHeld;
        m_context.timeline.record(timeline_kind::duty_changed, {}, "duty=" + duty + (isNowHeld ? " held" : " lost"));
        m_context.post(duty_changed{duty, isNowHeld, application.fencing.value_or(0)});
    }
}

steady_time lease_table::nextDeadline() const
{
    return std::min(m_nextTick, m_writer.nextDeadline(m_context.time.steadyNow()));
}

bool lease_table::isIdle() const
{
    // A lease that can't be released for want of the log ends by itself.
    for (const auto &[duty, application] : m_applications) {
        if (isHeld(application)) {
            return false;
        }
    }
    return m_writer.isEmpty() || !m_reader.isReachable();
}

std::string lease_table::holder(const std::string &duty) const
{
    const known_lease *newest = m_ledger.find(duty);
    return newest ? newest->vm.value() : std::string();
}

std::vector<std::string> lease_table::duties() const
{
    std::vector<std::string> names;
    for (const auto &[duty, application] : m_applications) {
        names.push_back(duty);
    }
    return names;
}

} // namespace crocuslane

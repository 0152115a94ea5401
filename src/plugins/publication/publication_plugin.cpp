#include "plugins/publication/publication_plugin.h"

#include "base/digest.h"
#include "services/duty_leases.h"
#include "services/member_view.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace crocuslane {

namespace {

using namespace std::chrono_literals;

constexpr std::string_view streamName = "configuration";
constexpr std::string_view snapshotDuty = "snapshots";
constexpr duration tickInterval = 500ms;
constexpr duration fetchInterval = 1s;
// A publication that is not decided, or not confirmed by a majority, within this time is answered with its status.
constexpr duration answerTimeout = 10s;
// Minimum time between two snapshots, so that the first can be read back before another one is due.
constexpr duration snapshotInterval = 30s;
// VMs without the snapshot duty spread their snapshots randomly over the retention time divided by this.
constexpr double snapshotJitterDivisor = 8.0;

const plugin_registrar autoRegistrar("publication", []() -> std::unique_ptr<plugin> {
    return std::make_unique<publication_plugin>();
});

} // namespace

publication_plugin::publication_plugin(std::unique_ptr<configuration_parser> parser, publication_controls controls)
    : m_parser(std::move(parser))
    , m_controls(controls)
    , m_reader(std::string(streamName))
    , m_stateMachine(*m_parser, controls.comparesVersions)
{
}

std::string_view publication_plugin::name() const
{
    return "publication";
}

std::vector<std::string_view> publication_plugin::dependencies() const
{
    return {"appends"};
}

void publication_plugin::initialize(plugin_context &context)
{
    m_context = &context;
    if (const auto *settings = context.services.tryFind<publication_settings>()) {
        m_settings = *settings;
    }
    m_writer =
        std::make_unique<group_writer>(context.node, std::string(streamName), context.services.find<append_budget>());
    m_snapshotJitter = fromSeconds(context.random.unit() * toSeconds(m_settings.retention) / snapshotJitterDivisor);
    context.services.offer<configuration_source>(*this);
}

void publication_plugin::start(action_list &actions)
{
    m_nextTick = m_context->time.steadyNow();
    m_reader.follow(actions);
}

void publication_plugin::handle(const event &event, action_list &actions)
{
    const steady_time now = m_context->time.steadyNow();
    m_writer->handle(event, now);
    if (const auto batch = m_reader.handle(event)) {
        for (const publication_decision &decision : m_stateMachine.apply(*batch, m_reader.position())) {
            applyDecision(decision, actions);
        }
        m_writer->handleRead(*batch);
        m_canConfirm = m_canConfirm || hasReadLogRecently();
    }
    if (const auto *publication = std::get_if<publication_requested>(&event)) {
        publish(*publication, actions);
    } else if (const auto *message = std::get_if<peer_message_received>(&event)) {
        readPeerMessage(message->peer, message->message, actions);
    } else if (const auto *connected = std::get_if<peer_connected>(&event)) {
        m_connectedPeers[connected->peer] = now;
    } else if (const auto *disconnected = std::get_if<peer_disconnected>(&event)) {
        m_connectedPeers.erase(disconnected->peer);
    }
    if (now >= m_nextTick) {
        tick(actions);
        m_nextTick = now + tickInterval;
    }
    answerConfirmed(actions);
    announce();
    m_writer->send(now, actions);
}

void publication_plugin::tick(action_list &actions)
{
    if (!m_canConfirm && m_stateMachine.isContiguous() && m_newestReportedVersion <= m_stateMachine.version()) {
        m_canConfirm = isConfirmedByMajority();
    }
    fetchIfBehind(actions);
    storeSnapshotIfDue();
    answerOverdue(actions);
}

steady_time publication_plugin::nextDeadline() const
{
    return std::min(m_nextTick, m_writer->nextDeadline(m_context->time.steadyNow()));
}

bool publication_plugin::isIdle() const
{
    return m_pending.empty();
}

// Publications of operators.

bool publication_plugin::isOperator(const std::string &keyHash) const
{
    const auto configuration = m_stateMachine.current();
    if (!configuration) {
        return m_settings.bootstrapKeyHash.empty() || equalConstantTime(m_settings.bootstrapKeyHash, keyHash);
    }
    const auto group = configuration->groupsByKeyHash.find(keyHash);
    if (group == configuration->groupsByKeyHash.end()) {
        return false;
    }
    const auto settings = configuration->callerGroups.find(group->second);
    return settings != configuration->callerGroups.end() && settings->second.isOperator;
}

std::optional<request_error> publication_plugin::refusal(const publication_requested &publication) const
{
    const auto notRun = [](error_code code, std::string message, double retryAfter = 0.0) {
        return request_error{code, execution_state::not_run, std::move(message), retryAfter};
    };
    // The configuration says who may publish, so the caller is checked only once the configuration is known.
    if (!m_reader.isReachable() || !m_reader.endReadTime() || !m_stateMachine.isContiguous()) {
        return notRun(error_code::log_unavailable, "this VM can't read the log service now", 1.0);
    }
    if (!isOperator(publication.callerKeyHash)) {
        return notRun(error_code::forbidden, "the key does not belong to an operator group");
    }
    // This check keeps publications that replace a future version out of the log: a repeated record of one could be
    // accepted by a VM that did not read the first record, which was refused.
    if (m_controls.comparesVersions && publication.replacesVersion != m_stateMachine.version()) {
        return notRun(error_code::publication_conflict,
                      "the text replaces version " + std::to_string(publication.replacesVersion) + ", but version "
                          + std::to_string(m_stateMachine.version()) + " is in force");
    }
    const auto parsed = m_parser->parse(publication.text);
    if (const auto *message = std::get_if<std::string>(&parsed)) {
        return notRun(error_code::publication_invalid, *message);
    }
    return std::nullopt;
}

void publication_plugin::publish(const publication_requested &publication, action_list &actions)
{
    if (const auto error = refusal(publication)) {
        refuse(publication.request, *error, actions);
        return;
    }
    if (m_pending.contains(publication.request)) {
        refuse(publication.request,
               {error_code::request_in_progress,
                execution_state::unknown,
                "a publication with this request id is in progress",
                1.0},
               actions);
        return;
    }
    const steady_time now = m_context->time.steadyNow();
    const node_identity &node = m_context->node;
    const entry_ticket ticket = m_writer->add(publication_entry{publication.replacesVersion,
                                                                publication.request,
                                                                node.id,
                                                                node.incarnation,
                                                                publication.text,
                                                                sha256Hex(publication.text)},
                                              now);
    m_pending[publication.request] = {ticket, now, std::nullopt};
}

void publication_plugin::applyDecision(const publication_decision &decision, action_list &actions)
{
    const publication_entry &publication = decision.publication;
    if (decision.verdict == publication_verdict::accepted) {
        m_context->timeline.record(
            timeline_kind::configuration_accepted, publication.request, "version=" + std::to_string(decision.version));
    }
    const node_identity &node = m_context->node;
    const auto pending = m_pending.find(publication.request);
    if (publication.vm != node.id || publication.incarnation != node.incarnation || pending == m_pending.end()) {
        return;
    }
    if (decision.verdict == publication_verdict::accepted) {
        pending->second.version = decision.version;
        return;
    }
    const error_code code = decision.verdict == publication_verdict::conflict ? error_code::publication_conflict
                                                                              : error_code::publication_invalid;
    refuse(publication.request, {code, execution_state::not_run, decision.message, 0.0}, actions);
    m_pending.erase(pending);
}

void publication_plugin::answerConfirmed(action_list &actions)
{
    for (auto entry = m_pending.begin(); entry != m_pending.end();) {
        const auto version = entry->second.version;
        if (!version || confirmations(*version) * 2 <= memberCount()) {
            ++entry;
            continue;
        }
        const nlohmann::json body = {{"accepted", true}, {"version", *version}};
        actions.push_back(answer_call{entry->first, 200, body.dump()});
        entry = m_pending.erase(entry);
    }
}

void publication_plugin::answerOverdue(action_list &actions)
{
    const steady_time now = m_context->time.steadyNow();
    for (auto entry = m_pending.begin(); entry != m_pending.end();) {
        const pending_publication &pending = entry->second;
        if (now < pending.received + answerTimeout) {
            ++entry;
            continue;
        }
        if (pending.version) {
            const nlohmann::json body = {{"accepted", false},
                                         {"version", *pending.version},
                                         {"confirmed", confirmations(*pending.version)},
                                         {"members", memberCount()}};
            actions.push_back(answer_call{entry->first, 202, body.dump()});
        } else if (m_writer->withdraw(pending.ticket)) {
            refuse(entry->first,
                   {error_code::log_unavailable,
                    execution_state::not_run,
                    "the log service did not accept the publication",
                    1.0},
                   actions);
        } else {
            refuse(entry->first,
                   {error_code::log_unavailable,
                    execution_state::unknown,
                    "the publication was sent, but could not be read back; it may still be accepted",
                    1.0},
                   actions);
        }
        entry = m_pending.erase(entry);
    }
}

void publication_plugin::refuse(const request_id &request, request_error error, action_list &actions)
{
    actions.push_back(refuse_request{request, std::move(error)});
}

// Messages from other VMs.

void publication_plugin::readPeerMessage(const vm_id &peer, const peer_message &message, action_list &actions)
{
    if (const auto *beat = std::get_if<heartbeat>(&message)) {
        noteVersion(peer, beat->configurationVersion, actions);
    } else if (const auto *digest = std::get_if<exchange_digest>(&message)) {
        noteVersion(peer, digest->configurationVersion, actions);
    } else if (const auto *delta = std::get_if<exchange_delta>(&message)) {
        for (const member_state &state : delta->states) {
            noteVersion(peer, state.configurationVersion, actions);
        }
        for (const member_sighting &sighting : delta->sightings) {
            noteVersion(peer, sighting.configurationVersion, actions);
        }
    } else if (const auto *request = std::get_if<configuration_fetch>(&message)) {
        if (m_stateMachine.isContiguous() && m_stateMachine.current()
            && m_stateMachine.version() >= request->knownVersion) {
            actions.push_back(send_to_peer{
                peer,
                configuration_text{m_stateMachine.version(), m_stateMachine.asOf(), m_stateMachine.current()->text}});
        }
    } else if (const auto *text = std::get_if<configuration_text>(&message)) {
        m_newestReportedVersion = std::max(m_newestReportedVersion, text->version);
        m_stateMachine.adopt(text->version, text->asOf, text->text);
    }
}

void publication_plugin::noteVersion(const vm_id &peer, std::uint64_t version, action_list &actions)
{
    if (version <= m_newestReportedVersion) {
        return;
    }
    m_newestReportedVersion = version;
    if (version > m_stateMachine.version()) {
        fetch(peer, actions);
    }
}

void publication_plugin::fetch(const vm_id &peer, action_list &actions)
{
    m_lastFetch = m_context->time.steadyNow();
    actions.push_back(send_to_peer{peer, configuration_fetch{m_stateMachine.version()}});
}

void publication_plugin::fetchIfBehind(action_list &actions)
{
    const bool isBehind = !m_stateMachine.isContiguous() || !m_stateMachine.current()
        || m_newestReportedVersion > m_stateMachine.version();
    if (!isBehind || m_connectedPeers.empty()
        || (m_lastFetch != steady_time::min() && m_context->time.steadyNow() < m_lastFetch + fetchInterval)) {
        return;
    }
    auto peer = m_connectedPeers.begin();
    std::advance(peer, static_cast<std::ptrdiff_t>(m_context->random.below(m_connectedPeers.size())));
    fetch(peer->first, actions);
}

const member_view *publication_plugin::members() const
{
    return m_context->services.tryFind<member_view>();
}

std::size_t publication_plugin::memberCount() const
{
    return members() ? members()->members().size() : 1;
}

std::size_t publication_plugin::confirmations(std::uint64_t version) const
{
    if (!members()) {
        return m_stateMachine.version() >= version ? 1 : 0;
    }
    std::size_t count = 0;
    for (const member_info &member : members()->members()) {
        const std::uint64_t reported = member.isSelf ? m_stateMachine.version() : member.configurationVersion;
        count += reported >= version ? 1 : 0;
    }
    return count;
}

// Freshness.

bool publication_plugin::hasReadLogRecently() const
{
    const auto read = m_reader.endReadTime();
    return m_stateMachine.isContiguous() && read && m_context->time.steadyNow() < *read + m_settings.freshnessLimit;
}

bool publication_plugin::isConfirmedByMajority() const
{
    if (!members()) {
        return true;
    }
    std::size_t confirming = 0;
    const std::vector<member_info> all = members()->members();
    for (const member_info &member : all) {
        const bool isRecent = member.lastContactAge && *member.lastContactAge < m_settings.freshnessLimit;
        if (member.isSelf ? m_canConfirm : isRecent && member.configurationVersion > 0) {
            ++confirming;
        }
    }
    return confirming * 2 > all.size();
}

bool publication_plugin::mayTakeRequests() const
{
    if (!m_stateMachine.current()) {
        return false;
    }
    if (!m_controls.checksFreshness) {
        return true;
    }
    if (!m_stateMachine.isContiguous() || m_newestReportedVersion > m_stateMachine.version()) {
        return false;
    }
    return hasReadLogRecently() || isConfirmedByMajority();
}

std::shared_ptr<const configuration> publication_plugin::current() const
{
    return m_stateMachine.current();
}

std::uint64_t publication_plugin::version() const
{
    return m_stateMachine.version();
}

std::uint64_t publication_plugin::confirmedVersion() const
{
    return m_canConfirm ? m_stateMachine.version() : 0;
}

void publication_plugin::announce()
{
    if (m_stateMachine.version() != m_announcedVersion) {
        m_announcedVersion = m_stateMachine.version();
        m_context->post(configuration_changed{m_stateMachine.current(), m_announcedVersion});
    }
    const bool isFresh = mayTakeRequests();
    if (isFresh != m_announcedFresh) {
        m_announcedFresh = isFresh;
        m_context->timeline.record(timeline_kind::freshness_changed, {}, isFresh ? "fresh=true" : "fresh=false");
        m_context->post(freshness_changed{isFresh});
    }
}

// Snapshots.

void publication_plugin::storeSnapshotIfDue()
{
    const steady_time now = m_context->time.steadyNow();
    if (!m_stateMachine.isContiguous() || !m_stateMachine.current() || !hasReadLogRecently() || !m_writer->isEmpty()
        || (m_lastSnapshot != steady_time::min() && now < m_lastSnapshot + snapshotInterval)) {
        return;
    }
    const auto *duties = m_context->services.tryFind<duty_leases>();
    const bool isHolder = duties && duties->fencing(std::string(snapshotDuty));
    // The other VMs store one later if none is there, so that a snapshot doesn't depend on a lease.
    const duration due = isHolder ? m_settings.retention / 3 : m_settings.retention / 2 + m_snapshotJitter;
    const auto stored = m_stateMachine.lastAppendTime();
    if (stored && m_context->time.systemNow() - *stored < due) {
        return;
    }
    const std::string &text = m_stateMachine.current()->text;
    m_writer->add(snapshot_entry{m_stateMachine.version(), m_stateMachine.asOf(), text, sha256Hex(text)}, now);
    m_lastSnapshot = now;
}

void publication_plugin::describe(nlohmann::json &status) const
{
    status["version"] = m_stateMachine.version();
    status["newest_heard"] = m_newestReportedVersion;
    status["fresh"] = mayTakeRequests();
    status["log_reachable"] = m_reader.isReachable();
    status["log_position"] = m_reader.position();
    status["unreadable_records"] = m_reader.unreadableRecords();
}

} // namespace crocuslane

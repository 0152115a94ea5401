#include "kernel/plugin.h"
#include "plugins/membership/member_table.h"
#include "plugins/membership/message_size.h"
#include "plugins/membership/peer_connections.h"
#include "plugins/membership/peer_topology.h"
#include "plugins/membership/state_exchange.h"
#include "services/admission_controller.h"
#include "services/configuration_source.h"
#include "services/member_view.h"
#include "services/runner_use_exchange.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace crocuslane {

namespace {

constexpr std::uint32_t adviceLifetimeSeconds = 5;
// Time until the other entry VMs have received the stopping flag and omit this VM from their advice.
constexpr std::chrono::seconds stopAnnouncementTime{2};
// Limits the requests: without it, every heartbeat from a peer with a newer version would cause one.
constexpr std::chrono::seconds configurationFetchInterval{2};
// With many VMs a state takes longer than memberTimeout to reach all others; sightings show meanwhile that its VM is
// alive.
constexpr std::chrono::seconds maximumStateAge{30};
constexpr std::string_view configurationStream = "configuration";

template<typename... handlers>
struct overloaded : handlers... {
    using handlers::operator()...;
};

template<typename... handlers>
overloaded(handlers...) -> overloaded<handlers...>;

} // namespace

/// Maintains the VM list, the connections between entry VMs, the exchange of their states, and the advice to callers.
class membership_plugin : public plugin, public member_view
{
public:
    std::string_view name() const override
    {
        return "membership";
    }

    void initialize(plugin_context &context) override
    {
        m_context = &context;
        m_members.emplace(context.node.id, context.time.steadyNow());
        m_connections.emplace(context.time, context.random);
        m_exchange.emplace(context.time, context.random, context.node, *m_members, *m_connections);
        context.services.offer<member_view>(*this);
        // VMs that start together must not all send at the same time.
        const std::chrono::milliseconds phase(context.random.below(exchangeInterval.count()));
        m_nextRoundTime = context.time.steadyNow() + phase;
    }

    void handle(const event &event, action_list &actions) override
    {
        std::visit(overloaded{[&](const timer_expired &) { tick(actions); },
                              [&](const vm_list_read &read) { handleVmList(read, actions); },
                              [&](const runner_load_reported &report) { handleLoadReport(report.load); },
                              [&](const log_records_read &read) { handleLogRead(read); },
                              [&](const peer_connected &connected) { peerConnected(connected.peer, actions); },
                              [&](const peer_disconnected &disconnected) {
                                  m_connections->disconnected(disconnected.peer);
                                  m_exchange->disconnected(disconnected.peer);
                              },
                              [&](const peer_message_received &received) { handleMessage(received, actions); },
                              [&](const stop_requested &) { beginStop(actions); },
                              [](const auto &) {}},
                   event);
    }

    steady_time nextDeadline() const override
    {
        return m_stopTime && now() < *m_stopTime ? std::min(m_nextRoundTime, *m_stopTime) : m_nextRoundTime;
    }

    bool isIdle() const override
    {
        return !m_stopTime || now() >= *m_stopTime;
    }

    entry_advice advice() const override;
    std::vector<member_info> members() const override;
    bool hasContactWithMajority(duration limit) const override;

    const std::vector<vm_entry> &backendServers() const override
    {
        return m_backendServers;
    }

    std::vector<vm_id> connectedPeers() const override;

    std::optional<steady_time> earliestSendTime(const vm_id &peer) const override
    {
        return m_connections->earliestSendTime(peer);
    }

    std::optional<std::string> regionOf(const vm_id &peer) const override
    {
        const member_record *record = m_members->find(peer);
        return record != nullptr && record->listEntry ? std::optional(record->listEntry->region) : std::nullopt;
    }

    void describe(nlohmann::json &status) const override;

private:
    steady_time now() const
    {
        return m_context->time.steadyNow();
    }

    std::uint64_t ownVersion() const
    {
        const auto *source = m_context->services.tryFind<configuration_source>();
        return source == nullptr ? 0 : source->version();
    }

    /// The version reported to other VMs; see configuration_source::confirmedVersion().
    std::uint64_t confirmedVersion() const
    {
        const auto *source = m_context->services.tryFind<configuration_source>();
        return source == nullptr ? 0 : source->confirmedVersion();
    }

    bool takesRequests() const
    {
        const auto *source = m_context->services.tryFind<configuration_source>();
        return !m_stopTime && (source == nullptr || source->mayTakeRequests());
    }

    bool isAdvised(const member_record &record) const
    {
        return record.listEntry && record.listEntry->state == backend_state::live && !record.isStopping
            && record.isAlive(now());
    }

    void tick(action_list &actions);
    void updateMembers();
    void updateEndpoints(action_list &actions);
    member_state ownState();
    void handleVmList(const vm_list_read &read, action_list &actions);
    void handleLoadReport(const runner_load &load);
    void handleLogRead(const log_records_read &read);
    void peerConnected(const vm_id &peer, action_list &actions);
    void handleMessage(const peer_message_received &received, action_list &actions);
    void handleHeartbeat(const vm_id &peer, const heartbeat &message);
    void handleDelta(const vm_id &peer, const exchange_delta &delta);
    void handleState(const vm_id &peer, const member_state &state, steady_time earliestSent);
    void fetchConfiguration(const vm_id &peer, std::uint64_t version, action_list &actions);
    void sendHeartbeats(action_list &actions);
    void beginStop(action_list &actions);
    void updateLeavingMarks();
    bool isMarkedLeaving(const runner_id &runner) const;

    plugin_context *m_context = nullptr;
    std::optional<member_table> m_members;
    std::optional<peer_connections> m_connections;
    std::optional<state_exchange> m_exchange;
    steady_time m_nextRoundTime;
    bool m_hasList = false;
    bool m_isSelfLeaving = false;
    std::vector<vm_entry> m_backendServers;
    /// Backend servers marked as leaving, by the source of the mark.
    std::set<runner_id> m_leavingByList;
    std::set<runner_id> m_leavingByLoad;
    std::map<vm_id, std::set<runner_id>> m_leavingByPeer;
    /// Members whose demand and runner use were forwarded to other plug-ins.
    std::set<vm_id> m_forwardedMembers;
    std::uint64_t m_stateCounter = 0;
    std::optional<steady_time> m_logReadTime;
    std::optional<steady_time> m_stopTime;
    steady_time m_nextFetchTime;
};

void membership_plugin::tick(action_list &actions)
{
    if (now() < m_nextRoundTime) {
        return;
    }
    m_nextRoundTime = now() + exchangeInterval;
    m_connections->maintain(actions);
    updateMembers();
    sendHeartbeats(actions);
    m_exchange->runRound(ownState(), actions);
}

void membership_plugin::sendHeartbeats(action_list &actions)
{
    for (const vm_id &peer : m_connections->connectedPeers()) {
        m_connections->sendHeartbeat(peer, confirmedVersion(), m_stopTime.has_value(), actions);
        m_exchange->charge(heartbeatBytes);
    }
}

void membership_plugin::updateMembers()
{
    auto *admission = m_context->services.tryFind<admission_controller>();
    auto *useExchange = m_context->services.tryFind<runner_use_exchange>();
    for (const vm_id &id : m_members->updateTimeouts(now())) {
        const bool isTimedOut = m_members->find(id)->isTimedOut;
        m_context->timeline.record(
            timeline_kind::member_changed, {}, "vm=" + id.value() + (isTimedOut ? " state=gone" : " state=heard"));
    }
    std::erase_if(m_forwardedMembers, [&](const vm_id &id) {
        const member_record *record = m_members->find(id);
        if (record != nullptr && !record->isTimedOut) {
            return false;
        }
        m_leavingByPeer.erase(id);
        if (admission != nullptr) {
            admission->removeRemote(id);
        }
        if (useExchange != nullptr) {
            useExchange->removeRemote(id);
        }
        return true;
    });
    m_members->removeObsolete();
    updateLeavingMarks();
}

member_state membership_plugin::ownState()
{
    member_state state;
    state.id = m_context->node.id;
    state.incarnation = m_context->node.incarnation;
    state.counter = ++m_stateCounter;
    state.configurationVersion = confirmedVersion();
    state.isStopping = m_stopTime.has_value();
    if (m_logReadTime) {
        state.logReadAgeMilliseconds = std::chrono::ceil<std::chrono::milliseconds>(now() - *m_logReadTime).count();
    }
    if (const auto *admission = m_context->services.tryFind<admission_controller>()) {
        state.demand = admission->localDemand();
    }
    std::set<runner_id> leaving = m_leavingByList;
    leaving.insert(m_leavingByLoad.begin(), m_leavingByLoad.end());
    if (const auto *useExchange = m_context->services.tryFind<runner_use_exchange>()) {
        for (runner_use use : useExchange->localUse()) {
            // Only marks from the platform: VMs that relayed marks of peers would keep a mark alive among themselves.
            use.isLeaving = leaving.erase(use.runner) > 0;
            if (use.inFlight > 0 || use.isLeaving) {
                state.runners.push_back(std::move(use));
            }
        }
    }
    for (const runner_id &runner : leaving) {
        state.runners.push_back({runner, 0, true});
    }
    return state;
}

void membership_plugin::handleVmList(const vm_list_read &read, action_list &actions)
{
    m_hasList = true;
    m_members->setVmList(read.entries);
    m_isSelfLeaving = false;
    m_backendServers.clear();
    m_leavingByList.clear();
    std::set<runner_id> present;
    for (const vm_entry &entry : read.entries) {
        const bool isLeaving = entry.state == backend_state::leaving;
        if (entry.role == vm_role::entry) {
            m_isSelfLeaving = m_isSelfLeaving || (isLeaving && entry.id == m_context->node.id.value());
            continue;
        }
        m_backendServers.push_back(entry);
        present.insert(runner_id(entry.id));
        if (isLeaving) {
            m_leavingByList.insert(runner_id(entry.id));
        }
    }
    std::erase_if(m_leavingByLoad, [&present](const runner_id &runner) { return !present.contains(runner); });
    updateLeavingMarks();
    updateEndpoints(actions);
}

void membership_plugin::updateEndpoints(action_list &actions)
{
    const vm_id &self = m_context->node.id;
    std::map<vm_id, peer_connections::endpoint> endpoints;
    for (const vm_id &peer : neighbours(self, m_members->listedIds())) {
        endpoints[peer] = {m_members->find(peer)->listEntry->peerAddress, opensConnection(self, peer)};
    }
    m_connections->setEndpoints(std::move(endpoints), actions);
}

void membership_plugin::handleLoadReport(const runner_load &load)
{
    if (load.state == backend_state::leaving) {
        m_leavingByLoad.insert(load.runner);
    } else {
        m_leavingByLoad.erase(load.runner);
    }
    updateLeavingMarks();
}

bool membership_plugin::isMarkedLeaving(const runner_id &runner) const
{
    return m_leavingByList.contains(runner) || m_leavingByLoad.contains(runner)
        || std::any_of(m_leavingByPeer.begin(), m_leavingByPeer.end(), [&runner](const auto &marks) {
               return marks.second.contains(runner);
           });
}

void membership_plugin::updateLeavingMarks()
{
    for (vm_entry &entry : m_backendServers) {
        entry.state = isMarkedLeaving(runner_id(entry.id)) ? backend_state::leaving : backend_state::live;
    }
}

void membership_plugin::handleLogRead(const log_records_read &read)
{
    const bool isAtEnd = read.records.empty() || read.records.back().offset + 1 >= read.endOffset;
    if (read.stream == configurationStream && isAtEnd) {
        m_logReadTime = read.queryTime;
    }
}

void membership_plugin::peerConnected(const vm_id &peer, action_list &actions)
{
    m_connections->connected(peer);
    m_connections->sendHeartbeat(peer, confirmedVersion(), m_stopTime.has_value(), actions);
    m_exchange->charge(heartbeatBytes);
    m_exchange->connected(peer, actions);
}

void membership_plugin::handleMessage(const peer_message_received &received, action_list &actions)
{
    const vm_id &peer = received.peer;
    m_connections->messageReceived(peer);
    std::visit(overloaded{[&](const heartbeat &message) {
                              handleHeartbeat(peer, message);
                              fetchConfiguration(peer, message.configurationVersion, actions);
                          },
                          [&](const exchange_digest &digest) {
                              m_exchange->digestReceived(peer, digest, actions);
                              fetchConfiguration(peer, digest.configurationVersion, actions);
                          },
                          [&](const exchange_delta &delta) { handleDelta(peer, delta); },
                          [](const auto &) {}},
               received.message);
}

void membership_plugin::handleHeartbeat(const vm_id &peer, const heartbeat &message)
{
    m_connections->heartbeatReceived(peer, message);
    if (const std::optional<steady_time> earliestSent = m_connections->earliestSendTime(peer)) {
        m_members->recordAlive(peer, *earliestSent, message.configurationVersion, message.isStopping);
    }
}

void membership_plugin::handleDelta(const vm_id &peer, const exchange_delta &delta)
{
    // Before the first echo, the delay of the message has no known upper bound.
    const std::optional<steady_time> earliestSent = m_connections->earliestSendTime(peer);
    if (!earliestSent) {
        return;
    }
    for (const member_state &state : delta.states) {
        handleState(peer, state, *earliestSent);
    }
    for (const member_sighting &sighting : delta.sightings) {
        m_members->recordAlive(sighting.id,
                               *earliestSent - std::chrono::milliseconds(sighting.ageMilliseconds),
                               sighting.configurationVersion,
                               sighting.isStopping);
    }
}

void membership_plugin::handleState(const vm_id &peer, const member_state &state, steady_time earliestSent)
{
    m_exchange->recordPeerState(peer, state.id, state.incarnation, state.counter);
    const steady_time createdAt = earliestSent - std::chrono::milliseconds(state.ageMilliseconds);
    if (now() - createdAt > maximumStateAge || !m_members->updateState(state, createdAt, peer == state.id)
        || !m_members->isAlive(state.id, now())) {
        return;
    }
    m_forwardedMembers.insert(state.id);
    std::set<runner_id> leaving;
    for (const runner_use &use : state.runners) {
        if (use.isLeaving) {
            leaving.insert(use.runner);
        }
    }
    m_leavingByPeer[state.id] = std::move(leaving);
    updateLeavingMarks();
    if (auto *admission = m_context->services.tryFind<admission_controller>()) {
        admission->setRemoteDemand(state.id, state.demand);
    }
    if (auto *useExchange = m_context->services.tryFind<runner_use_exchange>()) {
        useExchange->setRemoteUse(state.id, state.runners);
    }
}

void membership_plugin::fetchConfiguration(const vm_id &peer, std::uint64_t version, action_list &actions)
{
    if (version <= ownVersion() || now() < m_nextFetchTime) {
        return;
    }
    m_nextFetchTime = now() + configurationFetchInterval;
    actions.push_back(send_to_peer{peer, configuration_fetch{ownVersion()}});
}

void membership_plugin::beginStop(action_list &actions)
{
    if (m_stopTime) {
        return;
    }
    // A caller may have received the old advice from another VM just before that VM received the stopping flag.
    m_stopTime = now() + std::chrono::seconds(adviceLifetimeSeconds) + stopAnnouncementTime;
    m_context->timeline.record(timeline_kind::stopping, {}, "vm=" + m_context->node.id.value());
    sendHeartbeats(actions);
}

entry_advice membership_plugin::advice() const
{
    struct ranked {
        int distance = 0;
        std::uint64_t randomKey = 0;
        entry_advice::entry entry;
    };
    const node_identity &node = m_context->node;
    std::vector<ranked> candidates;
    const auto add = [&](entry_advice::entry entry) {
        int distance = 2;
        if (entry.region == node.region) {
            distance = entry.availabilityZone == node.availabilityZone ? 0 : 1;
        }
        // Random order within a distance, so that callers spread over the VMs.
        candidates.push_back({distance, m_context->random.next(), std::move(entry)});
    };
    if (takesRequests() && !m_isSelfLeaving) {
        add({node.id, node.callerAddress, node.availabilityZone, node.region});
    }
    for (const auto &[id, record] : m_members->records()) {
        if (isAdvised(record)) {
            add({id, record.listEntry->address, record.listEntry->availabilityZone, record.listEntry->region});
        }
    }
    std::sort(candidates.begin(), candidates.end(), [](const ranked &left, const ranked &right) {
        return std::pair(left.distance, left.randomKey) < std::pair(right.distance, right.randomKey);
    });
    entry_advice advice;
    advice.keepSeconds = adviceLifetimeSeconds;
    for (ranked &candidate : candidates) {
        advice.entries.push_back(std::move(candidate.entry));
    }
    return advice;
}

std::vector<member_info> membership_plugin::members() const
{
    const node_identity &node = m_context->node;
    std::vector<member_info> infos;
    infos.push_back({node.id,
                     node.availabilityZone,
                     node.region,
                     node.callerAddress,
                     duration::zero(),
                     ownVersion(),
                     m_stopTime.has_value(),
                     true});
    for (const auto &[id, record] : m_members->records()) {
        if (!record.listEntry) {
            continue;
        }
        const vm_entry &entry = *record.listEntry;
        std::optional<duration> age;
        if (record.aliveTime) {
            age = now() - *record.aliveTime;
        }
        infos.push_back({id,
                         entry.availabilityZone,
                         entry.region,
                         entry.address,
                         age,
                         record.configurationVersion,
                         record.isStopping,
                         false});
    }
    return infos;
}

bool membership_plugin::hasContactWithMajority(duration limit) const
{
    if (!m_hasList) {
        return false;
    }
    std::size_t total = 1;
    std::size_t contacted = 1;
    for (const auto &[id, record] : m_members->records()) {
        if (!record.listEntry) {
            continue;
        }
        ++total;
        contacted += record.aliveTime && now() - *record.aliveTime <= limit ? 1 : 0;
    }
    return 2 * contacted > total;
}

std::vector<vm_id> membership_plugin::connectedPeers() const
{
    std::vector<vm_id> peers = m_connections->connectedPeers();
    const std::string &zone = m_context->node.availabilityZone;
    std::stable_partition(peers.begin(), peers.end(), [&](const vm_id &peer) {
        const member_record *record = m_members->find(peer);
        return record != nullptr && record->listEntry && record->listEntry->availabilityZone != zone;
    });
    return peers;
}

void membership_plugin::describe(nlohmann::json &status) const
{
    status["is_stopping"] = m_stopTime.has_value();
    status["members"] = nlohmann::json::array();
    for (const member_info &member : members()) {
        nlohmann::json entry = {{"vm", member.id.value()},
                                {"availability_zone", member.availabilityZone},
                                {"region", member.region},
                                {"address", member.address},
                                {"configuration_version", member.configurationVersion},
                                {"is_stopping", member.isStopping},
                                {"is_self", member.isSelf},
                                {"is_connected", m_connections->isConnected(member.id)}};
        if (member.lastContactAge) {
            entry["last_heard_ms"] =
                std::chrono::duration_cast<std::chrono::milliseconds>(*member.lastContactAge).count();
        }
        const member_record *record = m_members->find(member.id);
        if (record != nullptr && !record->state.id.isEmpty() && record->state.logReadAgeMilliseconds >= 0) {
            const auto stored = std::chrono::duration_cast<std::chrono::milliseconds>(now() - record->stateCreatedAt);
            entry["log_read_ms"] = record->state.logReadAgeMilliseconds + stored.count();
        }
        status["members"].push_back(std::move(entry));
    }
    status["leaving_backend_servers"] = nlohmann::json::array();
    for (const vm_entry &entry : m_backendServers) {
        if (entry.state == backend_state::leaving) {
            status["leaving_backend_servers"].push_back(entry.id);
        }
    }
}

namespace {

const plugin_registrar autoRegistrar("membership",
                                     []() -> std::unique_ptr<plugin> { return std::make_unique<membership_plugin>(); });

} // namespace

} // namespace crocuslane

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

constexpr std::uint32_t adviceKeepSeconds = 5;
// Time for the mark to reach the other entry VMs, whose advice then leaves this one out too.
constexpr std::chrono::seconds stopAnnouncement{2};
// Every heartbeat of every peer that has a newer version would ask for it again.
constexpr std::chrono::seconds fetchInterval{2};
// At large sizes a state takes longer than memberTimeout to come round; sightings tell that its VM is alive.
constexpr std::chrono::seconds oldestState{30};
constexpr std::string_view configurationStream = "configuration";

template<typename... handlers>
struct overloaded : handlers... {
    using handlers::operator()...;
};

template<typename... handlers>
overloaded(handlers...) -> overloaded<handlers...>;

} // namespace

/// VM list, connections between entry VMs, exchange of their states, and the advice to callers.
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
        // VMs that start together must not all send in the same instant.
        const std::chrono::milliseconds phase(context.random.below(exchangeInterval.count()));
        m_nextRound = context.time.steadyNow() + phase;
    }

    void handle(const event &event, action_list &actions) override
    {
        std::visit(overloaded{[&](const timer_expired &) { tick(actions); },
                              [&](const vm_list_read &read) { takeList(read, actions); },
                              [&](const runner_load_reported &report) { noteLoad(report.load); },
                              [&](const log_records_read &read) { noteLogRead(read); },
                              [&](const peer_connected &connected) { peerConnected(connected.peer, actions); },
                              [&](const peer_disconnected &disconnected) {
                                  m_connections->disconnected(disconnected.peer);
                                  m_exchange->disconnected(disconnected.peer);
                              },
                              [&](const peer_message_received &received) { takeMessage(received, actions); },
                              [&](const stop_requested &) { beginStop(actions); },
                              [](const auto &) {}},
                   event);
    }

    steady_time nextDeadline() const override
    {
        return m_stopAt && now() < *m_stopAt ? std::min(m_nextRound, *m_stopAt) : m_nextRound;
    }

    bool isIdle() const override
    {
        return !m_stopAt || now() >= *m_stopAt;
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
        return m_connections->sentAfter(peer);
    }

    std::optional<std::string> regionOf(const vm_id &peer) const override
    {
        const member_record *record = m_members->find(peer);
        return record != nullptr && record->listed ? std::optional(record->listed->region) : std::nullopt;
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

    /// What other VMs may count on; see configuration_source::confirmedVersion().
    std::uint64_t confirmedVersion() const
    {
        const auto *source = m_context->services.tryFind<configuration_source>();
        return source == nullptr ? 0 : source->confirmedVersion();
    }

    bool takesRequests() const
    {
        const auto *source = m_context->services.tryFind<configuration_source>();
        return !m_stopAt && (source == nullptr || source->mayTakeRequests());
    }

    bool isAdvised(const member_record &record) const
    {
        return record.listed && record.listed->state == backend_state::live && !record.isStopping
            && record.isHeard(now());
    }

    void tick(action_list &actions);
    void updateMembers();
    void updateWanted(action_list &actions);
    member_state ownState();
    void takeList(const vm_list_read &read, action_list &actions);
    void noteLoad(const runner_load &load);
    void noteLogRead(const log_records_read &read);
    void peerConnected(const vm_id &peer, action_list &actions);
    void takeMessage(const peer_message_received &received, action_list &actions);
    void takeHeartbeat(const vm_id &peer, const heartbeat &message);
    void takeDelta(const vm_id &peer, const exchange_delta &delta);
    void takeState(const vm_id &peer, const member_state &state, steady_time sentAfter);
    void fetchConfiguration(const vm_id &peer, std::uint64_t version, action_list &actions);
    void sendHeartbeats(action_list &actions);
    void beginStop(action_list &actions);
    void markLeaving();
    bool isMarkedLeaving(const runner_id &runner) const;

    plugin_context *m_context = nullptr;
    std::optional<member_table> m_members;
    std::optional<peer_connections> m_connections;
    std::optional<state_exchange> m_exchange;
    steady_time m_nextRound;
    bool m_hasList = false;
    bool m_isSelfLeaving = false;
    std::vector<vm_entry> m_backendServers;
    /// Backend servers that the VM list itself has as leaving.
    std::set<runner_id> m_leavingByList;
    std::set<runner_id> m_leavingByLoad;
    std::map<vm_id, std::set<runner_id>> m_leavingByPeer;
    /// Members whose demand and use other plug-ins were told.
    std::set<vm_id> m_passedOn;
    std::uint64_t m_counter = 0;
    std::optional<steady_time> m_logReadAt;
    std::optional<steady_time> m_stopAt;
    steady_time m_nextFetch;
};

void membership_plugin::tick(action_list &actions)
{
    if (now() < m_nextRound) {
        return;
    }
    m_nextRound = now() + exchangeInterval;
    m_connections->maintain(actions);
    updateMembers();
    sendHeartbeats(actions);
    m_exchange->runRound(ownState(), actions);
}

void membership_plugin::sendHeartbeats(action_list &actions)
{
    for (const vm_id &peer : m_connections->connectedPeers()) {
        m_connections->sendHeartbeat(peer, confirmedVersion(), m_stopAt.has_value(), actions);
        m_exchange->charge(heartbeatBytes);
    }
}

void membership_plugin::updateMembers()
{
    auto *admission = m_context->services.tryFind<admission_controller>();
    auto *picker = m_context->services.tryFind<runner_use_exchange>();
    for (const vm_id &id : m_members->updateGone(now())) {
        const bool isGone = m_members->find(id)->isGone;
        m_context->timeline.record(
            timeline_kind::member_changed, {}, "vm=" + id.value() + (isGone ? " state=gone" : " state=heard"));
    }
    std::erase_if(m_passedOn, [&](const vm_id &id) {
        const member_record *record = m_members->find(id);
        if (record != nullptr && !record->isGone) {
            return false;
        }
        m_leavingByPeer.erase(id);
        if (admission != nullptr) {
            admission->removeRemote(id);
        }
        if (picker != nullptr) {
            picker->removeRemote(id);
        }
        return true;
    });
    m_members->removeStrangers();
    markLeaving();
}

member_state membership_plugin::ownState()
{
    member_state state;
    state.id = m_context->node.id;
    state.incarnation = m_context->node.incarnation;
    state.counter = ++m_counter;
    state.configurationVersion = confirmedVersion();
    state.isStopping = m_stopAt.has_value();
    if (m_logReadAt) {
        state.logReadAgeMilliseconds = std::chrono::ceil<std::chrono::milliseconds>(now() - *m_logReadAt).count();
    }
    if (const auto *admission = m_context->services.tryFind<admission_controller>()) {
        state.demand = admission->localDemand();
    }
    std::set<runner_id> leaving = m_leavingByList;
    leaving.insert(m_leavingByLoad.begin(), m_leavingByLoad.end());
    if (const auto *picker = m_context->services.tryFind<runner_use_exchange>()) {
        for (runner_use use : picker->localUse()) {
            // Only what this VM heard from the platform: passing on what peers say would keep a mark alive in circles.
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

void membership_plugin::takeList(const vm_list_read &read, action_list &actions)
{
    m_hasList = true;
    m_members->setList(read.entries);
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
    markLeaving();
    updateWanted(actions);
}

void membership_plugin::updateWanted(action_list &actions)
{
    const vm_id &self = m_context->node.id;
    std::map<vm_id, peer_connections::endpoint> wanted;
    for (const vm_id &peer : neighbours(self, m_members->listedIds())) {
        wanted[peer] = {m_members->find(peer)->listed->peerAddress, opensConnection(self, peer)};
    }
    m_connections->setWanted(std::move(wanted), actions);
}

void membership_plugin::noteLoad(const runner_load &load)
{
    if (load.state == backend_state::leaving) {
        m_leavingByLoad.insert(load.runner);
    } else {
        m_leavingByLoad.erase(load.runner);
    }
    markLeaving();
}

bool membership_plugin::isMarkedLeaving(const runner_id &runner) const
{
    return m_leavingByList.contains(runner) || m_leavingByLoad.contains(runner)
        || std::any_of(m_leavingByPeer.begin(), m_leavingByPeer.end(), [&runner](const auto &marks) {
               return marks.second.contains(runner);
           });
}

void membership_plugin::markLeaving()
{
    for (vm_entry &entry : m_backendServers) {
        entry.state = isMarkedLeaving(runner_id(entry.id)) ? backend_state::leaving : backend_state::live;
    }
}

void membership_plugin::noteLogRead(const log_records_read &read)
{
    const bool isAtEnd = read.records.empty() || read.records.back().offset + 1 >= read.endOffset;
    if (read.stream == configurationStream && isAtEnd) {
        m_logReadAt = read.queryTime;
    }
}

void membership_plugin::peerConnected(const vm_id &peer, action_list &actions)
{
    m_connections->connected(peer);
    m_connections->sendHeartbeat(peer, confirmedVersion(), m_stopAt.has_value(), actions);
    m_exchange->charge(heartbeatBytes);
    m_exchange->connected(peer, actions);
}

void membership_plugin::takeMessage(const peer_message_received &received, action_list &actions)
{
    const vm_id &peer = received.peer;
    m_connections->messageReceived(peer);
    std::visit(overloaded{[&](const heartbeat &message) {
                              takeHeartbeat(peer, message);
                              fetchConfiguration(peer, message.configurationVersion, actions);
                          },
                          [&](const exchange_digest &digest) {
                              m_exchange->digestReceived(peer, digest, actions);
                              fetchConfiguration(peer, digest.configurationVersion, actions);
                          },
                          [&](const exchange_delta &delta) { takeDelta(peer, delta); },
                          [](const auto &) {}},
               received.message);
}

void membership_plugin::takeHeartbeat(const vm_id &peer, const heartbeat &message)
{
    m_connections->heartbeatReceived(peer, message);
    if (const std::optional<steady_time> sentAfter = m_connections->sentAfter(peer)) {
        m_members->noteAlive(peer, *sentAfter, message.configurationVersion, message.isStopping);
    }
}

void membership_plugin::takeDelta(const vm_id &peer, const exchange_delta &delta)
{
    // Without an echo so far there is no bound on how long the message travelled.
    const std::optional<steady_time> sentAfter = m_connections->sentAfter(peer);
    if (!sentAfter) {
        return;
    }
    for (const member_state &state : delta.states) {
        takeState(peer, state, *sentAfter);
    }
    for (const member_sighting &sighting : delta.sightings) {
        m_members->noteAlive(sighting.id,
                             *sentAfter - std::chrono::milliseconds(sighting.ageMilliseconds),
                             sighting.configurationVersion,
                             sighting.isStopping);
    }
}

void membership_plugin::takeState(const vm_id &peer, const member_state &state, steady_time sentAfter)
{
    m_exchange->noteKnown(peer, state.id, state.incarnation, state.counter);
    const steady_time madeAt = sentAfter - std::chrono::milliseconds(state.ageMilliseconds);
    if (now() - madeAt > oldestState || !m_members->takeState(state, madeAt, peer == state.id)
        || !m_members->isHeard(state.id, now())) {
        return;
    }
    m_passedOn.insert(state.id);
    std::set<runner_id> leaving;
    for (const runner_use &use : state.runners) {
        if (use.isLeaving) {
            leaving.insert(use.runner);
        }
    }
    m_leavingByPeer[state.id] = std::move(leaving);
    markLeaving();
    if (auto *admission = m_context->services.tryFind<admission_controller>()) {
        admission->setRemoteDemand(state.id, state.demand);
    }
    if (auto *picker = m_context->services.tryFind<runner_use_exchange>()) {
        picker->setRemoteUse(state.id, state.runners);
    }
}

void membership_plugin::fetchConfiguration(const vm_id &peer, std::uint64_t version, action_list &actions)
{
    if (version <= ownVersion() || now() < m_nextFetch) {
        return;
    }
    m_nextFetch = now() + fetchInterval;
    actions.push_back(send_to_peer{peer, configuration_fetch{ownVersion()}});
}

void membership_plugin::beginStop(action_list &actions)
{
    if (m_stopAt) {
        return;
    }
    // A caller may have got the old advice from another VM just before that one heard of the stop.
    m_stopAt = now() + std::chrono::seconds(adviceKeepSeconds) + stopAnnouncement;
    m_context->timeline.record(timeline_kind::stopping, {}, "vm=" + m_context->node.id.value());
    sendHeartbeats(actions);
}

entry_advice membership_plugin::advice() const
{
    struct ranked {
        int distance = 0;
        std::uint64_t lot = 0;
        entry_advice::entry entry;
    };
    const node_identity &node = m_context->node;
    std::vector<ranked> found;
    const auto add = [&](entry_advice::entry entry) {
        int distance = 2;
        if (entry.region == node.region) {
            distance = entry.availabilityZone == node.availabilityZone ? 0 : 1;
        }
        // Random within a distance, so that callers spread over the VMs.
        found.push_back({distance, m_context->random.next(), std::move(entry)});
    };
    if (takesRequests() && !m_isSelfLeaving) {
        add({node.id, node.callerAddress, node.availabilityZone, node.region});
    }
    for (const auto &[id, record] : m_members->records()) {
        if (isAdvised(record)) {
            add({id, record.listed->address, record.listed->availabilityZone, record.listed->region});
        }
    }
    std::sort(found.begin(), found.end(), [](const ranked &left, const ranked &right) {
        return std::pair(left.distance, left.lot) < std::pair(right.distance, right.lot);
    });
    entry_advice advice;
    advice.keepSeconds = adviceKeepSeconds;
    for (ranked &each : found) {
        advice.entries.push_back(std::move(each.entry));
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
                     m_stopAt.has_value(),
                     true});
    for (const auto &[id, record] : m_members->records()) {
        if (!record.listed) {
            continue;
        }
        const vm_entry &entry = *record.listed;
        std::optional<duration> age;
        if (record.aliveAt) {
            age = now() - *record.aliveAt;
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
    std::size_t heard = 1;
    for (const auto &[id, record] : m_members->records()) {
        if (!record.listed) {
            continue;
        }
        ++total;
        heard += record.aliveAt && now() - *record.aliveAt <= limit ? 1 : 0;
    }
    return 2 * heard > total;
}

std::vector<vm_id> membership_plugin::connectedPeers() const
{
    std::vector<vm_id> peers = m_connections->connectedPeers();
    const std::string &zone = m_context->node.availabilityZone;
    std::stable_partition(peers.begin(), peers.end(), [&](const vm_id &peer) {
        const member_record *record = m_members->find(peer);
        return record != nullptr && record->listed && record->listed->availabilityZone != zone;
    });
    return peers;
}

void membership_plugin::describe(nlohmann::json &status) const
{
    status["is_stopping"] = m_stopAt.has_value();
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
            const auto held = std::chrono::duration_cast<std::chrono::milliseconds>(now() - record->stateMadeAt);
            entry["log_read_ms"] = record->state.logReadAgeMilliseconds + held.count();
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

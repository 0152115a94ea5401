#include "base/random_source.h"
#include "kernel/kernel.h"
#include "plugins/rollouts/rollout_settings.h"
#include "services/member_view.h"
#include "services/rollout_policy.h"
#include "services/runner_use_exchange.h"
#include "support/action_queries.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <set>

using namespace crocuslane;

namespace {

class silent_timeline : public timeline_recorder
{
public:
    void record(timeline_kind /*kind*/, const request_id & /*request*/, std::string /*detail*/) override
    {
    }
};

class fixed_members : public member_view
{
public:
    std::vector<vm_id> peers;
    std::vector<member_info> all;

    entry_advice advice() const override
    {
        return {};
    }
    std::vector<member_info> members() const override
    {
        return all;
    }
    bool hasContactWithMajority(duration /*limit*/) const override
    {
        return true;
    }
    const std::vector<vm_entry> &backendServers() const override
    {
        return m_backendServers;
    }
    std::vector<vm_id> connectedPeers() const override
    {
        return peers;
    }
    std::optional<steady_time> earliestSendTime(const vm_id & /*peer*/) const override
    {
        return std::nullopt;
    }
    std::optional<std::string> regionOf(const vm_id & /*peer*/) const override
    {
        return std::nullopt;
    }

private:
    std::vector<vm_entry> m_backendServers;
};

/// Uses of runners by this VM, as the plug-in backends reports them.
class fixed_use : public runner_use_exchange
{
public:
    std::vector<runner_use> uses;

    std::vector<runner_use> localUse() const override
    {
        return uses;
    }
    void setRemoteUse(const vm_id & /*vm*/, const std::vector<runner_use> & /*use*/) override
    {
    }
    void removeRemote(const vm_id & /*vm*/) override
    {
    }
};

/// Entry VMs in a ring with connections across it; messages take 50 ms.
class fleet_fixture
{
protected:
    struct vm {
        vm_id id;
        fixed_members members;
        silent_timeline timeline;
        std::unique_ptr<kernel> core;
    };
    struct message {
        std::size_t to = 0;
        peer_message_received content;
    };

    void start(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            auto added = std::make_unique<vm>();
            added->id = vm_id("vm-" + std::to_string(index));
            for (const std::size_t step : {std::size_t{1}, count / 10, count / 3}) {
                added->members.peers.push_back(vm_id("vm-" + std::to_string((index + step) % count)));
                added->members.peers.push_back(vm_id("vm-" + std::to_string((index + count - step) % count)));
            }
            added->members.all.resize(count);
            const node_identity node{added->id, 1, "zone", "region", "10.0.0.1:1", "10.0.0.1:2"};
            added->core = std::make_unique<kernel>(
                kernel::environment{m_clock, m_random, node, shared_secrets{}, added->timeline});
            added->core->services().offer<member_view>(added->members);
            added->core->services().offer(m_settings);
            added->core->addRegistered({"rollouts"});
            added->core->start();
            m_vms.push_back(std::move(added));
        }
    }

    void order()
    {
        for (const auto &each : m_vms) {
            each->core->handle(rollout_ordered{{service_id("model"), "v2", std::chrono::seconds(20), 3}});
        }
    }

    /// Order of @p target at @p position of the log that was restored @p epoch times, read by one VM.
    action_list order(std::size_t vm, log_epoch epoch, std::uint64_t position, const std::string &target = "v2")
    {
        const rollout_order ordered{service_id("model"), target, std::chrono::seconds(20), position, epoch};
        return collected(vm, m_vms[vm]->core->handle(rollout_ordered{ordered}));
    }

    /// The records of the log that was restored @p epoch times, read by one VM.
    action_list records(std::size_t vm, log_epoch epoch, log_offset end, const std::vector<rollout_record> &read = {})
    {
        return collected(vm, m_vms[vm]->core->handle(rollout_records_read{read, end, epoch}));
    }

    static rollout_record recordOf(std::uint64_t orderPosition, rollout_phase phase, const std::string &target = "v2")
    {
        return {service_id("model"), target, orderPosition, phase};
    }

    action_list collected(std::size_t vm, const action_list &actions)
    {
        collect(vm, actions);
        return actions;
    }

    /// Whether the new version is used after enough requests for a canary.
    bool usesNewVersion(std::size_t vm, const std::string &target = "v2")
    {
        for (int request = 0; request < 60; ++request) {
            policy(vm).attemptStarted(service_id("model"), "v1", true);
        }
        return policy(vm).choose(service_id("model"), {}).allows(target);
    }

    /// Sessions that a VM sends to the new version.
    std::set<int> newSessions(std::size_t vm)
    {
        std::set<int> found;
        for (int session = 0; session < 300; ++session) {
            if (policy(vm).rule(service_id("model"), "session " + std::to_string(session)).allows("v2")) {
                found.insert(session);
            }
        }
        return found;
    }

    void observe(std::size_t vm, const std::string &version, int count, bool hasFailed)
    {
        version_observation observation;
        observation.service = service_id("model");
        observation.version = version;
        observation.hasFailed = hasFailed;
        for (int index = 0; index < count; ++index) {
            policy(vm).observe(observation);
        }
    }

    rollout_policy &policy(std::size_t vm)
    {
        return m_vms[vm]->core->services().find<rollout_policy>();
    }

    void run(std::chrono::milliseconds time)
    {
        constexpr std::chrono::milliseconds step{50};
        for (std::chrono::milliseconds passed{0}; passed < time; passed += step) {
            m_clock.advance(step);
            const std::vector<message> arrived = std::move(m_messages);
            m_messages.clear();
            for (const message &each : arrived) {
                collect(each.to, m_vms[each.to]->core->handle(each.content));
            }
            for (std::size_t index = 0; index < m_vms.size(); ++index) {
                collect(index, m_vms[index]->core->handle(timer_expired{}));
            }
        }
    }

    void collect(std::size_t from, const action_list &actions)
    {
        for (const send_to_peer &each : all<send_to_peer>(actions)) {
            const std::size_t to = std::stoul(each.peer.value().substr(3));
            m_messages.push_back({to, {m_vms[from]->id, each.message}});
            ++m_messageCount;
        }
        for (const record_rollout &each : all<record_rollout>(actions)) {
            m_recorded.push_back(each.record.phase);
            m_sent.push_back(each);
        }
    }

    std::size_t vmsWithoutNewVersion()
    {
        std::size_t count = 0;
        for (std::size_t index = 0; index < m_vms.size(); ++index) {
            for (int request = 0; request < 60; ++request) {
                policy(index).attemptStarted(service_id("model"), "v1", true);
            }
            count += policy(index).choose(service_id("model"), {}).allows("v2") ? 0 : 1;
        }
        return count;
    }

    bool isRecorded(rollout_phase phase) const
    {
        return std::find(m_recorded.begin(), m_recorded.end(), phase) != m_recorded.end();
    }

    manual_clock m_clock;
    seeded_random m_random{5};
    rollout_settings m_settings;
    std::vector<std::unique_ptr<vm>> m_vms;
    std::vector<message> m_messages;
    std::vector<rollout_phase> m_recorded;
    std::vector<record_rollout> m_sent;
    std::size_t m_messageCount = 0;
};

} // namespace

// Guards against a bad version that no VM of a large deployment can detect, because each one has seen one answer of it.
TEST_CASE_METHOD(fleet_fixture, "bad version, one failure at each of ten VMs of sixty, is left by all", "[rollouts]")
{
    start(60);
    order();
    for (std::size_t index = 0; index < 60; ++index) {
        observe(index, "v1", 5, false);
    }
    for (std::size_t index = 0; index < 60; index += 6) {
        observe(index, "v2", 1, true);
    }
    CHECK(vmsWithoutNewVersion() == 0);
    run(std::chrono::milliseconds(2000));
    CHECK(vmsWithoutNewVersion() == 60);
    CHECK(isRecorded(rollout_phase::rolled_back));
}

// Guards against messages without end between VMs that already know what the others know.
TEST_CASE_METHOD(fleet_fixture, "evidence, known to all VMs, is not sent again", "[rollouts]")
{
    start(12);
    order();
    observe(0, "v2", 2, false);
    run(std::chrono::milliseconds(3000));
    const std::size_t sent = m_messageCount;
    CHECK(sent > 0);
    run(std::chrono::milliseconds(3000));
    CHECK(m_messageCount == sent);
}

// Guards against evidence of an earlier order, or of a process that has ended, that counts for the current one.
TEST_CASE_METHOD(fleet_fixture, "evidence, of another order or outdated, doesn't count", "[rollouts]")
{
    start(12);
    order();
    observe(0, "v1", 20, false);
    version_evidence entry{vm_id("vm-9"), 1, 40, service_id("model"), 2, {{1, {40, 40, {}}, {}}}};
    m_vms[0]->core->handle(peer_message_received{vm_id("vm-9"), version_evidence_list{{entry}}});
    CHECK(policy(0).choose(service_id("model"), {}).allows("v2"));
    entry.orderPosition = 3;
    entry.routes = {{1, {40, 0, {}}, {}}};
    m_vms[0]->core->handle(peer_message_received{vm_id("vm-9"), version_evidence_list{{entry}}});
    entry.counter = 30;
    entry.routes = {{1, {30, 30, {}}, {}}};
    m_vms[0]->core->handle(peer_message_received{vm_id("vm-9"), version_evidence_list{{entry}}});
    CHECK(policy(0).choose(service_id("model"), {}).allows("v2"));
}

// Guards against failures that are forgotten because the VM that saw them was restarted, with its clock set back.
TEST_CASE_METHOD(fleet_fixture, "evidence, its VM restarted, still counts", "[rollouts]")
{
    start(12);
    order();
    observe(0, "v1", 20, false);
    version_evidence entry{vm_id("vm-9"), 9, 5, service_id("model"), 3, {{1, {5, 2, {}}, {}}}};
    m_vms[0]->core->handle(peer_message_received{vm_id("vm-9"), version_evidence_list{{entry}}});
    entry.incarnation = 4;
    entry.counter = 2;
    m_vms[0]->core->handle(peer_message_received{vm_id("vm-9"), version_evidence_list{{entry}}});
    CHECK_FALSE(policy(0).choose(service_id("model"), {}).allows("v2"));
}

// Guards against a version that was rolled back and gets requests again because the order is read anew.
TEST_CASE_METHOD(fleet_fixture, "order, read again after a restore, keeps its phase", "[rollouts]")
{
    start(1);
    order(0, 0, 30);
    records(0, 0, 50, {recordOf(30, rollout_phase::rolled_back)});
    CHECK_FALSE(usesNewVersion(0));
    const action_list actions = order(0, 1, 12);
    CHECK_FALSE(usesNewVersion(0));
    CHECK(std::string(one<log_decision>(actions).event) == "rollout_continued");
    CHECK(all<log_decision>(order(0, 1, 12)).empty());
    CHECK_FALSE(usesNewVersion(0));
}

// Guards against an order that is forgotten after a restore, because it stands at a lower position than the one before.
TEST_CASE_METHOD(fleet_fixture, "order, new after a restore, is taken at a lower position", "[rollouts]")
{
    start(1);
    order(0, 0, 30);
    records(0, 0, 50, {recordOf(30, rollout_phase::completed)});
    order(0, 1, 12, "v3");
    CHECK(usesNewVersion(0, "v3"));
    CHECK(policy(0).rule(service_id("model"), {}).allows("v2"));
}

// Guards against ignoring an operator who repeats an order in the same epoch of the log.
TEST_CASE_METHOD(fleet_fixture, "order, repeated in one epoch at a higher position, starts anew", "[rollouts]")
{
    start(1);
    order(0, 0, 30);
    order(0, 1, 12);
    records(0, 1, 50, {recordOf(12, rollout_phase::rolled_back)});
    CHECK_FALSE(usesNewVersion(0));
    order(0, 1, 14);
    CHECK(usesNewVersion(0));
    order(0, 1, 12);
    CHECK(usesNewVersion(0));
}

// Guards against a list of an earlier epoch that replaces an order.
TEST_CASE_METHOD(fleet_fixture, "order, of an earlier epoch, is ignored", "[rollouts]")
{
    start(1);
    order(0, 1, 12);
    CHECK(order(0, 0, 30, "v3").empty());
}

// Guards against sessions that change their version because the order stands at another position, also between VMs that
// started before and after the restore.
TEST_CASE_METHOD(fleet_fixture, "sessions, order read again after a restore, keep their versions", "[rollouts]")
{
    start(2);
    order(0, 0, 30);
    order(1, 1, 12);
    run(std::chrono::seconds(11));
    const std::set<int> before = newSessions(0);
    CHECK(!before.empty());
    order(0, 1, 12);
    CHECK(newSessions(0) == before);
    CHECK(newSessions(1) == before);
}

// Guards against a roll-out without a record: the phase that the restored log lacks is missing for operators and for
// VMs that start later.
TEST_CASE_METHOD(fleet_fixture, "record, lost in a restore, is appended again for the new position", "[rollouts]")
{
    const auto phase =
        GENERATE(rollout_phase::canary, rollout_phase::cutover, rollout_phase::completed, rollout_phase::rolled_back);
    start(1);
    order(0, 0, 30);
    records(0, 0, 50, {recordOf(30, phase)});
    run(std::chrono::seconds(1));
    CHECK(m_sent.empty());
    order(0, 1, 12);
    run(std::chrono::seconds(2));
    CHECK(m_sent.empty());
    records(0, 1, 20);
    run(std::chrono::seconds(1));
    REQUIRE(!m_sent.empty());
    CHECK(m_sent[0].record.orderPosition == 12);
    CHECK(m_sent[0].record.phase == phase);
    CHECK(m_sent[0].expectedEnd == 20);
    records(0, 1, 21, {recordOf(12, phase)});
    const std::size_t sent = m_sent.size();
    run(std::chrono::seconds(3));
    CHECK(m_sent.size() == sent);
}

// Guards against an append of each VM at the moment at which all have read the restored log.
TEST_CASE_METHOD(fleet_fixture, "record, lost in a restore, is appended by few of the VMs", "[rollouts]")
{
    start(24);
    for (std::size_t vm = 0; vm < 24; ++vm) {
        order(vm, 0, 30);
        records(vm, 0, 50, {recordOf(30, rollout_phase::rolled_back)});
    }
    run(std::chrono::seconds(2));
    for (std::size_t vm = 0; vm < 24; ++vm) {
        order(vm, 1, 12);
    }
    run(std::chrono::seconds(2));
    for (std::size_t vm = 0; vm < 24; ++vm) {
        records(vm, 1, 20);
    }
    while (m_sent.empty()) {
        run(std::chrono::milliseconds(50));
    }
    for (std::size_t vm = 0; vm < 24; ++vm) {
        records(vm, 1, 21, {recordOf(12, rollout_phase::rolled_back)});
    }
    run(std::chrono::seconds(3));
    CHECK(m_sent.size() <= 8);
}

// Guards against records of the earlier log's end: such an append is refused, or replaces another VM's record.
TEST_CASE_METHOD(fleet_fixture, "record, order not yet read in the new epoch, is not appended", "[rollouts]")
{
    start(1);
    order(0, 0, 30);
    records(0, 0, 50);
    records(0, 1, 20);
    run(std::chrono::seconds(2));
    CHECK(m_sent.empty());
    order(0, 1, 12);
    run(std::chrono::seconds(1));
    REQUIRE(!m_sent.empty());
    CHECK(m_sent[0].expectedEnd == 20);
}

// Guards against a VM that goes back to an earlier phase, and against appends without need.
TEST_CASE_METHOD(fleet_fixture, "phase, restored log has an earlier one, is kept and appended again", "[rollouts]")
{
    start(1);
    order(0, 0, 30);
    records(0, 0, 50, {recordOf(30, rollout_phase::completed)});
    records(0, 1, 20, {recordOf(30, rollout_phase::cutover)});
    order(0, 1, 30);
    CHECK_FALSE(policy(0).rule(service_id("model"), {}).allows("v1"));
    run(std::chrono::seconds(1));
    REQUIRE(!m_sent.empty());
    CHECK(m_sent[0].record.phase == rollout_phase::completed);
}

// Guards against two VMs that replace each other's final records without end.
TEST_CASE_METHOD(fleet_fixture, "final phase, restored log has another one, is not appended again", "[rollouts]")
{
    start(1);
    order(0, 0, 30);
    records(0, 0, 50, {recordOf(30, rollout_phase::rolled_back)});
    order(0, 1, 12);
    records(0, 1, 20, {recordOf(12, rollout_phase::completed)});
    run(std::chrono::seconds(3));
    CHECK(m_sent.empty());
}

// Guards against records of another epoch, another order or another target that count for the order.
TEST_CASE_METHOD(fleet_fixture, "record, of another epoch or order, doesn't count", "[rollouts]")
{
    start(1);
    order(0, 1, 12);
    records(0, 0, 50, {recordOf(12, rollout_phase::rolled_back)});
    CHECK(usesNewVersion(0));
    records(0, 1, 20, {recordOf(12, rollout_phase::rolled_back, "v7"), recordOf(11, rollout_phase::rolled_back)});
    CHECK(usesNewVersion(0));
    order(0, 2, 12, "v3");
    records(0, 3, 20, {recordOf(14, rollout_phase::completed, "v3")});
    CHECK(policy(0).rule(service_id("model"), {}).allows("v1"));
    order(0, 3, 14, "v3");
    CHECK_FALSE(policy(0).rule(service_id("model"), {}).allows("v1"));
}

// Guards against an append that is tried again for ever at the position that was refused.
TEST_CASE_METHOD(fleet_fixture, "record, refused, is appended at the newest end that was read", "[rollouts]")
{
    start(1);
    order(0, 0, 30);
    records(0, 0, 5);
    run(std::chrono::seconds(1));
    REQUIRE(!m_sent.empty());
    CHECK(m_sent.back().expectedEnd == 5);
    collect(0, m_vms[0]->core->handle(rollout_record_refused{m_sent.back().record}));
    records(0, 0, 9);
    const std::size_t sent = m_sent.size();
    run(std::chrono::seconds(1));
    REQUIRE(m_sent.size() > sent);
    CHECK(m_sent[sent].expectedEnd == 9);
}

// Guards against failures that are forgotten because VMs notice a restore at different times.
TEST_CASE_METHOD(fleet_fixture, "evidence, VMs in different epochs, counts once both have read the order", "[rollouts]")
{
    start(12);
    for (std::size_t vm = 0; vm < 12; ++vm) {
        order(vm, 0, 30);
        observe(vm, "v1", 5, false);
    }
    order(0, 1, 12);
    observe(0, "v2", 2, true);
    observe(1, "v2", 2, true);
    run(std::chrono::seconds(2));
    CHECK_FALSE(usesNewVersion(0));
    for (std::size_t vm = 1; vm < 12; ++vm) {
        order(vm, 1, 12);
    }
    run(std::chrono::seconds(2));
    CHECK(vmsWithoutNewVersion() == 12);
}

// Guards against evidence that is lost because one VM has read two restores and another one has read none.
TEST_CASE_METHOD(fleet_fixture, "evidence, VMs two epochs apart, counts", "[rollouts]")
{
    start(12);
    order(0, 0, 30);
    observe(0, "v1", 20, false);
    order(0, 1, 12);
    order(0, 2, 11);
    const version_evidence entry{vm_id("vm-9"), 1, 4, service_id("model"), 30, {{1, {4, 4, {}}, {}}}};
    m_vms[0]->core->handle(peer_message_received{vm_id("vm-9"), version_evidence_list{{entry}}});
    CHECK_FALSE(usesNewVersion(0));
}

// Guards against a VM that starts after a restore and sends requests to a version that the others know to be bad.
TEST_CASE_METHOD(fleet_fixture, "evidence, VM knows the order of the new epoch only, counts", "[rollouts]")
{
    start(12);
    for (std::size_t vm = 0; vm < 11; ++vm) {
        order(vm, 0, 30);
        observe(vm, "v1", 5, false);
    }
    observe(0, "v2", 4, true);
    run(std::chrono::seconds(2));
    for (std::size_t vm = 0; vm < 12; ++vm) {
        order(vm, 1, 12);
    }
    CHECK(usesNewVersion(11));
    run(std::chrono::seconds(2));
    CHECK_FALSE(usesNewVersion(11));
}

// Guards against evidence that is lost because the position of a new order is lower than that of the order before.
TEST_CASE_METHOD(fleet_fixture, "evidence, new order at a lower position, is exchanged", "[rollouts]")
{
    start(12);
    for (std::size_t vm = 0; vm < 12; ++vm) {
        order(vm, 0, 30);
    }
    observe(0, "v2", 2, false);
    run(std::chrono::seconds(1));
    for (std::size_t vm = 0; vm < 12; ++vm) {
        order(vm, 1, 12, "v3");
        observe(vm, "v1", 5, false);
    }
    for (std::size_t vm = 0; vm < 3; ++vm) {
        observe(vm, "v3", 1, true);
    }
    run(std::chrono::seconds(2));
    for (std::size_t vm = 0; vm < 12; ++vm) {
        CHECK_FALSE(usesNewVersion(vm, "v3"));
    }
}

// Guards against evidence of a bad version that clears or condemns the next order, and against messages without end.
TEST_CASE_METHOD(fleet_fixture, "evidence, of the order before the restore, doesn't count for a new one", "[rollouts]")
{
    start(12);
    for (std::size_t vm = 0; vm < 12; ++vm) {
        order(vm, 0, 30);
        observe(vm, "v1", 5, false);
    }
    observe(0, "v2", 4, true);
    run(std::chrono::seconds(1));
    for (std::size_t vm = 0; vm < 12; ++vm) {
        order(vm, 1, 30, "v3");
    }
    run(std::chrono::seconds(2));
    for (std::size_t vm = 0; vm < 12; ++vm) {
        CHECK(usesNewVersion(vm, "v3"));
    }
    const std::size_t sent = m_messageCount;
    run(std::chrono::seconds(3));
    CHECK(m_messageCount == sent);
}

// Guards against going back to the order before the current one, which the older copy of the log has as the newest.
TEST_CASE_METHOD(fleet_fixture, "order, restored log has the one before it, is kept", "[rollouts]")
{
    start(1);
    order(0, 0, 10);
    order(0, 0, 30, "v3");
    records(0, 0, 50, {recordOf(30, rollout_phase::rolled_back, "v3")});
    CHECK(order(0, 1, 10).empty());
    CHECK_FALSE(usesNewVersion(0, "v3"));
    CHECK_FALSE(all<log_decision>(order(0, 1, 12, "v3")).empty());
    CHECK_FALSE(usesNewVersion(0, "v3"));
    order(0, 1, 14);
    CHECK(usesNewVersion(0, "v2"));
}

// Guards against a version that was rolled back and gets requests again, after this VM has read an earlier order that
// it had not known.
TEST_CASE_METHOD(fleet_fixture, "order, read again after another one, keeps its phase", "[rollouts]")
{
    start(1);
    order(0, 0, 30, "v3");
    records(0, 0, 50, {recordOf(30, rollout_phase::rolled_back, "v3")});
    order(0, 1, 10);
    records(0, 1, 20);
    CHECK(usesNewVersion(0, "v2"));
    order(0, 1, 12, "v3");
    CHECK_FALSE(usesNewVersion(0, "v3"));
    m_sent.clear();
    run(std::chrono::seconds(1));
    REQUIRE(!m_sent.empty());
    CHECK(m_sent[0].record.target == "v3");
    CHECK(m_sent[0].record.phase == rollout_phase::rolled_back);
    CHECK(m_sent[0].record.orderPosition == 12);
    order(0, 1, 15, "v3");
    CHECK(usesNewVersion(0, "v3"));
}

// Guards against a repeated order that starts anew, because the older copy of the log has its first issue.
TEST_CASE_METHOD(fleet_fixture, "order, restored log has an earlier issue of it, is kept", "[rollouts]")
{
    start(1);
    order(0, 0, 10);
    order(0, 0, 30);
    records(0, 0, 50, {recordOf(30, rollout_phase::rolled_back)});
    CHECK(order(0, 1, 10).empty());
    order(0, 1, 12);
    CHECK_FALSE(usesNewVersion(0));
}

// Guards against a completion, at which the old runners stop, while a request is at a runner that the older copy of the
// log lacks or whose entry has expired.
TEST_CASE_METHOD(fleet_fixture, "completion, busy old runner is missing in the list, waits", "[rollouts]")
{
    start(1);
    fixed_use use;
    use.uses = {{runner_id("old"), 1, false}, {runner_id("new"), 0, false}};
    m_vms[0]->core->services().offer<runner_use_exchange>(use);
    backend_entry oldRunner;
    oldRunner.id = runner_id("old");
    oldRunner.service = service_id("model");
    oldRunner.version = "v1";
    backend_entry newRunner = oldRunner;
    newRunner.id = runner_id("new");
    newRunner.version = "v2";
    order(0, 0, 30);
    m_vms[0]->core->handle(backend_list_read{{oldRunner, newRunner}});
    run(std::chrono::milliseconds(11'500));
    records(0, 0, 50, {recordOf(30, rollout_phase::cutover)});
    observe(0, "v2", 12, false);
    m_vms[0]->core->handle(backend_list_read{{newRunner}});
    m_vms[0]->core->handle(backend_list_read{{newRunner}});
    m_recorded.clear();
    run(std::chrono::milliseconds(3500));
    CHECK_FALSE(isRecorded(rollout_phase::completed));
    use.uses = {{runner_id("new"), 0, false}};
    run(std::chrono::milliseconds(1000));
    CHECK(isRecorded(rollout_phase::completed));
}

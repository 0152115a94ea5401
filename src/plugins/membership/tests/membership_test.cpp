#include "kernel/kernel.h"
#include "plugins/membership/member_table.h"
#include "services/admission_controller.h"
#include "services/member_view.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <deque>
#include <set>

using namespace crocuslane;
using namespace std::chrono_literals;

namespace {

class null_timeline : public timeline_recorder
{
public:
    void record(timeline_kind /*kind*/, const request_id & /*request*/, std::string /*detail*/) override
    {
    }
};

/// Replaces the plug-in admission: reports a fixed demand and stores the demand received from other VMs.
class fake_admission : public plugin, public admission_controller
{
public:
    std::string_view name() const override
    {
        return "admission";
    }

    void initialize(plugin_context &context) override
    {
        context.services.offer<admission_controller>(*this);
    }

    void handle(const event & /*event*/, action_list & /*actions*/) override
    {
    }

    std::variant<admission_grant, request_error>
    admit(const request_id &, const caller &, const service_id &, std::uint64_t) override
    {
        return admission_grant{};
    }

    void release(const request_id & /*request*/) override
    {
    }

    void noteQueued(const request_id & /*request*/) override
    {
    }

    std::vector<group_demand> localDemand() const override
    {
        return {{caller_group_id("north/desk"), rate, 0, 0, 0, 0}};
    }

    void setRemoteDemand(const vm_id &vm, const std::vector<group_demand> &demand) override
    {
        remoteRates[vm] = demand.empty() ? 0.0 : demand[0].arrivalRate;
    }

    void removeRemote(const vm_id &vm) override
    {
        remoteRates.erase(vm);
    }

    double rate = 1.0;
    std::map<vm_id, double> remoteRates;
};

/// Entry VMs with their kernels, and a simulated network in which tests can cut, silence and delay connections.
class membership_fixture
{
protected:
    struct vm {
        seeded_random random{0};
        null_timeline timeline;
        std::unique_ptr<kernel> core;
        fake_admission *admission = nullptr;
        const member_view *view = nullptr;
    };

    struct packet {
        steady_time at;
        vm_id from;
        vm_id to;
        peer_message message;
    };

    using pair = std::pair<vm_id, vm_id>;

    static vm_id id(int index)
    {
        return vm_id("entry-" + std::to_string(index));
    }

    static pair pairOf(const vm_id &first, const vm_id &second)
    {
        return first < second ? pair(first, second) : pair(second, first);
    }

    void startVms(int count)
    {
        for (int index = 0; index < count; ++index) {
            vm_entry entry;
            entry.id = id(index).value();
            entry.address = "10.0.0." + std::to_string(index) + ":80";
            entry.peerAddress = "10.0.0." + std::to_string(index) + ":90";
            entry.availabilityZone = index % 2 == 0 ? "a" : "b";
            entry.region = "r";
            m_vmList.push_back(entry);
        }
        for (const vm_entry &entry : m_vmList) {
            startVm(entry);
        }
        for (const vm_entry &entry : m_vmList) {
            deliver(vm_id(entry.id), vm_list_read{m_vmList});
        }
    }

    void startVm(const vm_entry &entry)
    {
        vm &started = m_vms[vm_id(entry.id)];
        started.random = seeded_random(std::hash<std::string>{}(entry.id));
        const node_identity node{
            vm_id(entry.id), ++m_incarnation, entry.availabilityZone, entry.region, entry.address, entry.peerAddress};
        started.core =
            std::make_unique<kernel>(kernel::environment{m_clock, started.random, node, {}, started.timeline});
        started.core->add(makePlugin("membership"));
        auto admission = std::make_unique<fake_admission>();
        started.admission = admission.get();
        started.core->add(std::move(admission));
        started.core->start();
        started.view = &started.core->services().find<member_view>();
    }

    void deliver(const vm_id &to, const event &event)
    {
        const auto found = m_vms.find(to);
        if (found != m_vms.end()) {
            execute(to, found->second.core->handle(event));
        }
    }

    void execute(const vm_id &from, const action_list &actions)
    {
        for (const action &each : actions) {
            if (const auto *connect = std::get_if<connect_peer>(&each)) {
                m_pendingConnects.push_back({m_clock.steadyNow() + 1ms, from, connect->peer, {}});
            } else if (const auto *disconnect = std::get_if<disconnect_peer>(&each)) {
                // The other side of a silent connection does not notice that it is closed.
                m_openConnections.erase(pairOf(from, disconnect->peer));
                ++m_closedCount;
            } else if (const auto *send = std::get_if<send_to_peer>(&each)) {
                m_packets.push_back({m_clock.steadyNow() + m_networkDelay, from, send->peer, send->message});
            }
        }
    }

    void run(duration time)
    {
        const steady_time end = m_clock.steadyNow() + time;
        while (m_clock.steadyNow() < end) {
            m_clock.advance(10ms);
            completeDueConnects();
            deliverDuePackets();
            for (auto &[vmId, vm] : m_vms) {
                if (!m_pausedVms.contains(vmId) && m_clock.steadyNow() >= vm.core->nextDeadline()) {
                    deliver(vmId, timer_expired{});
                }
            }
        }
    }

    void completeDueConnects()
    {
        std::vector<packet> due;
        due.swap(m_pendingConnects);
        for (const packet &connect : due) {
            // A paused process does not answer the hello message.
            if (!m_vms.contains(connect.to) || m_pausedVms.contains(connect.to)
                || m_cutConnections.contains(pairOf(connect.from, connect.to))) {
                deliver(connect.from, peer_disconnected{connect.to});
                continue;
            }
            m_openConnections.insert(pairOf(connect.from, connect.to));
            m_silentConnections.erase(pairOf(connect.from, connect.to));
            deliver(connect.from, peer_connected{connect.to});
            deliver(connect.to, peer_connected{connect.from});
        }
    }

    void deliverDuePackets()
    {
        std::deque<packet> waiting;
        waiting.swap(m_packets);
        for (packet &each : waiting) {
            const pair between = pairOf(each.from, each.to);
            if (each.at > m_clock.steadyNow() || m_pausedVms.contains(each.to)) {
                m_packets.push_back(std::move(each));
            } else if (m_openConnections.contains(between) && !m_silentConnections.contains(between)
                       && !m_cutConnections.contains(between)) {
                deliver(each.to, peer_message_received{each.from, std::move(each.message)});
            }
        }
    }

    void isolate(const vm_id &from)
    {
        for (const auto &[vmId, vm] : m_vms) {
            if (vmId != from) {
                m_cutConnections.insert(pairOf(from, vmId));
            }
        }
    }

    static std::set<std::string> advisedIds(const member_view &view)
    {
        std::set<std::string> ids;
        for (const entry_advice::entry &entry : view.advice().entries) {
            ids.insert(entry.id.value());
        }
        return ids;
    }

    manual_clock m_clock;
    std::vector<vm_entry> m_vmList;
    std::map<vm_id, vm> m_vms;
    std::vector<packet> m_pendingConnects;
    std::deque<packet> m_packets;
    std::set<pair> m_openConnections;
    std::set<pair> m_silentConnections;
    std::set<pair> m_cutConnections;
    std::set<vm_id> m_pausedVms;
    duration m_networkDelay = 1ms;
    std::uint64_t m_incarnation = 0;
    int m_closedCount = 0;
};

} // namespace

// Guards against VMs that never connect with each other, and against demand that does not reach all VMs.
TEST_CASE_METHOD(membership_fixture, "membership, six VMs started, connect and exchange demand", "[membership]")
{
    startVms(6);
    m_vms[id(2)].admission->rate = 7.0;
    run(5s);
    for (const auto &[vmId, vm] : m_vms) {
        CHECK(vm.view->connectedPeers().size() == 5);
        CHECK(vm.view->hasContactWithMajority(2s));
        CHECK(vm.view->advice().entries.size() == 6);
        CHECK(vm.view->advice().entries[0].availabilityZone == vm.view->members()[0].availabilityZone);
        CHECK(vm.admission->remoteRates.size() == 5);
        CHECK((vmId == id(2) || vm.admission->remoteRates.at(id(2)) == 7.0));
    }
    CHECK(m_closedCount == 0);
}

// Guards against a connection that no longer delivers messages, for example after a device on the path lost its state.
// TCP would keep it open for minutes.
TEST_CASE_METHOD(membership_fixture, "membership, connection silent, is closed and reopened", "[membership]")
{
    startVms(3);
    run(3s);
    m_silentConnections = m_openConnections;
    run(2s);
    CHECK(m_closedCount > 0);
    run(2s);
    for (const auto &[vmId, vm] : m_vms) {
        CHECK(vm.view->hasContactWithMajority(2s));
        CHECK(vm.view->connectedPeers().size() == 2);
    }
}

// Guards against advice that sends callers to a failed VM, and against demand of that VM that keeps its share of the
// quota forever.
TEST_CASE_METHOD(membership_fixture,
                 "membership, one VM isolated, times out at the others and has no majority",
                 "[membership]")
{
    startVms(6);
    run(3s);
    isolate(id(5));
    run(6s);
    CHECK_FALSE(m_vms[id(5)].view->hasContactWithMajority(6s));
    CHECK(advisedIds(*m_vms[id(5)].view) == std::set<std::string>{"entry-5"});
    CHECK(m_vms[id(5)].admission->remoteRates.empty());
    for (int index = 0; index < 5; ++index) {
        CHECK_FALSE(advisedIds(*m_vms[id(index)].view).contains("entry-5"));
        CHECK(m_vms[id(index)].admission->remoteRates.size() == 4);
        CHECK(m_vms[id(index)].view->hasContactWithMajority(6s));
    }
    m_cutConnections.clear();
    run(3s);
    CHECK(advisedIds(*m_vms[id(0)].view).contains("entry-5"));
    CHECK(m_vms[id(5)].view->hasContactWithMajority(2s));
}

// Guards against two VMs that treat each other as failed because they have no connection to each other, although both
// are connected with the other VMs.
TEST_CASE_METHOD(membership_fixture,
                 "membership, one pair not connected, stays alive through relayed states",
                 "[membership]")
{
    startVms(6);
    m_cutConnections.insert(pairOf(id(0), id(1)));
    run(4s);
    for (int step = 0; step < 20; ++step) {
        run(500ms);
        CHECK(advisedIds(*m_vms[id(0)].view).contains("entry-1"));
        CHECK(m_vms[id(1)].admission->remoteRates.contains(id(0)));
    }
}

// Guards against treating a message that the network delayed as a sign of life at its arrival: a VM could then serve a
// withdrawn version for longer than the freshness limit.
TEST_CASE_METHOD(membership_fixture, "membership, messages delayed, contact age counts from sending", "[membership]")
{
    startVms(3);
    run(3s);
    m_networkDelay = 1500ms;
    run(10s);
    for (const member_info &member : m_vms[id(0)].view->members()) {
        if (!member.isSelf && member.lastContactAge) {
            CHECK(*member.lastContactAge >= 1500ms);
        }
    }
}

// Guards against a VM that resumes from a pause and treats its information from before the pause as fresh.
TEST_CASE_METHOD(membership_fixture, "membership, process paused, is stale when it resumes", "[membership]")
{
    startVms(3);
    run(3s);
    m_pausedVms.insert(id(0));
    run(20s);
    CHECK_FALSE(m_vms[id(0)].view->hasContactWithMajority(6s));
    m_pausedVms.clear();
    // Heartbeats received during the pause echo only heartbeats that this VM sent before it.
    deliverDuePackets();
    CHECK_FALSE(m_vms[id(0)].view->hasContactWithMajority(6s));
    run(4s);
    CHECK(m_vms[id(0)].view->hasContactWithMajority(6s));
}

// Guards against too many connections, and against VMs that receive no signs of life, when there are too many VMs for a
// full mesh.
TEST_CASE_METHOD(membership_fixture,
                 "membership, forty VMs, keep contact with a majority over a few connections",
                 "[membership]")
{
    startVms(40);
    run(8s);
    for (const auto &[vmId, vm] : m_vms) {
        CHECK(vm.view->connectedPeers().size() <= 12);
        CHECK(vm.view->hasContactWithMajority(6s));
    }
}

// Guards against a planned stop that fails requests of callers that still use the old advice.
TEST_CASE_METHOD(membership_fixture,
                 "membership, stop requested, leaves the advice and waits until old advice expires",
                 "[membership]")
{
    startVms(3);
    run(3s);
    deliver(id(0), stop_requested{});
    CHECK_FALSE(m_vms[id(0)].core->isIdle());
    run(1s);
    for (const auto &[vmId, vm] : m_vms) {
        CHECK_FALSE(advisedIds(*vm.view).contains("entry-0"));
    }
    CHECK_FALSE(m_vms[id(0)].core->isIdle());
    run(7s);
    CHECK(m_vms[id(0)].core->isIdle());
}

// Guards against new requests to a runner that is leaving while the VM list still shows it as live.
TEST_CASE_METHOD(membership_fixture,
                 "membership, runner leaving, is marked by the first source that reports it",
                 "[membership]")
{
    startVms(2);
    vm_entry runner;
    runner.id = "runner-1";
    runner.role = vm_role::model;
    m_vmList.push_back(runner);
    for (int index = 0; index < 2; ++index) {
        deliver(id(index), vm_list_read{m_vmList});
    }
    run(2s);
    runner_load load;
    load.runner = runner_id("runner-1");
    load.state = backend_state::leaving;
    deliver(id(0), runner_load_reported{load});
    CHECK(m_vms[id(0)].view->backendServers()[0].state == backend_state::leaving);
    run(2s);
    CHECK(m_vms[id(1)].view->backendServers()[0].state == backend_state::leaving);

    // A restarted runner is live again at all VMs: no VM keeps the mark because another VM still has it.
    load.state = backend_state::live;
    deliver(id(0), runner_load_reported{load});
    run(2s);
    CHECK(m_vms[id(0)].view->backendServers()[0].state == backend_state::live);
    CHECK(m_vms[id(1)].view->backendServers()[0].state == backend_state::live);
}

// Guards against late messages of an earlier process that override those of its successor.
TEST_CASE("member table, states of two incarnations, keeps the later one", "[membership]")
{
    const steady_time now = manual_clock().steadyNow();
    member_table table(vm_id("self"), now);
    CHECK(table.updateState({vm_id("peer"), 5, 100, 1, 0, false, {}, {}, 0}, now, false));
    CHECK(table.updateState({vm_id("peer"), 6, 1, 1, 0, false, {}, {}, 0}, now, false));
    CHECK_FALSE(table.updateState({vm_id("peer"), 5, 101, 1, 0, false, {}, {}, 0}, now, false));
    CHECK_FALSE(table.updateState({vm_id("peer"), 6, 1, 1, 0, false, {}, {}, 0}, now, false));
    CHECK_FALSE(table.updateState({vm_id("self"), 9, 1, 1, 0, false, {}, {}, 0}, now, false));
}

// Guards against a restarted VM that still counts with the version that it confirmed before its restart: a majority of
// such VMs served a version that had been replaced.
TEST_CASE("member table, VM restarted, counts with what it reports now", "[membership]")
{
    const steady_time now = manual_clock().steadyNow();
    member_table table(vm_id("self"), now);
    table.recordAlive(vm_id("peer"), now, 5, false);
    table.recordAlive(vm_id("peer"), now + 1s, 0, false);
    CHECK(table.find(vm_id("peer"))->configurationVersion == 0);
    // A sign of life from before the start of this process is ignored.
    table.recordAlive(vm_id("other"), now - 1s, 5, false);
    CHECK(table.find(vm_id("other")) == nullptr);
    CHECK_FALSE(table.updateState({vm_id("other"), 5, 100, 1, 0, false, {}, {}, 0}, now - 1s, false));
    // An older sign of life that arrives late changes nothing.
    table.recordAlive(vm_id("peer"), now, 5, false);
    CHECK(table.find(vm_id("peer"))->configurationVersion == 0);
}

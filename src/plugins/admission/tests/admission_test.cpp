#include "kernel/kernel.h"
#include "plugins/admission/fair_order.h"
#include "plugins/admission/limit_share.h"
#include "services/admission_controller.h"
#include "services/member_view.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

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

/// Replaces the membership plug-in and reports a fixed number of entry VMs.
class fake_members : public plugin, public member_view
{
public:
    explicit fake_members(std::size_t count)
        : m_count(count)
    {
    }

    std::string_view name() const override
    {
        return "membership";
    }

    void initialize(plugin_context &context) override
    {
        context.services.offer<member_view>(*this);
    }

    void handle(const event & /*event*/, action_list & /*actions*/) override
    {
    }

    entry_advice advice() const override
    {
        return {};
    }

    std::vector<member_info> members() const override
    {
        return std::vector<member_info>(m_count);
    }

    bool hasContactWithMajority(duration /*limit*/) const override
    {
        return true;
    }

    const std::vector<vm_entry> &backendServers() const override
    {
        return m_none;
    }

    std::optional<std::string> regionOf(const vm_id & /*peer*/) const override
    {
        return std::nullopt;
    }

    std::optional<steady_time> earliestSendTime(const vm_id & /*peer*/) const override
    {
        return std::nullopt;
    }

    std::vector<vm_id> connectedPeers() const override
    {
        return {};
    }

private:
    std::size_t m_count;
    std::vector<vm_entry> m_none;
};

/// Several entry VMs that exchange their demand every 500 ms, except those that are cut off.
class admission_fixture
{
protected:
    struct vm {
        seeded_random random{1};
        null_timeline timeline;
        std::unique_ptr<kernel> core;
        admission_controller *admission = nullptr;
        bool isCutOff = false;
        std::uint64_t within = 0;
        std::uint64_t excess = 0;
        std::uint64_t refused = 0;
    };

    void startVms(std::size_t count)
    {
        auto settings = std::make_shared<configuration>();
        for (const char *name : {"north/desk", "south/desk"}) {
            caller_group_settings group;
            group.id = caller_group_id(name);
            group.organisation = organisation_id(std::string(name).substr(0, 5));
            group.requestsPerSecond = 60.0;
            group.tokensInFlight = 6000;
            settings->callerGroups[group.id] = group;
        }
        m_vms = std::vector<vm>(count);
        for (vm &each : m_vms) {
            each.core = std::make_unique<kernel>(kernel::environment{m_clock, each.random, {}, {}, each.timeline});
            each.core->add(makePlugin("admission"));
            each.core->add(std::make_unique<fake_members>(count));
            each.core->start();
            each.core->handle(configuration_changed{settings, 1});
            each.admission = &each.core->services().find<admission_controller>();
        }
    }

    admission_tier admit(vm &at, const std::string &group, std::uint64_t tokens, bool isKept)
    {
        const request_id request("r" + std::to_string(++m_requests));
        const auto result = at.admission->admit(request, {{}, caller_group_id(group)}, service_id("s"), tokens);
        const auto *grant = std::get_if<admission_grant>(&result);
        if (grant == nullptr) {
            ++at.refused;
            return admission_tier::excess;
        }
        ++(grant->tier == admission_tier::within_bound ? at.within : at.excess);
        if (!isKept) {
            at.admission->release(request);
        }
        return grant->tier;
    }

    void exchange()
    {
        for (std::size_t from = 0; from < m_vms.size(); ++from) {
            for (std::size_t to = 0; to < m_vms.size(); ++to) {
                if (from != to && !m_vms[from].isCutOff && !m_vms[to].isCutOff) {
                    m_vms[to].admission->setRemoteDemand(vm_id(std::to_string(from)),
                                                         m_vms[from].admission->localDemand());
                }
            }
        }
    }

    /// Offers evenly spaced requests of one group, @p perSecond at each VM.
    void offer(duration time, const std::vector<double> &perSecond)
    {
        constexpr auto step = 10ms;
        std::vector<double> due(m_vms.size(), 0.0);
        for (duration passed{}; passed < time; passed += step) {
            m_clock.advance(step);
            for (std::size_t index = 0; index < m_vms.size(); ++index) {
                for (due[index] += perSecond[index] * toSeconds(step); due[index] >= 1.0; due[index] -= 1.0) {
                    admit(m_vms[index], "north/desk", 10, false);
                }
            }
            if (m_clock.steadyNow() >= m_nextExchange) {
                m_nextExchange = m_clock.steadyNow() + 500ms;
                exchange();
            }
        }
    }

    std::uint64_t takeWithin()
    {
        std::uint64_t sum = 0;
        for (vm &each : m_vms) {
            sum += std::exchange(each.within, 0);
        }
        return sum;
    }

    manual_clock m_clock;
    std::vector<vm> m_vms;
    steady_time m_nextExchange;
    int m_requests = 0;
};

} // namespace

// Guards against a limit that is applied per VM instead of over all VMs, and against shares of idle VMs that are
// wasted.
TEST_CASE_METHOD(admission_fixture,
                 "admission, uneven demand beyond the limit, admits the limit over all VMs",
                 "[admission]")
{
    startVms(6);
    offer(6s, {300, 60, 0, 0, 0, 0});
    takeWithin();
    offer(10s, {300, 60, 0, 0, 0, 0});
    const std::uint64_t within = takeWithin();
    CHECK(within <= 600 + 30);
    CHECK(within >= 600 * 9 / 10);
}

// Guards against VMs that each admit the whole limit during a surge, before they have received each other's demand.
TEST_CASE_METHOD(admission_fixture, "admission, demand rises at once, stays near the limit", "[admission]")
{
    startVms(6);
    offer(6s, {10, 0, 0, 0, 0, 0});
    takeWithin();
    offer(2s, {100, 100, 100, 100, 100, 100});
    // The limit, the bursts of all buckets, and the requests of one exchange interval.
    CHECK(takeWithin() <= 120 + 30 + 30);
}

// Guards against a VM without connection that keeps using its last share, or that stops serving a group altogether.
TEST_CASE_METHOD(admission_fixture, "admission, one VM cut off, falls back to its even share", "[admission]")
{
    startVms(6);
    offer(6s, {100, 20, 20, 20, 20, 20});
    m_vms[0].isCutOff = true;
    takeWithin();
    offer(8s, {100, 20, 20, 20, 20, 20});
    CHECK(takeWithin() <= 480 + 30 + 30);
    offer(10s, {100, 20, 20, 20, 20, 20});
    CHECK(m_vms[0].within >= 90);
    CHECK(takeWithin() <= 600 + 30);
}

// Guards against excess requests that are refused while capacity is idle, that take the last free slots from requests
// within their limit, or that are admitted when there are no free slots and then wait without end.
TEST_CASE_METHOD(admission_fixture, "admission, excess, is admitted as far as capacity is idle", "[admission]")
{
    startVms(2);
    offer(6s, {200, 0});
    vm_entry runner;
    runner.id = "runner";
    runner.role = vm_role::model;
    runner.service = service_id("s");
    m_vms[0].core->handle(vm_list_read{{runner}});
    runner_load load;
    load.runner = runner_id("runner");
    load.slots = 100;
    load.slotsUsed = 40;
    m_vms[0].core->handle(runner_load_reported{load});
    m_vms[0].excess = 0;
    m_vms[0].refused = 0;
    for (int index = 0; index < 300; ++index) {
        admit(m_vms[0], "north/desk", 10, true);
    }
    // 30 of the 100 slots are kept free, and half of the remaining 30 idle slots are for the other VM.
    CHECK(m_vms[0].excess == 15);
    CHECK(m_vms[0].refused > 0);

    load.slotsUsed = 95;
    m_vms[0].core->handle(runner_load_reported{load});
    m_clock.advance(2s);
    m_vms[0].excess = 0;
    m_vms[0].core->handle(runner_load_reported{load});
    for (int index = 0; index < 300; ++index) {
        admit(m_vms[0], "north/desk", 10, true);
    }
    CHECK(m_vms[0].excess == 0);
}

// Guards against an unbounded queue of excess requests when no load report shows the idle capacity.
TEST_CASE_METHOD(admission_fixture, "admission, excess without load reports, is bounded", "[admission]")
{
    startVms(1);
    offer(6s, {200});
    m_vms[0].within = m_vms[0].excess = m_vms[0].refused = 0;
    for (int index = 0; index < 1000; ++index) {
        admit(m_vms[0], "north/desk", 10, true);
    }
    CHECK(m_vms[0].excess == 120);
    CHECK(m_vms[0].refused == 1000 - 120 - m_vms[0].within);
}

// Guards against long requests of one group that together exceed the group's limit of tokens in flight.
TEST_CASE_METHOD(admission_fixture, "admission, tokens in flight at the limit, counts more as excess", "[admission]")
{
    startVms(2);
    // A single request may be longer than the whole limit.
    CHECK(admit(m_vms[0], "south/desk", 7000, false) == admission_tier::within_bound);
    CHECK(admit(m_vms[0], "south/desk", 4000, true) == admission_tier::within_bound);
    exchange();
    CHECK(admit(m_vms[1], "south/desk", 3000, false) == admission_tier::excess);
    CHECK(admit(m_vms[1], "south/desk", 1500, false) == admission_tier::within_bound);
}

// Guards against a status in which operators can't see which group causes an overload.
TEST_CASE_METHOD(admission_fixture, "admission, one group beyond its limit, comes first in the status", "[admission]")
{
    startVms(2);
    offer(8s, {10, 200});
    admit(m_vms[0], "south/desk", 10, false);
    nlohmann::json status;
    status = m_vms[0].core->describe();
    const nlohmann::json &groups = status["admission"]["groups"];
    REQUIRE(groups.size() == 2);
    CHECK(groups[0]["group"] == "north/desk");
    CHECK(groups[0]["organisation"] == "north");
    CHECK(groups[0]["service"] == "s");
    CHECK(groups[0]["demand_per_s"].get<double>() > 150.0);
    CHECK(groups[0]["limit_per_s"].get<double>() == 60.0);
    CHECK(groups[1]["admitted"] == 1);
}

// Guards against a group whose first request waits behind the whole queue of another group.
TEST_CASE("fair order, one group with a long queue, does not delay another", "[admission]")
{
    fair_order order;
    double last = 0.0;
    for (int index = 0; index < 100; ++index) {
        last = order.arrive(caller_group_id("many"), 100.0, 1.0);
    }
    CHECK(order.arrive(caller_group_id("few"), 100.0, 1.0) < last);
    // A group gets no credit for the time that it was idle.
    order.leave(last);
    CHECK(order.arrive(caller_group_id("late"), 100.0, 1.0) >= last);
}

// Guards against shares of the VMs that together exceed the limit of a group.
TEST_CASE("limit share, VMs that receive each other's demand, add up to the limit", "[admission]")
{
    const std::vector<double> rates{5.0, 0.0, 40.0};
    double sum = 0.0;
    for (std::size_t index = 0; index < rates.size(); ++index) {
        share_inputs inputs{10.0, 3, rates[index], {}, {}};
        for (std::size_t other = 0; other < rates.size(); ++other) {
            if (other != index) {
                inputs.freshRates.push_back(rates[other]);
            }
        }
        sum += limitShare(inputs);
    }
    CHECK(sum == Approx(1.0));
    CHECK(limitShare({10.0, 4, 5.0, {}, {}}) == Approx(0.25));
    CHECK(limitShare({10.0, 4, 50.0, {}, {1.0, 1.0, 1.0}}) == Approx(0.25));
    CHECK(limitShare({10.0, 4, 1.0, {}, {50.0, 1.0, 1.0}}) < 0.25);
}

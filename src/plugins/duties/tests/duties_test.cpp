#include "plugins/appends/appends_plugin.h"
#include "plugins/duties/duties_plugin.h"
#include "services/configuration_source.h"
#include "support/log_harness.h"

#include <catch2/catch.hpp>

using namespace crocuslane;
using namespace std::chrono_literals;

namespace {

/// A fixed configuration: one service, whose model has a live and a withdrawn version, and a version of another model.
class fixed_configuration_source : public configuration_source
{
public:
    fixed_configuration_source()
    {
        auto configured = std::make_shared<configuration>();
        configured->services[service_id("advice")].models = {model_id("small")};
        for (const char *id : {"small@1", "small@2", "large@1"}) {
            version_settings &version = configured->versions[version_id(id)];
            version.id = version_id(id);
            version.model = model_id(std::string(id).substr(0, 5));
        }
        configured->versions[version_id("small@2")].state = version_state::withdrawn;
        m_current = configured;
    }

    std::shared_ptr<const configuration> current() const override
    {
        return m_current;
    }

    std::uint64_t version() const override
    {
        return 1;
    }

    bool mayTakeRequests() const override
    {
        return true;
    }

private:
    std::shared_ptr<const configuration> m_current;
};

struct test_vm {
    test_vm(manual_clock &clock, fake_log &log, const std::string &id)
        : harness(clock, log, id)
    {
        harness.kernel().services().offer<configuration_source>(source);
        harness.kernel().add(std::make_unique<appends_plugin>());
        harness.kernel().add(std::make_unique<duties_plugin>());
        harness.start();
    }

    std::optional<log_offset> fencing()
    {
        return harness.kernel().services().find<duty_leases>().fencing("orders");
    }

    fixed_configuration_source source;
    log_harness harness;
};

/// Two VMs on one log; checks in each step of run() that at most one of them holds the duty.
class duties_fixture
{
protected:
    void run(duration length)
    {
        const steady_time end = m_clock.steadyNow() + length;
        while (m_clock.steadyNow() < end) {
            m_clock.advance(5ms);
            m_first.harness.step();
            m_second.harness.step();
            CHECK_FALSE((m_first.fencing() && m_second.fencing()));
        }
    }

    manual_clock m_clock;
    fake_log m_log{m_clock};
    test_vm m_first{m_clock, m_log, "vm1"};
    test_vm m_second{m_clock, m_log, "vm2"};
};

} // namespace

// Guards against two holders at the same time, and against a duty without a holder while the log is available.
TEST_CASE_METHOD(duties_fixture, "duties, two applicants, one holds and renews", "[duties]")
{
    run(1s);
    const bool firstHolds = m_first.fencing().has_value();
    CHECK(firstHolds != m_second.fencing().has_value());
    run(20s);
    CHECK(m_first.fencing().has_value() == firstHolds);
    CHECK(m_second.fencing().has_value() != firstHolds);
}

// Guards against a holder that resumes from a pause and uses its expired lease.
TEST_CASE_METHOD(duties_fixture, "duties, holder paused past the lease, other takes over", "[duties]")
{
    run(1s);
    test_vm &holder = m_first.fencing() ? m_first : m_second;
    test_vm &other = m_first.fencing() ? m_second : m_first;
    const log_offset before = *holder.fencing();
    for (int step = 0; step < 15'000; ++step) {
        m_clock.advance(1ms);
        other.harness.step();
        CHECK_FALSE((holder.fencing() && other.fencing()));
    }
    REQUIRE(other.fencing());
    CHECK(*other.fencing() > before);
    CHECK_FALSE(holder.fencing());
    run(1s);
    CHECK_FALSE(holder.fencing());
}

// Guards against a duty that has no holder for a whole lease duration after a planned stop.
TEST_CASE_METHOD(duties_fixture, "duties, holder stops, other takes over within 3 s", "[duties]")
{
    run(1s);
    test_vm &holder = m_first.fencing() ? m_first : m_second;
    test_vm &other = m_first.fencing() ? m_second : m_first;
    holder.harness.handle(stop_requested{});
    CHECK_FALSE(holder.fencing());
    run(3s);
    CHECK(other.fencing());
    CHECK(holder.harness.kernel().isIdle());
}

// Guards against a VM that takes over a held duty because the records of the lease were removed from the log.
TEST_CASE_METHOD(duties_fixture, "duties, log truncated, started VM recognises the holder by its renewal", "[duties]")
{
    run(20s);
    m_log.removeBefore(m_clock.systemNow() - 5s);
    CHECK(m_log.read("leases", 0).firstOffset > 0);
    test_vm started(m_clock, m_log, "vm3");
    for (int step = 0; step < 100'000; ++step) {
        m_clock.advance(1ms);
        m_first.harness.step();
        m_second.harness.step();
        started.harness.step();
        REQUIRE_FALSE(started.fencing());
    }
}

// Guards against a duty that no VM can acquire after all lease records were removed. The first record that a started VM
// reads doesn't show how long the duty had no record before it, so the VM waits for two quiet periods.
TEST_CASE_METHOD(duties_fixture, "duties, all records removed, free after two quiet periods", "[duties]")
{
    run(2s);
    m_clock.advance(1h);
    m_log.removeBefore(m_clock.systemNow());
    test_vm started(m_clock, m_log, "vm3");
    started.harness.run(130s);
    CHECK(started.fencing());
}

// Guards against a runner that lacks a version of the configuration, and against orders from a VM without the lease.
TEST_CASE_METHOD(duties_fixture,
                 "duties, report differs from the configuration, only the holder sends orders",
                 "[duties]")
{
    run(1s);
    test_vm &holder = m_first.fencing() ? m_first : m_second;
    test_vm &other = m_first.fencing() ? m_second : m_first;
    vm_entry runner;
    runner.id = "runner1";
    runner.role = vm_role::model;
    runner.service = service_id("advice");
    runner_load load;
    load.runner = runner_id("runner1");
    load.versions = {version_id("small@2")};
    for (test_vm *vm : {&holder, &other}) {
        vm->harness.handle(vm_list_read{{runner}});
        vm->harness.handle(runner_load_reported{load});
    }
    CHECK(other.harness.takeActions<order_runner>().empty());
    const auto orders = holder.harness.takeActions<order_runner>();
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].fencing == *holder.fencing());
    CHECK(orders[0].versions == std::set<version_id>{version_id("small@1")});
    run(2s);
    load.versions = {version_id("small@1")};
    holder.harness.handle(runner_load_reported{load});
    CHECK(holder.harness.takeActions<order_runner>().empty());
}

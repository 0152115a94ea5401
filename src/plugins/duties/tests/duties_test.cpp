#include "plugins/appends/appends_plugin.h"
#include "plugins/duties/duties_plugin.h"
#include "services/configuration_source.h"
#include "support/log_harness.h"

#include <catch2/catch.hpp>

using namespace crocuslane;
using namespace std::chrono_literals;

namespace {

class fixed_source : public configuration_source
{
public:
    fixed_source()
    {
        auto made = std::make_shared<configuration>();
        made->services[service_id("advice")].models = {model_id("small")};
        for (const char *id : {"small@1", "small@2", "large@1"}) {
            version_settings &version = made->versions[version_id(id)];
            version.id = version_id(id);
            version.model = model_id(std::string(id).substr(0, 5));
        }
        made->versions[version_id("small@2")].state = version_state::withdrawn;
        m_current = made;
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

struct duty_vm {
    duty_vm(manual_clock &clock, fake_log &log, const std::string &id)
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

    fixed_source source;
    log_harness harness;
};

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
    duty_vm m_first{m_clock, m_log, "vm1"};
    duty_vm m_second{m_clock, m_log, "vm2"};
};

} // namespace

// Guards against two holders, and against a duty that nobody holds while the log works.
TEST_CASE_METHOD(duties_fixture, "duties, two applicants, one holds and renews", "[duties]")
{
    run(1s);
    const bool firstHolds = m_first.fencing().has_value();
    CHECK(firstHolds != m_second.fencing().has_value());
    run(20s);
    CHECK(m_first.fencing().has_value() == firstHolds);
    CHECK(m_second.fencing().has_value() != firstHolds);
}

// Guards against a holder that resumes from a pause and believes that it still holds the duty.
TEST_CASE_METHOD(duties_fixture, "duties, holder paused past the lease, other takes over", "[duties]")
{
    run(1s);
    duty_vm &holder = m_first.fencing() ? m_first : m_second;
    duty_vm &other = m_first.fencing() ? m_second : m_first;
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

// Guards against a duty that stays unheld for a whole lease after a planned stop.
TEST_CASE_METHOD(duties_fixture, "duties, holder stops, other follows within 3 s", "[duties]")
{
    run(1s);
    duty_vm &holder = m_first.fencing() ? m_first : m_second;
    duty_vm &other = m_first.fencing() ? m_second : m_first;
    holder.harness.handle(stop_requested{});
    CHECK_FALSE(holder.fencing());
    run(3s);
    CHECK(other.fencing());
    CHECK(holder.harness.kernel().isIdle());
}

// Guards against a VM that takes a duty because the records of its lease were removed.
TEST_CASE_METHOD(duties_fixture, "duties, log truncated, started VM learns the holder from its renewal", "[duties]")
{
    run(20s);
    m_log.removeBefore(m_clock.systemNow() - 5s);
    CHECK(m_log.read("leases", 0).firstOffset > 0);
    duty_vm started(m_clock, m_log, "vm3");
    for (int step = 0; step < 100'000; ++step) {
        m_clock.advance(1ms);
        m_first.harness.step();
        m_second.harness.step();
        started.harness.step();
        REQUIRE_FALSE(started.fencing());
    }
}

// Guards against a duty that nobody can take after all lease records were removed. The first record that a started VM
// reads doesn't tell how long the duty was quiet before it, so that two quiet times pass.
TEST_CASE_METHOD(duties_fixture, "duties, all records removed, free after two quiet times", "[duties]")
{
    run(2s);
    m_clock.advance(1h);
    m_log.removeBefore(m_clock.systemNow());
    duty_vm started(m_clock, m_log, "vm3");
    started.harness.run(130s);
    CHECK(started.fencing());
}

// Guards against a runner without a version that the configuration needs, and against orders without the duty.
TEST_CASE_METHOD(duties_fixture, "duties, report differs from the configuration, holder orders", "[duties]")
{
    run(1s);
    duty_vm &holder = m_first.fencing() ? m_first : m_second;
    duty_vm &other = m_first.fencing() ? m_second : m_first;
    vm_entry runner;
    runner.id = "runner1";
    runner.role = vm_role::model;
    runner.service = service_id("advice");
    runner_load load;
    load.runner = runner_id("runner1");
    load.versions = {version_id("small@2")};
    for (duty_vm *vm : {&holder, &other}) {
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

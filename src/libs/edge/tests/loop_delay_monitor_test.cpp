#include "edge/loop_delay_monitor.h"

#include "base/logger.h"
#include "base/random_source.h"
#include "edge/traffic_metrics.h"
#include "kernel/kernel.h"
#include "net/event_loop.h"
#include "support/output_capture.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace crocuslane;

namespace {

class null_timeline : public timeline_recorder
{
public:
    void record(timeline_kind /*kind*/, const request_id & /*request*/, std::string /*detail*/) override
    {
    }
};

class idle_host : public decision_host
{
public:
    void observe(const event & /*event*/) override
    {
    }

    void observeStep(duration /*handlingTime*/) override
    {
    }

    void carryOut(const action & /*action*/) override
    {
    }

    void handleException(std::string_view /*text*/) override
    {
    }

    void handleQueueEmpty() override
    {
    }
};

class loop_delay_monitor_fixture
{
protected:
    /// Output of a run that is long enough for several checks.
    std::string outputOfRun()
    {
        output_capture capture;
        m_loop.schedule(std::chrono::milliseconds(1500), [this] { m_loop.stop(); });
        m_loop.run();
        return capture.finish();
    }

    real_clock m_clock;
    logger m_log{m_clock, "test", log_level::warning};
    seeded_random m_random{1};
    null_timeline m_timeline;
    event_loop m_loop;
    kernel m_kernel{{m_clock, m_random, {}, {}, m_timeline}};
    idle_host m_host;
    decision_loop m_decisions{m_kernel, m_host, m_loop, m_clock};
    traffic_metrics m_metrics{m_clock};
    loop_delay_monitor m_monitor{m_loop, m_clock, m_decisions, m_metrics, m_log};
};

} // namespace

// Guards against a process that serves nobody for a while and leaves no trace of the cause.
TEST_CASE_METHOD(loop_delay_monitor_fixture, "loop delay monitor, callback blocks the loop, logs what it did", "[edge]")
{
    m_decisions.begin(m_kernel.start());
    m_monitor.start();
    m_loop.schedule(std::chrono::milliseconds(10), [this] {
        m_decisions.deliver(timer_expired{});
        std::this_thread::sleep_for(std::chrono::milliseconds(800));
    });
    const std::string output = outputOfRun();
    CHECK(output.find("event_loop_delayed") != std::string::npos);
    CHECK(output.find(" events=1 ") != std::string::npos);
    CHECK(m_metrics.text().find("crocuslane_loop_delay_seconds_count") != std::string::npos);
}

#include "base/random_source.h"
#include "kernel/kernel.h"
#include "plugins/backends/backend_settings.h"
#include "services/backend_picker.h"
#include "services/runner_use_exchange.h"

#include <catch2/catch.hpp>

using namespace crocuslane;

namespace {

class silent_timeline : public timeline_recorder
{
public:
    void record(timeline_kind /*kind*/, const request_id & /*request*/, std::string /*detail*/) override
    {
    }
};

class backends_fixture
{
protected:
    backends_fixture()
        : m_node{vm_id("v1"), 1, "zone-a", "north", "10.0.0.1:1", "10.0.0.1:2"}
        , m_kernel({m_clock, m_random, m_node, {}, m_timeline})
    {
        m_settings.regions = {{"zone-a", "north"}, {"zone-b", "north"}, {"zone-c", "south"}};
        m_kernel.services().offer(m_settings);
        m_kernel.addRegistered({"backends"});
        m_kernel.start();
        m_engine.slots = 64;
        m_engine.kvCacheTokens = 500'000;
        m_requirements.service = service_id("model");
        m_requirements.engine = &m_engine;
        m_requirements.prompt = &m_prompt;
        m_requirements.promptTokens = 1000;
        m_requirements.outputTokens = 100;
    }

    void list(const std::vector<std::pair<std::string, std::string>> &runnersAndZones)
    {
        backend_list_read read;
        for (const auto &[id, zone] : runnersAndZones) {
            backend_entry entry;
            entry.id = runner_id(id);
            entry.service = service_id("model");
            entry.address = id + ":80";
            entry.availabilityZone = zone;
            entry.version = "v1";
            entry.slots = 64;
            read.entries.push_back(entry);
        }
        m_kernel.handle(read);
    }

    backend_picker &picker()
    {
        return m_kernel.services().find<backend_picker>();
    }

    std::string pick()
    {
        const auto choice = picker().pick(m_requirements);
        return choice ? choice->runner.value() : std::string("none");
    }

    void run(const std::string &runner, int count, std::uint32_t promptTokens = 100)
    {
        backend_requirements requirements = m_requirements;
        requirements.prompt = nullptr;
        requirements.promptTokens = promptTokens;
        for (int index = 0; index < count; ++index) {
            picker().attemptStarted(++m_attempts, requirements, runner_id(runner));
            picker().answerBegan(m_attempts);
        }
    }

    manual_clock m_clock;
    seeded_random m_random{1};
    node_identity m_node;
    silent_timeline m_timeline;
    backend_settings m_settings;
    kernel m_kernel;
    engine_description m_engine;
    std::vector<prompt_part> m_prompt;
    backend_requirements m_requirements;
    attempt_number m_attempts = 0;
};

} // namespace

// Guards against a long prompt that makes the many streams of a busy runner pause while another runner has fewer.
TEST_CASE_METHOD(backends_fixture, "long prompt, one runner has many streams, goes to the less busy one", "[backends]")
{
    list({{"busy", "zone-a"}, {"calm", "zone-b"}});
    run("busy", 12);
    run("calm", 8);
    m_requirements.promptTokens = 20'000;
    CHECK(pick() == "calm");
}

// Guards against paid traffic between regions while the VM's own region has capacity.
TEST_CASE_METHOD(backends_fixture,
                 "runner, other region idle, own region lightly used, stays in the region",
                 "[backends]")
{
    list({{"near", "zone-a"}, {"far", "zone-c"}});
    run("near", 10);
    CHECK(pick() == "near");
    run("near", 40);
    CHECK(pick() == "far");
}

// Guards against preemption at the runner: requests in progress must fit in its KV cache.
TEST_CASE_METHOD(backends_fixture, "runner, memory nearly full, takes no further request", "[backends]")
{
    m_engine.kvCacheTokens = 100'000;
    list({{"only", "zone-a"}});
    run("only", 4, 20'000);
    m_requirements.promptTokens = 20'000;
    CHECK(pick() == "none");
    CHECK(picker().hasRunner(m_requirements));
    m_requirements.promptTokens = 2000;
    CHECK(pick() == "only");
}

// Guards against requests to runners that refuse connections.
TEST_CASE_METHOD(backends_fixture, "runner, no connection, is avoided at first and tried again", "[backends]")
{
    list({{"down", "zone-a"}, {"up", "zone-c"}});
    picker().attemptStarted(1, m_requirements, runner_id("down"));
    picker().attemptEnded(1, attempt_end::not_sent);
    CHECK(pick() == "up");
    m_clock.advance(std::chrono::seconds(20));
    CHECK(pick() == "down");
}

// Guards against all VMs selecting the same idle runner at once.
TEST_CASE_METHOD(backends_fixture, "runner, other VM uses it, counts as load", "[backends]")
{
    list({{"a", "zone-a"}, {"b", "zone-a"}});
    m_kernel.services().find<runner_use_exchange>().setRemoteUse(vm_id("v2"), {{runner_id("a"), 30, false}});
    CHECK(pick() == "b");
    m_kernel.services().find<runner_use_exchange>().setRemoteUse(vm_id("v2"), {{runner_id("b"), 30, false}});
    CHECK(pick() == "a");
}

// Guards against prefilling the same prompt part on every runner.
TEST_CASE_METHOD(backends_fixture, "prompt, part cached by a runner, goes to that runner", "[backends]")
{
    list({{"a", "zone-a"}, {"b", "zone-a"}, {"c", "zone-a"}});
    m_prompt = {{1, 500}, {2, 8000}, {3, 500}};
    m_requirements.promptTokens = 9000;
    const std::string first = pick();
    picker().attemptStarted(1, m_requirements, runner_id(first));
    picker().attemptEnded(1, attempt_end::complete);
    m_prompt = {{1, 500}, {2, 8000}, {4, 500}};
    for (int round = 0; round < 10; ++round) {
        CHECK(pick() == first);
    }
}

// Guards against requests to a version that the version rule excludes.
TEST_CASE_METHOD(backends_fixture, "version rule, excludes all, finds no runner", "[backends]")
{
    list({{"a", "zone-a"}});
    m_requirements.versions = {version_rule::mode::except, "v1"};
    CHECK(pick() == "none");
    CHECK_FALSE(picker().hasRunner(m_requirements));
    m_requirements.versions = {version_rule::mode::only, "v1"};
    CHECK(pick() == "a");
}

// Guards against a new runner that appears cheapest and gets all requests at once, and against a request that is
// refused although the runner warms up in time. Without a rate, a new runner is used as before.
TEST_CASE_METHOD(backends_fixture, "runner, new and cold, gets one request after the other", "[backends]")
{
    const double rate = GENERATE(0.0, 2.0);
    auto configuration = std::make_shared<forward_configuration>();
    configuration->services.push_back({service_id("model"), 0, m_engine, rate, std::chrono::seconds(3)});
    m_kernel.handle(forward_configuration_read{configuration});
    list({});
    list({{"a", "zone-a"}});
    if (rate == 0.0) {
        CHECK(pick() == "a");
        CHECK(picker().limitDelay(m_requirements, 5) == duration::zero());
        return;
    }
    CHECK(pick() == "none");
    CHECK(picker().limitDelay(m_requirements, 0) == std::chrono::milliseconds(500));
    CHECK(picker().limitDelay(m_requirements, 100) == std::chrono::seconds(3));
    m_clock.advance(std::chrono::milliseconds(500));
    CHECK(pick() == "a");
    run("a", 1);
    CHECK(pick() == "none");
    m_clock.advance(std::chrono::milliseconds(2500));
    run("a", 1);
    CHECK(pick() == "a");
}

// Guards against a slow runner of a plain service that gets as many requests as a fast one, or none at all.
TEST_CASE_METHOD(backends_fixture, "plain service, one runner slow, gets requests in proportion to speed", "[backends]")
{
    list({{"fast", "zone-a"}, {"slow", "zone-a"}});
    m_requirements.engine = nullptr;
    m_requirements.prompt = nullptr;
    for (int round = 0; round < 200; ++round) {
        for (const auto &[runner, milliseconds] : {std::pair("fast", 100), std::pair("slow", 300)}) {
            picker().attemptStarted(++m_attempts, m_requirements, runner_id(runner));
            m_clock.advance(std::chrono::milliseconds(milliseconds));
            picker().attemptEnded(m_attempts, attempt_end::complete);
        }
    }
    int slow = 0;
    for (int request = 0; request < 2000; ++request) {
        slow += pick() == "slow" ? 1 : 0;
    }
    CHECK(slow > 400);
    CHECK(slow < 600);
}

#include "kernel/kernel.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace crocuslane;

namespace {

class null_timeline : public timeline_recorder
{
public:
    void record(timeline_kind /*kind*/, const request_id & /*request*/, std::string /*detail*/) override
    {
    }
};

class tracing_plugin : public plugin
{
public:
    tracing_plugin(std::string_view name, std::vector<std::string_view> dependencies, std::vector<std::string> &trace)
        : m_name(name)
        , m_dependencies(std::move(dependencies))
        , m_trace(trace)
    {
    }

    std::string_view name() const override
    {
        return m_name;
    }

    std::vector<std::string_view> dependencies() const override
    {
        return m_dependencies;
    }

    void initialize(plugin_context &context) override
    {
        m_context = &context;
    }

    void handle(const event &event, action_list & /*actions*/) override
    {
        m_trace.push_back(std::string(m_name)
                          + (std::holds_alternative<capacity_changed>(event) ? ":posted" : ":first"));
        if (std::holds_alternative<timer_expired>(event) && m_dependencies.empty()) {
            m_context->post(capacity_changed{});
        }
    }

private:
    std::string_view m_name;
    std::vector<std::string_view> m_dependencies;
    std::vector<std::string> &m_trace;
    plugin_context *m_context = nullptr;
};

class kernel_fixture
{
protected:
    manual_clock m_clock;
    seeded_random m_random{1};
    null_timeline m_timeline;
    std::vector<std::string> m_trace;
    kernel m_kernel{{m_clock, m_random, {}, {}, m_timeline}};
};

} // namespace

// Guards against a plug-in that handles an event before a plug-in that it depends on, and against a posted event that
// is handled before all plug-ins have handled the current one.
TEST_CASE_METHOD(kernel_fixture, "kernel, plug-ins added in the wrong order, handle events by dependency", "[kernel]")
{
    m_kernel.add(std::make_unique<tracing_plugin>("second", std::vector<std::string_view>{"first"}, m_trace));
    m_kernel.add(std::make_unique<tracing_plugin>("first", std::vector<std::string_view>{}, m_trace));
    m_kernel.start();
    m_kernel.handle(timer_expired{});
    CHECK(m_trace == std::vector<std::string>{"first:first", "second:first", "first:posted", "second:posted"});
}

// Guards against a start with a plug-in missing that another one depends on.
TEST_CASE_METHOD(kernel_fixture, "kernel, missing dependency, fails to start", "[kernel]")
{
    m_kernel.add(std::make_unique<tracing_plugin>("second", std::vector<std::string_view>{"first"}, m_trace));
    CHECK_THROWS_AS(m_kernel.start(), std::logic_error);
}

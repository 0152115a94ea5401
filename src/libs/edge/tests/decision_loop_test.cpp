#include "edge/decision_loop.h"

#include "base/random_source.h"
#include "kernel/kernel.h"
#include "net/event_loop.h"

#include <catch2/catch.hpp>

#include <stdexcept>

using namespace crocuslane;

namespace {

class null_timeline : public timeline_recorder
{
public:
    void record(timeline_kind /*kind*/, const request_id & /*request*/, std::string /*detail*/) override
    {
    }
};

/// Throws for requests to the path "/odd".
class throwing_plugin : public plugin
{
public:
    std::string_view name() const override
    {
        return "throwing";
    }

    void initialize(plugin_context & /*context*/) override
    {
    }

    void handle(const event &event, action_list &actions) override
    {
        const auto *received = std::get_if<forward_received>(&event);
        if (received == nullptr) {
            return;
        }
        if (received->request.path == "/odd") {
            throw std::runtime_error("odd request");
        }
        actions.push_back(refuse_forward{request_id("first"), refusal_reason::no_runner, {}});
        actions.push_back(refuse_forward{received->request.request, refusal_reason::no_runner, {}});
    }
};

class recording_host : public decision_host
{
public:
    void observe(const event & /*event*/) override
    {
    }

    void observeStep(duration /*handlingTime*/) override
    {
    }

    void carryOut(const action &action) override
    {
        const auto &refusal = std::get<refuse_forward>(action);
        if (throwsFor == refusal.request) {
            throw 17;
        }
        refusals.push_back(refusal);
    }

    void handleException(std::string_view text) override
    {
        exceptions.emplace_back(text);
    }

    void handleQueueEmpty() override
    {
    }

    request_id throwsFor;
    std::vector<refuse_forward> refusals;
    std::vector<std::string> exceptions;
};

class decision_loop_fixture
{
protected:
    decision_loop_fixture()
    {
        m_kernel.add(std::make_unique<throwing_plugin>());
        m_decisions.begin(m_kernel.start());
    }

    void deliver(const std::string &id, const std::string &path)
    {
        forward_request request;
        request.request = request_id(id);
        request.path = path;
        m_decisions.deliver(forward_received{std::move(request)});
    }

    manual_clock m_clock;
    seeded_random m_random{1};
    null_timeline m_timeline;
    event_loop m_loop;
    kernel m_kernel{{m_clock, m_random, {}, {}, m_timeline}};
    recording_host m_host;
    decision_loop m_decisions{m_kernel, m_host, m_loop, m_clock};
};

} // namespace

// Guards against a request that ends the process, stays open, or stops the handling of all later ones, because the
// decision code throws.
TEST_CASE_METHOD(decision_loop_fixture, "decision loop, event throws, answers it and handles the next", "[edge]")
{
    deliver("a", "/odd");
    deliver("b", "/look");
    CHECK(m_host.exceptions == std::vector<std::string>{"odd request"});
    REQUIRE(m_host.refusals.size() == 3);
    CHECK(m_host.refusals[0].request == request_id("a"));
    CHECK(m_host.refusals[0].reason == refusal_reason::attempts_exhausted_may_have_run);
    CHECK(m_host.refusals[2].request == request_id("b"));
}

// Guards against actions for other requests that are lost because one action throws.
TEST_CASE_METHOD(decision_loop_fixture, "decision loop, action throws, carries out the others", "[edge]")
{
    m_host.throwsFor = request_id("first");
    deliver("b", "/look");
    CHECK(m_host.exceptions == std::vector<std::string>{"unknown exception"});
    REQUIRE(m_host.refusals.size() == 1);
    CHECK(m_host.refusals[0].request == request_id("b"));
}

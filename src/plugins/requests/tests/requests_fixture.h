#pragma once

#include "kernel/kernel.h"
#include "plugins/requests/tests/fake_services.h"
#include "support/action_queries.h"

#include <catch2/catch.hpp>

namespace crocuslane {

class null_timeline : public timeline_recorder
{
public:
    void record(timeline_kind /*kind*/, const request_id & /*request*/, std::string /*detail*/) override
    {
    }
};

/// A kernel with the requests plug-in and fakes of the services that it uses.
class requests_fixture
{
protected:
    requests_fixture()
    {
        auto fakes = std::make_unique<fake_services>();
        m_fakes = fakes.get();
        configuration &settings = *m_fakes->settings;
        const organisation_id organisation("rimal");
        const caller_group_id group("rimal/desk");
        settings.groupsByKeyHash["key"] = group;
        settings.callerGroups[group] = {group, organisation, 100.0, 100'000, {"key"}, false};
        settings.services[service_id("desk")] = {service_id("desk"), service_type::plain, {}, {}, 8};
        settings.operations[operation_id("book")] = {operation_id("book"), service_id("desk"), false};
        settings.operations[operation_id("status")] = {operation_id("status"), service_id("desk"), true};
        settings.organisations[organisation] = {organisation, {}, {service_id("desk")}};
        m_kernel.add(std::move(fakes));
        m_kernel.add(makePlugin("requests"));
        m_kernel.start();
    }

    action_list send(event event)
    {
        return m_kernel.handle(std::move(event));
    }

    action_list sendModelRequest(const std::string &id, std::uint32_t resumeFrom = 0)
    {
        model_request request;
        request.request = request_id(id);
        request.callerKeyHash = "key";
        request.service = service_id("answers");
        request.promptTokens = 100;
        request.resumeFrom = resumeFrom;
        return send(model_request_received{request});
    }

    action_list sendCall(const std::string &id, const std::string &operation, const std::string &idempotencyKey = {})
    {
        service_call call;
        call.request = request_id(id);
        call.callerKeyHash = "key";
        call.service = service_id("desk");
        call.operation = operation_id(operation);
        call.idempotencyKey = idempotencyKey;
        return send(service_call_received{call});
    }

    action_list advanceTime(duration step)
    {
        m_clock.advance(step);
        return send(timer_expired{});
    }

    static void checkError(const action_list &actions, error_code code, execution_state execution)
    {
        const request_error error = one<refuse_request>(actions).error;
        CHECK(toName(error.code) == toName(code));
        CHECK(toName(error.execution) == toName(execution));
    }

    static attempt_finished finished(attempt_number attempt, std::uint32_t tokens)
    {
        return {attempt, finish_reason::stop, {100, 0, tokens}};
    }

    manual_clock m_clock;
    seeded_random m_random{1};
    null_timeline m_timeline;
    kernel m_kernel{{m_clock, m_random, {}, {}, m_timeline}};
    fake_services *m_fakes = nullptr;
};

} // namespace crocuslane

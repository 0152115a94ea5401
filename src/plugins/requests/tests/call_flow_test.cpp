#include "plugins/requests/tests/requests_fixture.h"

using namespace crocuslane;

namespace {

claim_decided granted(const std::string &id)
{
    return {request_id(id), claim_verdict::granted, 0, {}, error_code::internal};
}

} // namespace

// Guards against a call that is sent before its claim is granted, and against a lost outcome.
TEST_CASE_METHOD(requests_fixture, "claimed call, granted, is sent once and its outcome recorded", "[requests]")
{
    m_fakes->freeRunners = {"d1", "d2"};
    CHECK(sendCall("a", "book", "1-x").empty());
    CHECK(m_fakes->claimedCalls.size() == 1);
    const auto start = one<start_call>(send(granted("a")));
    CHECK(one<answer_call>(send(call_answered{start.attempt, 201, "booked"})).status == 201);
    CHECK(m_fakes->outcomes == std::vector<std::pair<request_id, std::uint32_t>>{{request_id("a"), 201}});
    CHECK(send(call_answered{start.attempt, 201, "booked"}).empty());
    CHECK(m_kernel.isIdle());
}

// Guards against a call that runs twice because its first answer was lost.
TEST_CASE_METHOD(requests_fixture, "claimed call, answer lost, is not repeated", "[requests]")
{
    m_fakes->freeRunners = {"d1", "d2"};
    sendCall("a", "book", "1-x");
    const auto start = one<start_call>(send(granted("a")));
    const action_list end = send(attempt_failed{start.attempt, attempt_failure::connection_lost});
    checkError(end, error_code::not_repeated, execution_state::unknown);
    CHECK(all<start_call>(end).empty());
    CHECK(m_fakes->outcomes == std::vector<std::pair<request_id, std::uint32_t>>{{request_id("a"), 0}});
}

// Guards against sending a call from a process that was paused since its claim was granted.
TEST_CASE_METHOD(requests_fixture, "claimed call, grant too old, is not sent", "[requests]")
{
    m_fakes->freeRunners = {"d1"};
    m_fakes->canConfirmSend = false;
    sendCall("a", "book", "1-x");
    const action_list actions = send(granted("a"));
    CHECK(all<start_call>(actions).empty());
    checkError(actions, error_code::log_unavailable, execution_state::not_run);
}

// Guards against a claim that keeps no outcome although its call was not sent.
TEST_CASE_METHOD(requests_fixture, "claimed call, not sent, is recorded as not run", "[requests]")
{
    sendCall("a", "book", "1-x");
    send(granted("a"));
    checkError(advanceTime(std::chrono::seconds(3)), error_code::no_capacity, execution_state::not_run);
    m_fakes->freeRunners = {"d1"};
    sendCall("b", "book", "1-y");
    const auto start = one<start_call>(send(granted("b")));
    checkError(send(attempt_failed{start.attempt, attempt_failure::not_sent}),
               error_code::backend_failed,
               execution_state::not_run);
    sendCall("c", "book", "1-z");
    send(request_abandoned{request_id("c")});
    CHECK(send(granted("c")).empty());
    CHECK(m_fakes->callsRecordedNotRun == std::vector<request_id>{request_id("a"), request_id("b"), request_id("c")});
    CHECK(m_kernel.isIdle());
}

// Guards against a lost outcome when the caller disconnects while its call runs.
TEST_CASE_METHOD(requests_fixture, "claimed call, abandoned while it runs, still records its outcome", "[requests]")
{
    m_fakes->freeRunners = {"d1"};
    sendCall("a", "book", "1-x");
    const auto start = one<start_call>(send(granted("a")));
    CHECK(send(request_abandoned{request_id("a")}).empty());
    CHECK(send(call_answered{start.attempt, 201, "booked"}).empty());
    CHECK(m_fakes->outcomes.size() == 1);
}

// Guards against a repeated idempotency key that runs the call again or gets no definite answer.
TEST_CASE_METHOD(requests_fixture,
                 "claimed call, key claimed before, is answered by the verdict on its claim",
                 "[requests]")
{
    m_fakes->freeRunners = {"d1"};
    sendCall("a", "book", "1-x");
    const action_list stored = send(claim_decided{request_id("a"), claim_verdict::stored, 201, "booked", {}});
    CHECK(one<answer_call>(stored).body == "booked");
    sendCall("b", "book", "1-x");
    checkError(send(claim_decided{request_id("b"), claim_verdict::unknown, 0, {}, error_code::not_repeated}),
               error_code::not_repeated,
               execution_state::unknown);
    sendCall("c", "book", "1-x");
    checkError(send(claim_decided{request_id("c"), claim_verdict::refused, 0, {}, error_code::not_repeated}),
               error_code::not_repeated,
               execution_state::not_run);
    checkError(sendCall("d", "book"), error_code::idempotency_key_required, execution_state::not_run);
}

// Guards against a view by caller group that never shows a queued request.
TEST_CASE_METHOD(requests_fixture, "repeatable call, no runner free, is counted as queued", "[requests]")
{
    sendCall("a", "status");
    m_fakes->freeRunners = {"d1", "d2"};
    sendCall("b", "status");
    CHECK(m_fakes->queuedRequests == std::vector<request_id>{request_id("a")});
}

// Guards against reporting not_run for a key whose call another entry VM ran before: without the log, this VM cannot
// exclude that.
TEST_CASE_METHOD(requests_fixture,
                 "claimed call, refused before the claim is decided, is reported as unknown",
                 "[requests]")
{
    m_fakes->freeRunners = {"d1"};
    sendCall("a", "book", "1-x");
    checkError(send(claim_decided{request_id("a"), claim_verdict::refused, 0, {}, error_code::log_unavailable}),
               error_code::log_unavailable,
               execution_state::unknown);
    send(stop_requested{});
    checkError(sendCall("b", "book", "1-x"), error_code::shutting_down, execution_state::unknown);
    checkError(sendCall("c", "status"), error_code::shutting_down, execution_state::not_run);
}

// Guards against a repeatable call that fails together with one instance, and against retries beyond the budget.
TEST_CASE_METHOD(requests_fixture, "repeatable call, answer lost, is retried within the budget", "[requests]")
{
    m_fakes->freeRunners = {"d1", "d2"};
    m_fakes->remainingRetries = 1;
    const auto first = one<start_call>(sendCall("a", "status"));
    const auto second = one<start_call>(send(attempt_failed{first.attempt, attempt_failure::connection_lost}));
    CHECK(second.runner == runner_id("d2"));
    CHECK(send(call_answered{first.attempt, 200, "late"}).empty());
    checkError(send(attempt_failed{second.attempt, attempt_failure::connection_lost}),
               error_code::backend_failed,
               execution_state::unknown);
    CHECK(m_fakes->claimedCalls.empty());
}

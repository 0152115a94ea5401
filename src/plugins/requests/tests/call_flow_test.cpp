#include "plugins/requests/tests/requests_fixture.h"

using namespace crocuslane;

namespace {

claim_decided granted(const std::string &id)
{
    return {request_id(id), claim_verdict::granted, 0, {}, error_code::internal};
}

} // namespace

// Guards against a booking that is sent before its claim is granted, and against a lost outcome.
TEST_CASE_METHOD(requests_fixture, "claimed call, granted, is sent once and its outcome recorded", "[requests]")
{
    m_fakes->freeRunners = {"d1", "d2"};
    CHECK(call("a", "book", "1-x").empty());
    CHECK(m_fakes->claimed.size() == 1);
    const auto start = one<start_call>(send(granted("a")));
    CHECK(one<answer_call>(send(call_answered{start.attempt, 201, "booked"})).status == 201);
    CHECK(m_fakes->outcomes == std::vector<std::pair<request_id, std::uint32_t>>{{request_id("a"), 201}});
    CHECK(send(call_answered{start.attempt, 201, "booked"}).empty());
    CHECK(m_kernel.isIdle());
}

// Guards against a booking that runs twice after its answer was lost.
TEST_CASE_METHOD(requests_fixture, "claimed call, answer lost, is not repeated", "[requests]")
{
    m_fakes->freeRunners = {"d1", "d2"};
    call("a", "book", "1-x");
    const auto start = one<start_call>(send(granted("a")));
    const action_list end = send(attempt_failed{start.attempt, attempt_failure::connection_lost});
    checkError(end, error_code::not_repeated, execution_state::unknown);
    CHECK(all<start_call>(end).empty());
    CHECK(m_fakes->outcomes == std::vector<std::pair<request_id, std::uint32_t>>{{request_id("a"), 0}});
}

// Guards against a send by a process that was paused since the grant.
TEST_CASE_METHOD(requests_fixture, "claimed call, grant too old, is not sent", "[requests]")
{
    m_fakes->freeRunners = {"d1"};
    m_fakes->mayConfirm = false;
    call("a", "book", "1-x");
    const action_list actions = send(granted("a"));
    CHECK(all<start_call>(actions).empty());
    checkError(actions, error_code::log_unavailable, execution_state::not_run);
}

// Guards against a claim that stays without outcome although nothing was sent.
TEST_CASE_METHOD(requests_fixture, "claimed call, not sent, is recorded as not run", "[requests]")
{
    call("a", "book", "1-x");
    send(granted("a"));
    checkError(wait(std::chrono::seconds(3)), error_code::no_capacity, execution_state::not_run);
    m_fakes->freeRunners = {"d1"};
    call("b", "book", "1-y");
    const auto start = one<start_call>(send(granted("b")));
    checkError(send(attempt_failed{start.attempt, attempt_failure::not_sent}),
               error_code::backend_failed,
               execution_state::not_run);
    call("c", "book", "1-z");
    send(request_abandoned{request_id("c")});
    CHECK(send(granted("c")).empty());
    CHECK(m_fakes->recordedNotRun == std::vector<request_id>{request_id("a"), request_id("b"), request_id("c")});
    CHECK(m_kernel.isIdle());
}

// Guards against a lost outcome when the caller disconnects while its booking runs.
TEST_CASE_METHOD(requests_fixture, "claimed call, abandoned while it runs, still records its outcome", "[requests]")
{
    m_fakes->freeRunners = {"d1"};
    call("a", "book", "1-x");
    const auto start = one<start_call>(send(granted("a")));
    CHECK(send(request_abandoned{request_id("a")}).empty());
    CHECK(send(call_answered{start.attempt, 201, "booked"}).empty());
    CHECK(m_fakes->outcomes.size() == 1);
}

// Guards against a repeated key that runs again or gets no clear answer.
TEST_CASE_METHOD(requests_fixture, "claimed call, key claimed before, gets the verdict", "[requests]")
{
    m_fakes->freeRunners = {"d1"};
    call("a", "book", "1-x");
    const action_list stored = send(claim_decided{request_id("a"), claim_verdict::stored, 201, "booked", {}});
    CHECK(one<answer_call>(stored).body == "booked");
    call("b", "book", "1-x");
    checkError(send(claim_decided{request_id("b"), claim_verdict::unknown, 0, {}, error_code::not_repeated}),
               error_code::not_repeated,
               execution_state::unknown);
    call("c", "book", "1-x");
    checkError(send(claim_decided{request_id("c"), claim_verdict::refused, 0, {}, error_code::not_repeated}),
               error_code::not_repeated,
               execution_state::not_run);
    checkError(call("d", "book"), error_code::idempotency_key_required, execution_state::not_run);
}

// Guards against a view by caller group in which nobody ever waits.
TEST_CASE_METHOD(requests_fixture, "repeatable call, no runner free, is counted as queued", "[requests]")
{
    call("a", "status");
    m_fakes->freeRunners = {"d1", "d2"};
    call("b", "status");
    CHECK(m_fakes->queued == std::vector<request_id>{request_id("a")});
}

// Guards against not_run for a key that an earlier try ran at another entry VM: without the log this one can't know.
TEST_CASE_METHOD(requests_fixture, "claimed call, refused before the claim, is unknown", "[requests]")
{
    m_fakes->freeRunners = {"d1"};
    call("a", "book", "1-x");
    checkError(send(claim_decided{request_id("a"), claim_verdict::refused, 0, {}, error_code::log_unavailable}),
               error_code::log_unavailable,
               execution_state::unknown);
    send(stop_requested{});
    checkError(call("b", "book", "1-x"), error_code::shutting_down, execution_state::unknown);
    checkError(call("c", "status"), error_code::shutting_down, execution_state::not_run);
}

// Guards against a look-up that fails with one instance, and against retries without budget.
TEST_CASE_METHOD(requests_fixture, "repeatable call, answer lost, is retried within the budget", "[requests]")
{
    m_fakes->freeRunners = {"d1", "d2"};
    m_fakes->retriesLeft = 1;
    const auto first = one<start_call>(call("a", "status"));
    const auto second = one<start_call>(send(attempt_failed{first.attempt, attempt_failure::connection_lost}));
    CHECK(second.runner == runner_id("d2"));
    CHECK(send(call_answered{first.attempt, 200, "late"}).empty());
    checkError(send(attempt_failed{second.attempt, attempt_failure::connection_lost}),
               error_code::backend_failed,
               execution_state::unknown);
    CHECK(m_fakes->claimed.empty());
}

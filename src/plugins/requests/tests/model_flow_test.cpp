#include "plugins/requests/tests/requests_fixture.h"

using namespace crocuslane;

// Guards against an answer that ends before its bill is durable, and against a request that is never released from
// admission.
TEST_CASE_METHOD(requests_fixture, "model request, bill durable late, ends the answer only then", "[requests]")
{
    m_fakes->freeRunners = {"r1"};
    m_fakes->areBillsDurable = false;
    const auto start = one<start_attempt>(sendModelRequest("a"));
    const action_list first = send(token_received{start.attempt, 0, "one"});
    CHECK(one<begin_answer>(first).sessionToken == "session-small@1");
    CHECK(one<send_token>(first).text == "one");
    CHECK(all<finish_answer>(send(finished(start.attempt, 1))).empty());
    REQUIRE(m_fakes->bills.size() == 1);
    CHECK(m_fakes->bills.front().cost == 110);
    CHECK_FALSE(m_kernel.isIdle());
    CHECK(one<finish_answer>(send(bill_durable{request_id("a")})).usage.outputTokens == 1);
    CHECK(m_kernel.isIdle());
    CHECK(m_fakes->releases == 1);
}

// Guards against a caller that waits forever because the bill cannot be stored.
TEST_CASE_METHOD(requests_fixture, "model request, bill not durable, ends with bill_pending", "[requests]")
{
    m_fakes->freeRunners = {"r1"};
    m_fakes->areBillsDurable = false;
    const auto start = one<start_attempt>(sendModelRequest("a"));
    send(token_received{start.attempt, 0, "one"});
    send(finished(start.attempt, 1));
    checkError(advanceTime(std::chrono::seconds(2)), error_code::bill_pending, execution_state::ran);
    CHECK(m_fakes->bills.size() == 1);
    CHECK(send(bill_durable{request_id("a")}).empty());
}

// Guards against duplicate tokens, and tokens of an attempt that has ended, in the answer to the caller.
TEST_CASE_METHOD(requests_fixture, "model request, attempt lost, resumes at the next token", "[requests]")
{
    m_fakes->freeRunners = {"r1", "r2"};
    const auto first = one<start_attempt>(sendModelRequest("a"));
    send(token_received{first.attempt, 0, "one"});
    send(token_received{first.attempt, 1, "two"});
    CHECK(send(token_received{first.attempt, 1, "two"}).empty());
    const auto second = one<start_attempt>(send(attempt_failed{first.attempt, attempt_failure::connection_lost}));
    CHECK(second.runner == runner_id("r2"));
    CHECK(second.resumeFrom == 2);
    CHECK(second.version == first.version);
    CHECK(send(token_received{first.attempt, 2, "late"}).empty());
    CHECK(one<send_token>(send(token_received{second.attempt, 2, "three"})).index == 2);
    CHECK(one<finish_answer>(send(finished(second.attempt, 3))).usage.outputTokens == 3);
    CHECK(m_fakes->bills.size() == 1);
}

// Guards against an answer with missing tokens, in the middle or at the end.
TEST_CASE_METHOD(requests_fixture, "model request, token missing, continues on another runner", "[requests]")
{
    m_fakes->freeRunners = {"r1", "r2", "r3"};
    const auto first = one<start_attempt>(sendModelRequest("a"));
    send(token_received{first.attempt, 0, "one"});
    const action_list gap = send(token_received{first.attempt, 2, "three"});
    CHECK(all<send_token>(gap).empty());
    CHECK(one<cancel_attempt>(gap).attempt == first.attempt);
    const auto second = one<start_attempt>(gap);
    CHECK(second.resumeFrom == 1);
    CHECK(one<start_attempt>(send(finished(second.attempt, 2))).resumeFrom == 1);
}

// Guards against unlimited retries when many runners fail, and against a wrong execution state.
TEST_CASE_METHOD(requests_fixture, "model request, retry budget empty, ends with its execution state", "[requests]")
{
    m_fakes->freeRunners = {"r1", "r2", "r3"};
    m_fakes->remainingRetries = 0;
    const auto first = one<start_attempt>(sendModelRequest("a"));
    checkError(send(attempt_failed{first.attempt, attempt_failure::connection_lost}),
               error_code::backend_failed,
               execution_state::unknown);
    CHECK(m_fakes->bills.empty());
    const auto second = one<start_attempt>(sendModelRequest("b"));
    send(token_received{second.attempt, 0, "one"});
    checkError(send(attempt_failed{second.attempt, attempt_failure::connection_lost}),
               error_code::backend_failed,
               execution_state::ran);
    CHECK(m_fakes->bills.size() == 1);
}

// Guards against reporting anything but not_run when no attempt was sent, and against charging such retries to the
// budget.
TEST_CASE_METHOD(requests_fixture,
                 "model request, attempts never sent, is retried without budget and ends as not run",
                 "[requests]")
{
    m_fakes->freeRunners = {"r1", "r2", "r3", "r4", "r5"};
    m_fakes->remainingRetries = 0;
    attempt_number attempt = one<start_attempt>(sendModelRequest("a")).attempt;
    for (int retry = 0; retry < 3; ++retry) {
        attempt = one<start_attempt>(send(attempt_failed{attempt, attempt_failure::not_sent})).attempt;
    }
    checkError(
        send(attempt_failed{attempt, attempt_failure::not_sent}), error_code::backend_failed, execution_state::not_run);
}

// Guards against interleaved tokens of two attempts, and against a hedge without budget.
TEST_CASE_METHOD(requests_fixture, "model request, first token late, hedges once and keeps one attempt", "[requests]")
{
    m_fakes->freeRunners = {"r1", "r2", "r3"};
    m_fakes->hedgeAfter = std::chrono::milliseconds(50);
    const auto first = one<start_attempt>(sendModelRequest("a"));
    CHECK(advanceTime(std::chrono::milliseconds(49)).empty());
    const auto second = one<start_attempt>(advanceTime(std::chrono::milliseconds(1)));
    CHECK(second.runner == runner_id("r2"));
    const action_list token = send(token_received{second.attempt, 0, "one"});
    CHECK(one<cancel_attempt>(token).attempt == first.attempt);
    CHECK(m_fakes->endedAttempts.at(first.attempt) == attempt_failure::cancelled);
    CHECK(send(token_received{first.attempt, 0, "one"}).empty());
    CHECK(advanceTime(std::chrono::seconds(1)).empty());

    m_fakes->remainingHedges = 0;
    one<start_attempt>(sendModelRequest("b"));
    CHECK(advanceTime(std::chrono::seconds(1)).empty());
}

// Guards against an empty answer that is forwarded although another version may serve the request, and against omitting
// the cost of the empty answer from the bill.
TEST_CASE_METHOD(requests_fixture, "model request, empty answer, escalates to the next version", "[requests]")
{
    m_fakes->freeRunners = {"r1", "r2"};
    const auto first = one<start_attempt>(sendModelRequest("a"));
    const auto second = one<start_attempt>(send(finished(first.attempt, 0)));
    CHECK(second.version == version_id("large@1"));
    CHECK(one<begin_answer>(send(token_received{second.attempt, 0, "one"})).version == version_id("large@1"));
    one<finish_answer>(send(finished(second.attempt, 1)));
    CHECK(m_fakes->bills.front().cost == 100 + 110);
}

// Guards against a retry, hedge or escalation on a version that may no longer serve the request, although it could when
// the request was admitted.
TEST_CASE_METHOD(requests_fixture,
                 "model request, version withdrawn while it waits, is not started on it",
                 "[requests]")
{
    CHECK(sendModelRequest("a").empty());
    m_fakes->forbidden = {version_id("small@1")};
    m_fakes->freeRunners = {"r1"};
    CHECK(one<start_attempt>(send(capacity_changed{})).version == version_id("large@1"));

    m_fakes->forbidden = {version_id("small@1"), version_id("large@1")};
    m_fakes->freeRunners = {"r1"};
    checkError(sendModelRequest("b"), error_code::forbidden, execution_state::not_run);

    m_fakes->isBoundBySession = true;
    checkError(sendModelRequest("c"), error_code::session_version_withdrawn, execution_state::not_run);
}

// Guards against resuming an answer on another version, or on a version that may no longer serve the request.
TEST_CASE_METHOD(requests_fixture, "model request, version withdrawn during the answer, is not resumed", "[requests]")
{
    m_fakes->freeRunners = {"r1", "r2"};
    const auto first = one<start_attempt>(sendModelRequest("a"));
    send(token_received{first.attempt, 0, "one"});
    m_fakes->forbidden = {version_id("small@1")};
    checkError(send(attempt_failed{first.attempt, attempt_failure::connection_lost}),
               error_code::forbidden,
               execution_state::ran);
}

// Guards against starting a request on a VM whose configuration became stale while the request was queued.
TEST_CASE_METHOD(requests_fixture, "model request, configuration stale when it could start, is refused", "[requests]")
{
    CHECK(sendModelRequest("a").empty());
    m_fakes->isFresh = false;
    m_fakes->freeRunners = {"r1"};
    checkError(send(capacity_changed{}), error_code::configuration_unconfirmed, execution_state::not_run);
    checkError(sendModelRequest("b"), error_code::configuration_unconfirmed, execution_state::not_run);
}

// Guards against a request that is queued forever because no runner becomes free.
TEST_CASE_METHOD(requests_fixture,
                 "model request, no free runner, is refused after the queue timeout of its class",
                 "[requests]")
{
    m_fakes->work.urgency = request_class::interactive;
    sendModelRequest("a");
    CHECK(advanceTime(std::chrono::milliseconds(2999)).empty());
    checkError(advanceTime(std::chrono::milliseconds(1)), error_code::no_capacity, execution_state::not_run);
    CHECK(m_kernel.nextDeadline() == steady_time::max());
    CHECK(m_fakes->releases == 1);
}

// Guards against requests beyond the bound of their group that start before requests of groups within their bounds.
TEST_CASE_METHOD(requests_fixture,
                 "queued requests, different tiers and virtual starts, start by tier and then virtual start",
                 "[requests]")
{
    m_fakes->grants[request_id("excess")] = {admission_tier::excess, 0.0};
    m_fakes->grants[request_id("second")] = {admission_tier::within_bound, 2.0};
    m_fakes->grants[request_id("first")] = {admission_tier::within_bound, 1.0};
    sendModelRequest("excess");
    sendModelRequest("second");
    sendModelRequest("first");
    m_fakes->freeRunners = {"r1", "r2", "r3"};
    const std::vector<start_attempt> starts = all<start_attempt>(send(capacity_changed{}));
    REQUIRE(starts.size() == 3);
    CHECK(starts[0].request == request_id("first"));
    CHECK(starts[1].request == request_id("second"));
    CHECK(starts[2].request == request_id("excess"));
}

// Guards against an attempt that goes on after its caller has disconnected, and against tokens that were sent but not
// billed.
TEST_CASE_METHOD(requests_fixture,
                 "model request, abandoned, cancels its attempt and bills the tokens sent",
                 "[requests]")
{
    m_fakes->freeRunners = {"r1", "r2"};
    const auto first = one<start_attempt>(sendModelRequest("a"));
    send(token_received{first.attempt, 0, "one"});
    const action_list actions = send(request_abandoned{request_id("a")});
    CHECK(one<cancel_attempt>(actions).attempt == first.attempt);
    CHECK(actions.size() == 1);
    REQUIRE(m_fakes->bills.size() == 1);
    CHECK(m_fakes->bills.front().usage.outputTokens == 1);
    one<start_attempt>(sendModelRequest("b"));
    send(request_abandoned{request_id("b")});
    CHECK(m_fakes->bills.size() == 1);
    CHECK(m_kernel.isIdle());
}

// Guards against two concurrent requests with the same id.
TEST_CASE_METHOD(requests_fixture,
                 "model request, id in progress, is refused without effect on the first",
                 "[requests]")
{
    m_fakes->freeRunners = {"r1", "r2"};
    const auto first = one<start_attempt>(sendModelRequest("a"));
    checkError(sendModelRequest("a"), error_code::request_in_progress, execution_state::unknown);
    CHECK(one<send_token>(send(token_received{first.attempt, 0, "one"})).index == 0);
}

// Guards against a planned stop that interrupts a request, and against one that never completes.
TEST_CASE_METHOD(requests_fixture, "planned stop, request running, refuses new ones and drains", "[requests]")
{
    m_fakes->freeRunners = {"r1"};
    const auto first = one<start_attempt>(sendModelRequest("a"));
    sendModelRequest("waiting");
    send(stop_requested{});
    checkError(sendModelRequest("b"), error_code::shutting_down, execution_state::not_run);
    CHECK_FALSE(m_kernel.isIdle());
    m_fakes->freeRunners = {"r1"};
    send(token_received{first.attempt, 0, "one"});
    const action_list end = send(finished(first.attempt, 1));
    one<finish_answer>(end);
    const auto second = one<start_attempt>(end);
    send(finished(second.attempt, 0));
    m_fakes->freeRunners = {"r1"};
    const auto third = one<start_attempt>(send(capacity_changed{}));
    one<finish_answer>(send(finished(third.attempt, 0)));
    CHECK(m_kernel.isIdle());
}

// Guards against reporting not_run for a request that another entry VM has already run in part.
TEST_CASE_METHOD(requests_fixture, "model request continued from another VM, refused, is reported as ran", "[requests]")
{
    m_fakes->freeRunners = {"r1"};
    CHECK(one<start_attempt>(sendModelRequest("a", 7)).resumeFrom == 7);
    m_fakes->admitsRequests = false;
    checkError(sendModelRequest("b", 7), error_code::limit_exceeded, execution_state::ran);
    checkError(sendModelRequest("c"), error_code::limit_exceeded, execution_state::not_run);
}

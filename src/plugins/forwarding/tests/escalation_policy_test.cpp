#include "plugins/forwarding/escalation_policy.h"

#include <catch2/catch.hpp>

using namespace crocuslane;

namespace {

class escalation_fixture
{
protected:
    escalation_fixture()
    {
        m_estimate.objective = std::chrono::seconds(2);
        m_estimate.promptTokens = 800;
        m_estimate.outputTokens = 300;
    }

    escalation_estimate m_estimate;
};

} // namespace

// Guards against bad short answers that are kept although a better one is cheap: the load is a chat with short prompts
// and long answers.
TEST_CASE_METHOD(escalation_fixture,
                 "confidence, short prompt and long answer, must be well above even",
                 "[forwarding]")
{
    CHECK(requiredConfidence(m_estimate) > 60.0);
    m_estimate.confidence = 58;
    CHECK(shouldEscalate(m_estimate));
}

// Guards against the cost of the largest model where a prompt is long and its answer probably good: the load is reviews
// of 12,000 tokens.
TEST_CASE_METHOD(escalation_fixture, "confidence, long prompt, is sufficient from about even", "[forwarding]")
{
    m_estimate.promptTokens = 12'000;
    m_estimate.outputTokens = 380;
    const double required = requiredConfidence(m_estimate);
    CHECK(required > 50.0);
    CHECK(required < 60.0);
}

// Guards against the cost of the largest model for a few tokens of answer.
TEST_CASE_METHOD(escalation_fixture,
                 "confidence, short answer, is sufficient from less than a long one",
                 "[forwarding]")
{
    const double ofLongAnswer = requiredConfidence(m_estimate);
    m_estimate.outputTokens = 20;
    CHECK(requiredConfidence(m_estimate) < ofLongAnswer);
}

// Guards against prompts that occupy a runner for longer than their objective: the load is reviews of 30,000 to 55,000
// tokens, of which each would delay all requests of its runner by seconds and be late nevertheless.
TEST_CASE_METHOD(escalation_fixture, "answer, larger model late when idle, is kept at any confidence", "[forwarding]")
{
    m_estimate.promptTokens = 50'000;
    m_estimate.prefillTime = std::chrono::milliseconds(2100);
    CHECK_FALSE(shouldEscalate(m_estimate));
    m_estimate.prefillTime = std::chrono::milliseconds(1500);
    CHECK(shouldEscalate(m_estimate));
}

// Guards against escalation while runners are so busy that its answer would be late: the load is a burst of prompts.
TEST_CASE_METHOD(escalation_fixture, "answer, larger model late because of the queue, is kept", "[forwarding]")
{
    m_estimate.elapsed = std::chrono::milliseconds(700);
    m_estimate.prefillTime = std::chrono::milliseconds(600);
    m_estimate.queueingDelay = std::chrono::milliseconds(600);
    CHECK(shouldEscalate(m_estimate));
    m_estimate.queueingDelay = std::chrono::milliseconds(800);
    CHECK_FALSE(shouldEscalate(m_estimate));
}

// Guards against ever more escalations while delays grow.
TEST_CASE_METHOD(escalation_fixture, "confidence, larger expected delay, may be lower", "[forwarding]")
{
    const double whenIdle = requiredConfidence(m_estimate);
    m_estimate.expectedDelay = std::chrono::seconds(1);
    const double whenBusy = requiredConfidence(m_estimate);
    CHECK(whenBusy < whenIdle);
    m_estimate.expectedDelay = std::chrono::seconds(10);
    CHECK(requiredConfidence(m_estimate) < whenBusy);
    CHECK(requiredConfidence(m_estimate) > 0.0);
}

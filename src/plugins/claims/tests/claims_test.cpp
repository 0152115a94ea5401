#include "plugins/appends/appends_plugin.h"
#include "plugins/claims/claims_plugin.h"
#include "support/log_harness.h"

#include <catch2/catch.hpp>

using namespace crocuslane;
using namespace std::chrono_literals;

namespace {

/// Collects the decisions that the claims plug-in posts.
class decision_collector : public plugin
{
public:
    explicit decision_collector(std::vector<claim_decided> &decisions)
        : m_decisions(decisions)
    {
    }

    std::string_view name() const override
    {
        return "collector";
    }

    void initialize(plugin_context & /*context*/) override
    {
    }

    void handle(const event &event, action_list & /*actions*/) override
    {
        if (const auto *decided = std::get_if<claim_decided>(&event)) {
            m_decisions.push_back(*decided);
        }
    }

private:
    std::vector<claim_decided> &m_decisions;
};

struct test_vm {
    test_vm(manual_clock &clock, fake_log &log, const std::string &id)
        : harness(clock, log, id)
    {
        harness.kernel().add(std::make_unique<appends_plugin>());
        harness.kernel().add(std::make_unique<claims_plugin>());
        harness.kernel().add(std::make_unique<decision_collector>(decisions));
        harness.start();
    }

    claim_registry &registry()
    {
        return harness.kernel().services().find<claim_registry>();
    }

    void claim(const std::string &request, const std::string &key, const std::string &body = "b")
    {
        registry().claim({request_id(request), {}, {}, operation_id("book"), key, body}, {organisation_id("o"), {}});
        harness.handle(timer_expired{});
    }

    claim_decided lastDecision() const
    {
        REQUIRE_FALSE(decisions.empty());
        return decisions.back();
    }

    std::vector<claim_decided> decisions;
    log_harness harness;
};

/// Two VMs on one log.
class claims_fixture
{
protected:
    /// Idempotency key with a time @p age ago.
    std::string key(std::chrono::seconds age = 0s) const
    {
        return std::to_string(unixMilliseconds(m_clock.systemNow() - age) / 1000) + "-k";
    }

    void runBoth(int milliseconds)
    {
        for (int step = 0; step < milliseconds; ++step) {
            m_first.harness.run(1ms);
            m_second.harness.step();
        }
    }

    manual_clock m_clock;
    fake_log m_log{m_clock};
    test_vm m_first{m_clock, m_log, "vm1"};
    test_vm m_second{m_clock, m_log, "vm2"};
};

} // namespace

// Guards against two VMs that both run a call, and against a repeated call that doesn't receive the stored outcome.
TEST_CASE_METHOD(claims_fixture, "claims, one key at two VMs, one claim granted", "[claims]")
{
    m_first.claim("r1", key());
    m_second.claim("r2", key());
    CHECK(m_first.decisions.empty());
    runBoth(30);
    CHECK(m_first.lastDecision().verdict == claim_verdict::granted);
    CHECK(m_second.lastDecision().verdict == claim_verdict::unknown);
    CHECK(m_first.registry().confirmSend(request_id("r1")));
    m_first.registry().recordOutcome(request_id("r1"), 201, "booked");
    runBoth(30);
    m_second.claim("r3", key());
    runBoth(1);
    CHECK(m_second.lastDecision().verdict == claim_verdict::stored);
    CHECK(m_second.lastDecision().body == "booked");
    m_second.claim("r4", key(), "another body");
    runBoth(1);
    CHECK(m_second.lastDecision().verdict == claim_verdict::refused);
    CHECK(m_second.lastDecision().reason == error_code::idempotency_key_conflict);
    CHECK(m_first.harness.kernel().isIdle());
}

// Guards against a second grant for a repeated request with the same request id and key.
TEST_CASE_METHOD(claims_fixture, "claims, request repeated at the same VM, granted once", "[claims]")
{
    m_first.claim("r1", key());
    runBoth(30);
    m_first.registry().recordOutcome(request_id("r1"), 0, {});
    m_first.claim("r1", key());
    runBoth(30);
    CHECK(m_first.lastDecision().verdict == claim_verdict::unknown);
}

// Guards against reporting a call as not run while its claim may be in the log, and against sending it late.
TEST_CASE_METHOD(claims_fixture,
                 "claims, log unavailable after the append was sent, unknown and call never sent",
                 "[claims]")
{
    m_first.harness.losesAnswers = true;
    m_first.claim("r1", key());
    m_clock.advance(10ms);
    m_first.harness.handle(timer_expired{});
    m_first.harness.isLogUp = false;
    m_first.harness.run(11s);
    CHECK(m_first.lastDecision().verdict == claim_verdict::unknown);
    m_first.harness.isLogUp = true;
    runBoth(2000);
    CHECK(m_first.decisions.size() == 1);
    CHECK_FALSE(m_first.registry().confirmSend(request_id("r1")));
    m_second.claim("r2", key(13s));
    runBoth(10);
    CHECK(m_second.lastDecision().verdict == claim_verdict::refused);
}

// Guards against a request that waits although the log is known to be unavailable.
TEST_CASE_METHOD(claims_fixture, "claims, log unavailable, refused as not run", "[claims]")
{
    m_first.harness.isLogUp = false;
    m_first.harness.run(300ms);
    m_first.claim("r1", key());
    m_first.harness.run(1ms);
    CHECK(m_first.lastDecision().verdict == claim_verdict::refused);
    CHECK(m_first.lastDecision().reason == error_code::log_unavailable);
}

// Guards against a process that resumes from a pause and sends a call that its caller has given up.
TEST_CASE_METHOD(claims_fixture, "claims, process paused after the grant, does not send", "[claims]")
{
    m_first.claim("r1", key());
    runBoth(30);
    m_clock.advance(11s);
    CHECK_FALSE(m_first.registry().confirmSend(request_id("r1")));
    runBoth(30);
    m_second.claim("r2", key(11s));
    runBoth(1);
    CHECK(m_second.lastDecision().verdict == claim_verdict::refused);
}

// Guards against running a call again after the first claim of its key was removed from the log.
TEST_CASE_METHOD(claims_fixture, "claims, first claim removed from the log, later one not granted", "[claims]")
{
    const std::string used = key();
    m_first.claim("r1", used);
    runBoth(30);
    m_clock.advance(30min);
    m_first.claim("r2", key());
    runBoth(30);
    m_log.removeBefore(m_clock.systemNow() - 1min);
    test_vm started(m_clock, m_log, "vm3");
    started.claim("r3", used);
    started.harness.run(30ms);
    CHECK(started.lastDecision().verdict == claim_verdict::unknown);
    m_clock.advance(31min);
    m_first.claim("r4", used);
    runBoth(30);
    CHECK(m_first.lastDecision().verdict == claim_verdict::unknown);
    m_first.claim("r5", key(2h));
    runBoth(30);
    CHECK(m_first.lastDecision().verdict == claim_verdict::unknown);
    CHECK(m_first.lastDecision().reason == error_code::idempotency_key_expired);
}

// Guards against accepting an idempotency key without a valid time, whose age could not be checked.
TEST_CASE_METHOD(claims_fixture, "claims, malformed key, refused", "[claims]")
{
    for (const std::string &bad : {std::string("abc"),
                                   std::string("-x"),
                                   std::string("1750000000"),
                                   std::string("99999999999999999999-x"),
                                   std::string("1750000000-")}) {
        m_first.claim("r-" + bad, bad);
        runBoth(1);
        CHECK(m_first.lastDecision().reason == error_code::bad_request);
    }
}

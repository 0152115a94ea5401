#include "plugins/forwarding/retry_budget.h"

#include <catch2/catch.hpp>

using namespace crocuslane;

namespace {

class retry_budget_fixture
{
protected:
    void request(int count)
    {
        for (int index = 0; index < count; ++index) {
            m_retryBudget.recordRequest(m_service, m_clock.steadyNow());
        }
    }

    int take(int wanted, std::size_t vmCount)
    {
        int taken = 0;
        for (int index = 0; index < wanted; ++index) {
            taken += m_retryBudget.tryTake(m_service, vmCount, m_clock.steadyNow()) ? 1 : 0;
        }
        return taken;
    }

    manual_clock m_clock;
    service_id m_service{"model"};
    retry_budget m_retryBudget{{0.9, 52.0, std::chrono::seconds(10)}};
};

} // namespace

// Guards against a retry storm when all requests of a VM fail.
TEST_CASE_METHOD(retry_budget_fixture, "budget, every request fails, stays within share and allowance", "[forwarding]")
{
    request(100);
    const int taken = take(1000, 6);
    CHECK(taken > 50);
    CHECK(taken <= 0.9 * 100 + 52.0 / 6);
}

// Guards against an allowance that every VM uses in full, so that all VMs together exceed the limit.
TEST_CASE_METHOD(retry_budget_fixture, "budget, no own requests, allowance is divided by the VMs", "[forwarding]")
{
    CHECK(6 * take(100, 6) <= 52);
    CHECK(m_retryBudget.tryTake(service_id("other"), 6, m_clock.steadyNow()));
}

// Guards against retries that count after the end of their window, or that stop counting before it.
TEST_CASE_METHOD(retry_budget_fixture,
                 "budget, window slides, retries before the window no longer count",
                 "[forwarding]")
{
    request(100);
    take(1000, 6);
    m_clock.advance(std::chrono::seconds(5));
    CHECK(take(10, 6) == 0);
    m_clock.advance(std::chrono::seconds(6));
    CHECK(take(100, 6) > 0);
}

#include "plugins/backends/prefill_speed.h"
#include "plugins/backends/prompt_cache.h"

#include <catch2/catch.hpp>

using namespace crocuslane;

namespace {

class prompt_cache_fixture
{
protected:
    manual_clock m_clock;
    prompt_cache m_cache;
    std::vector<prompt_part> m_prompt{{1, 500}, {2, 4000}, {3, 700}};

    std::uint32_t cached(const std::vector<prompt_part> &prompt)
    {
        return m_cache.cachedTokens(prompt, m_clock.steadyNow());
    }

    void add(const std::vector<prompt_part> &prompt, std::uint64_t memory = 100'000)
    {
        m_cache.add(prompt, memory, m_clock.steadyNow());
    }
};

} // namespace

// Guards against counting a cached part although a part before it is not cached.
TEST_CASE_METHOD(prompt_cache_fixture, "prompt cache, part missing, later parts don't count", "[backends]")
{
    add(m_prompt);
    CHECK(cached(m_prompt) == 5200);
    CHECK(cached({{1, 500}, {9, 100}, {3, 700}}) == 500);
    CHECK(cached({{9, 100}, {2, 4000}}) == 0);
}

// Guards against an estimate that exceeds the memory of the runner.
TEST_CASE_METHOD(prompt_cache_fixture, "prompt cache, memory full, evicts the least recently used parts", "[backends]")
{
    add({{1, 500}, {2, 4000}}, 6000);
    add({{1, 500}, {4, 1800}}, 6000);
    CHECK(cached({{1, 500}, {4, 1800}}) == 2300);
    CHECK(cached({{1, 500}, {2, 4000}}) == 500);
}

// Guards against counting parts that the runner has probably evicted.
TEST_CASE_METHOD(prompt_cache_fixture,
                 "prompt cache, part unused for more than its lifetime, no longer counts",
                 "[backends]")
{
    add(m_prompt);
    m_clock.advance(std::chrono::seconds(61));
    CHECK(cached(m_prompt) == 0);
    add(m_prompt);
    m_cache.clear();
    CHECK(cached(m_prompt) == 0);
}

// Guards against one speed for all models: a large model prefills several times slower.
TEST_CASE("prefill speed, two models measured, are estimated separately", "[backends]")
{
    prefill_speed speed;
    for (int round = 0; round < 200; ++round) {
        speed.addMeasurement("small", 6000, std::chrono::milliseconds(20));
        speed.addMeasurement("large", 6000, std::chrono::milliseconds(200));
        speed.addMeasurement("large", 10, std::chrono::milliseconds(200));
    }
    CHECK(speed.timeFor("small", 3000) < std::chrono::milliseconds(12));
    CHECK(speed.timeFor("large", 3000) > std::chrono::milliseconds(90));
}

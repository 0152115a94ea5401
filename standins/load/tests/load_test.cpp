#include "load/load_plan.h"
#include "load/time_histogram.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace crocuslane;
using namespace std::chrono_literals;

namespace {

class load_plan_fixture
{
protected:
    /// Draws @p count requests and returns their number by kind.
    std::map<std::string, unsigned> drawKinds(const std::string &example, unsigned count)
    {
        load_plan plan(std::string(CROCUSLANE_SOURCE_FOLDER) + "/examples/" + example, {}, random);
        std::map<std::string, unsigned> kinds;
        for (unsigned index = 0; index < count; ++index) {
            const planned_request request = plan.next();
            ++kinds[request.kind];
            keys.insert(request.key);
            if (request.isModelRequest) {
                CHECK(request.answerTokens > 0);
                CHECK(request.idempotencyKey.empty());
            }
        }
        return kinds;
    }

    seeded_random random{1};
    std::set<std::string> keys;
};

} // namespace

// Guards against quantiles that deviate by more than the resolution of the histogram.
TEST_CASE("time histogram, evenly spread times, quantiles are within the resolution", "[load]")
{
    time_histogram times;
    CHECK(times.quantile(0.5) == 0.0);
    for (int millisecond = 1; millisecond <= 1000; ++millisecond) {
        times.add(std::chrono::milliseconds(millisecond));
    }
    CHECK(times.quantile(0.50) == Approx(500.0).epsilon(0.02));
    CHECK(times.quantile(0.99) == Approx(990.0).epsilon(0.02));
    times.add(2h);
    CHECK(times.count() == 1001);
    CHECK(times.quantile(1.0) == Approx(3.6e6).epsilon(0.02));
}

// Guards against a mix without long requests or calls of plain services, and against keys of a single caller group.
TEST_CASE_METHOD(load_plan_fixture, "load plan, ironworks example, draws kinds by their shares", "[load]")
{
    auto kinds = drawKinds("ironworks.ini", 10000);
    CHECK(kinds["condition-tag"] == Approx(6000).epsilon(0.05));
    CHECK(kinds["counter-question"] == Approx(3300).epsilon(0.05));
    CHECK(kinds["restoration-plan"] == Approx(300).epsilon(0.3));
    CHECK(kinds["oven-booking"] > 100);
    CHECK(kinds["pan-status"] > 100);
    CHECK(keys.size() > 10);
    CHECK(keys.count("dev-operator") == 0);
}

// Guards against a configuration text that the plan can't read.
TEST_CASE_METHOD(load_plan_fixture, "load plan, rimal example, draws kinds by their shares", "[load]")
{
    auto kinds = drawKinds("rimal.ini", 10000);
    CHECK(kinds["species-check"] > 5000);
    CHECK(kinds["survey-review"] > 100);
    CHECK(kinds["tanker-dispatch"] > 50);
    CHECK(kinds.size() == 6);
}

// Guards against a rate of requests without peaks.
TEST_CASE_METHOD(load_plan_fixture, "load plan, within one period, rate rises four-fold and falls back", "[load]")
{
    load_shape shape;
    shape.requestsPerSecond = 10.0;
    const load_plan plan(std::string(CROCUSLANE_SOURCE_FOLDER) + "/examples/ironworks.ini", shape, random);
    CHECK(plan.rate(5s) == Approx(10.0));
    CHECK(plan.rate(11s) == Approx(25.0));
    CHECK(plan.rate(13s) == Approx(40.0));
    CHECK(plan.rate(18s) == Approx(10.0));
    CHECK(plan.rate(33s) == Approx(40.0));
}

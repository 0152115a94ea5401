#include "enginemodel/answer_text.h"
#include "enginemodel/engine_model.h"

#include <catch2/catch.hpp>

using namespace crocuslane;
using namespace std::chrono_literals;

namespace {

const version_id goodVersion("small@1");
const version_id otherVersion("small@2");
constexpr duration timeBound = 24h;

class engine_model_fixture
{
protected:
    engine_model_fixture()
    {
        settings.slots = 2;
        settings.tokenTime = 10ms;
        settings.slowdownPerRequest = 0.5;
        settings.prefillTime = 1ms;
        settings.versions = {goodVersion};
        settings.loadReportInterval = 100ms;
        settings.loadReportLag = 50ms;
        settings.cacheEventDelay = 100ms;
    }

    engine_request request(std::uint64_t id, std::uint32_t promptTokens, std::uint32_t answerTokens) const
    {
        engine_request result;
        result.id = id;
        result.version = goodVersion;
        result.promptTokens = promptTokens;
        result.answerTokens = answerTokens;
        result.contentHash = id;
        return result;
    }

    /// Advances the engine from event to event up to @p until and returns all events.
    static std::vector<engine_event> runUntil(engine_model &engine, steady_time until)
    {
        std::vector<engine_event> events;
        while (engine.nextEventTime() <= until) {
            const auto &step = engine.advanceTo(engine.nextEventTime());
            events.insert(events.end(), step.begin(), step.end());
        }
        return events;
    }

    static std::vector<engine_event> runToEnd(engine_model &engine, steady_time start)
    {
        return runUntil(engine, start + timeBound);
    }

    static steady_time finishTime(const std::vector<engine_event> &events, std::uint64_t request)
    {
        for (const engine_event &event : events) {
            if (event.request == request && event.kind == engine_event_kind::finished) {
                return event.time;
            }
        }
        return steady_time::max();
    }

    engine_settings settings;
    steady_time start{1000s};
};

} // namespace

// Guards against a wrong duration of prefill or decoding for a single request.
TEST_CASE_METHOD(engine_model_fixture, "engine model, one request, takes prefill plus decoding", "[enginemodel]")
{
    engine_model engine(settings, start);
    REQUIRE(engine.submit(request(1, 100, 5), start) == submit_result::accepted);
    const auto events = runToEnd(engine, start);
    REQUIRE(events.size() == 6);
    CHECK(events[0].time == start + 110ms);
    CHECK(events[0].index == 0);
    CHECK(events[4].time == start + 150ms);
    CHECK(events[4].index == 4);
    CHECK(events[5].kind == engine_event_kind::finished);
    CHECK(events[5].usage.outputTokens == 5);
    CHECK(events[5].reason == finish_reason::stop);
}

// Guards against concurrent requests that each decode as fast as a single request.
TEST_CASE_METHOD(engine_model_fixture, "engine model, two requests at once, slow each other down", "[enginemodel]")
{
    engine_model engine(settings, start);
    engine.submit(request(1, 0, 10), start);
    engine.submit(request(2, 0, 10), start);
    const auto events = runToEnd(engine, start);
    CHECK(finishTime(events, 1) == start + 150ms);
    CHECK(finishTime(events, 2) == start + 150ms);
}

// Guards against a queue that ignores priorities, and against more running requests than slots.
TEST_CASE_METHOD(engine_model_fixture,
                 "engine model, all slots used, most urgent request starts first",
                 "[enginemodel]")
{
    settings.slots = 1;
    engine_model engine(settings, start);
    engine.submit(request(1, 0, 10), start);
    engine_request lessUrgent = request(2, 0, 10);
    lessUrgent.priority = 2;
    engine.submit(lessUrgent, start);
    engine.submit(request(3, 0, 10), start);
    CHECK(engine.currentLoad().queued == 2);
    const auto events = runToEnd(engine, start);
    CHECK(finishTime(events, 1) == start + 100ms);
    CHECK(finishTime(events, 3) == start + 200ms);
    CHECK(finishTime(events, 2) == start + 300ms);
}

// Guards against an unbounded queue.
TEST_CASE_METHOD(engine_model_fixture, "engine model, full queue, further request is rejected", "[enginemodel]")
{
    settings.slots = 1;
    settings.maximumQueue = 1;
    engine_model engine(settings, start);
    CHECK(engine.submit(request(1, 0, 10), start) == submit_result::accepted);
    CHECK(engine.submit(request(2, 0, 10), start) == submit_result::accepted);
    CHECK(engine.submit(request(3, 0, 10), start) == submit_result::queue_full);
    CHECK(engine.totals().rejected == 1);
}

// Guards against values of tokensPerEvent that change when answers end or which tokens are reported.
TEST_CASE_METHOD(engine_model_fixture,
                 "engine model, any number of tokens per event, same times and tokens",
                 "[enginemodel]")
{
    for (const std::uint32_t tokensPerEvent : {1U, 7U, wholeAnswer}) {
        settings.tokensPerEvent = tokensPerEvent;
        engine_model engine(settings, start);
        engine.submit(request(1, 10, 20), start);
        engine.submit(request(2, 0, 30), start + 35ms);
        const auto events = runToEnd(engine, start);
        CHECK(events.front().count == 1);
        CHECK(finishTime(events, 1) == start + 297500us);
        CHECK(finishTime(events, 2) == start + 422500us);
        std::uint32_t next = 0;
        for (const engine_event &event : events) {
            if (event.request == 2 && event.kind == engine_event_kind::tokens) {
                CHECK(event.index == next);
                next += event.count;
            }
        }
        CHECK(next == 30);
    }
}

// Guards against cached prefixes that are prefilled again, and against a cache shared between versions.
TEST_CASE_METHOD(engine_model_fixture, "engine model, repeated prefix, is prefilled once per version", "[enginemodel]")
{
    settings.versions.insert(otherVersion);
    engine_model engine(settings, start);
    engine_request first = request(1, 200, 1);
    first.prefixHashes = {11, 12, 13};
    engine.submit(first, start);
    runToEnd(engine, start);

    const steady_time later = start + 1s;
    engine_request second = first;
    second.id = 2;
    second.prefixHashes = {11, 12, 99};
    engine.submit(second, later);
    const auto events = runToEnd(engine, later);
    CHECK(events.back().usage.cachedPromptTokens == 128);
    CHECK(events.back().time == later + 72ms + 10ms);

    engine_request third = first;
    third.id = 3;
    third.version = otherVersion;
    engine.submit(third, start + 2s);
    CHECK(runToEnd(engine, later).back().usage.cachedPromptTokens == 0);
}

// Guards against a cache without a limit and against the eviction of recently used blocks.
TEST_CASE_METHOD(engine_model_fixture,
                 "engine model, full cache, evicts the least recently used block",
                 "[enginemodel]")
{
    settings.cacheBlocks = 2;
    engine_model engine(settings, start);
    engine.importPrefix(goodVersion, {1}, start);
    engine.importPrefix(goodVersion, {2}, start);
    engine.importPrefix(goodVersion, {1}, start);
    engine.importPrefix(goodVersion, {3}, start);
    CHECK(engine.isCached(goodVersion, 1));
    CHECK_FALSE(engine.isCached(goodVersion, 2));
    CHECK(engine.isCached(goodVersion, 3));
    CHECK(engine.cacheEvents(0, start).empty());
    const auto events = engine.cacheEvents(0, start + 100ms);
    REQUIRE(events.size() == 4);
    CHECK(events[2].evicted);
    CHECK(events[2].prefixHash == 2);
    CHECK(engine.cacheEvents(4, start + 100ms).size() == 1);
}

// Guards against a cacheEventLoss that has no effect.
TEST_CASE_METHOD(engine_model_fixture,
                 "engine model, loss of cache events set, that share of events is missing",
                 "[enginemodel]")
{
    settings.cacheEventLoss = 0.5;
    engine_model engine(settings, start);
    std::vector<std::uint64_t> prefix(200);
    for (std::size_t index = 0; index < prefix.size(); ++index) {
        prefix[index] = index + 1;
    }
    engine.importPrefix(goodVersion, prefix, start);
    const auto events = engine.cacheEvents(0, start + 1s);
    CHECK(events.size() > 60);
    CHECK(events.size() < 140);
}

// Guards against a resumed stream that repeats or skips a token or whose text differs.
TEST_CASE_METHOD(engine_model_fixture, "engine model, resumed request, continues at the next token", "[enginemodel]")
{
    engine_model engine(settings, start);
    engine_request resumed = request(1, 10, 20);
    resumed.resumeFrom = 15;
    engine.submit(resumed, start);
    const auto events = runToEnd(engine, start);
    REQUIRE(events.size() == 6);
    CHECK(events.front().index == 15);
    CHECK(events.front().time == start + 35ms);
    CHECK(events.back().usage.outputTokens == 20);
    CHECK(answerToken(goodVersion, 5, 15, false) == answerToken(goodVersion, 5, 15, false));
    CHECK(answerToken(goodVersion, 5, 15, true).front() == wrongTokenPrefix);
}

// Guards against events of cancelled requests, and against slots that they still occupy.
TEST_CASE_METHOD(engine_model_fixture, "engine model, cancelled requests, end without an event", "[enginemodel]")
{
    settings.slots = 1;
    engine_model engine(settings, start);
    engine.submit(request(1, 0, 100), start);
    engine.submit(request(2, 0, 100), start);
    engine.submit(request(3, 0, 1), start);
    CHECK(engine.cancel(2, start) == 0U);
    CHECK(engine.cancel(1, start + 45ms) == 4U);
    CHECK_FALSE(engine.cancel(1, start + 45ms).has_value());
    const auto events = runToEnd(engine, start);
    CHECK(finishTime(events, 1) == steady_time::max());
    CHECK(finishTime(events, 2) == steady_time::max());
    CHECK(finishTime(events, 3) == start + 55ms);
    CHECK(engine.totals().generatedTokens == 5);
}

// Guards against an order of a former lease holder that takes effect although fencing numbers are checked.
TEST_CASE_METHOD(engine_model_fixture,
                 "engine model, order with an old fencing number, is refused only if checked",
                 "[enginemodel]")
{
    settings.loadTime = 1s;
    {
        engine_model engine(settings, start);
        CHECK(engine.order(7, {goodVersion, otherVersion}, start));
        CHECK_FALSE(engine.order(6, {goodVersion}, start));
        CHECK(engine.submit(
                  [this] {
                      auto result = request(1, 0, 1);
                      result.version = otherVersion;
                      return result;
                  }(),
                  start)
              == submit_result::version_not_loaded);
        engine.advanceTo(start + 1s);
        CHECK(engine.currentLoad().versions == std::set<version_id>{goodVersion, otherVersion});
    }
    settings.checksFencing = false;
    engine_model engine(settings, start);
    CHECK(engine.order(7, {goodVersion, otherVersion}, start));
    CHECK(engine.order(6, {goodVersion}, start));
    engine.advanceTo(start + 10s);
    CHECK(engine.currentLoad().versions == std::set<version_id>{goodVersion});
}

// Guards against an unload that interrupts requests in progress.
TEST_CASE_METHOD(engine_model_fixture, "engine model, unloaded version, finishes its requests", "[enginemodel]")
{
    engine_model engine(settings, start);
    engine.submit(request(1, 0, 10), start);
    engine.order(1, {}, start + 20ms);
    CHECK(engine.submit(request(2, 0, 10), start + 20ms) == submit_result::version_not_loaded);
    CHECK(finishTime(runToEnd(engine, start), 1) == start + 100ms);
}

// Guards against load reports that are readable before the configured lag.
TEST_CASE_METHOD(engine_model_fixture, "engine model, load report, is readable after the lag", "[enginemodel]")
{
    engine_model engine(settings, start);
    engine.advanceTo(start + 10ms);
    engine.submit(request(1, 0, 1000), start + 10ms);
    CHECK(engine.loadReport(start + 120ms).slotsUsed == 0);
    CHECK(engine.loadReport(start + 120ms).age == 120ms);
    CHECK(engine.loadReport(start + 150ms).slotsUsed == 1);
    CHECK(engine.loadReport(start + 150ms).age == 50ms);
}

// Guards against a slow period that ends late, or that affects work done before it.
TEST_CASE_METHOD(engine_model_fixture, "engine model, slow period, delays only the work within it", "[enginemodel]")
{
    engine_model engine(settings, start);
    engine.addSlowPeriod(start + 50ms, start + 100ms, 5.0);
    engine.submit(request(1, 0, 20), start);
    CHECK(finishTime(runToEnd(engine, start), 1) == start + 50ms + 50ms + 140ms);
}

// Guards against faults of a version that have no effect on its answers.
TEST_CASE_METHOD(engine_model_fixture, "engine model, faulty version, answers wrong, slow or empty", "[enginemodel]")
{
    engine_model engine(settings, start);
    engine.setFault(goodVersion, {version_fault_kind::wrong, 1.0, 1.0});
    engine.submit(request(1, 0, 10), start);
    CHECK(runToEnd(engine, start).back().isWrong);

    engine.setFault(goodVersion, {version_fault_kind::slow, 1.0, 4.0});
    engine.submit(request(2, 0, 10), start + 1s);
    CHECK(finishTime(runToEnd(engine, start), 2) == start + 1400ms);

    engine.setFault(goodVersion, {version_fault_kind::empty, 1.0, 1.0});
    engine.submit(request(3, 0, 10), start + 2s);
    const auto empty = runToEnd(engine, start);
    REQUIRE(empty.size() == 1);
    CHECK(empty.back().usage.outputTokens == 0);

    engine.setFault(goodVersion, {version_fault_kind::empty, 0.5, 1.0});
    for (std::uint64_t id = 10; id < 110; ++id) {
        engine.submit(request(id, 0, 1), start + 3s);
    }
    std::size_t emptyAnswers = 0;
    for (const engine_event &event : runToEnd(engine, start)) {
        emptyAnswers += event.kind == engine_event_kind::finished && event.usage.outputTokens == 0 ? 1 : 0;
    }
    CHECK(emptyAnswers > 30);
    CHECK(emptyAnswers < 70);
}

// Guards against requests or cache blocks that survive a restart of the process.
TEST_CASE_METHOD(engine_model_fixture, "engine model, restarted, has no requests and an empty cache", "[enginemodel]")
{
    engine_model engine(settings, start);
    engine.importPrefix(goodVersion, {1}, start);
    for (std::uint64_t id = 1; id < 6; ++id) {
        engine.submit(request(id, 0, 100), start);
    }
    engine.restart(start + 5ms);
    CHECK(engine.currentLoad().slotsUsed == 0);
    CHECK(engine.currentLoad().queued == 0);
    CHECK_FALSE(engine.isCached(goodVersion, 1));
    CHECK(engine.nextEventTime() == steady_time::max());
    CHECK(engine.submit(request(9, 0, 1), start + 10ms) == submit_result::accepted);
    CHECK(finishTime(runToEnd(engine, start), 9) == start + 20ms);
}

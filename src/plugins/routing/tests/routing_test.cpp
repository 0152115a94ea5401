#include "kernel/kernel.h"
#include "services/runner_picker.h"

#include <catch2/catch.hpp>

using namespace crocuslane;

namespace {

class null_timeline : public timeline_recorder
{
public:
    void record(timeline_kind /*kind*/, const request_id & /*request*/, std::string /*detail*/) override
    {
    }
};

/// The routing plug-in of one entry VM. Each runner has four slots.
class routing_fixture
{
protected:
    routing_fixture()
    {
        m_kernel.add(makePlugin("routing"));
        m_kernel.start();
        m_picker = &m_kernel.services().find<runner_picker>();
    }

    static vm_entry createEntry(const std::string &id, const std::string &region = "home")
    {
        vm_entry created;
        created.id = id;
        created.role = vm_role::model;
        created.service = testService;
        created.address = "192.0.2.1:" + std::to_string(id.size());
        created.region = region;
        return created;
    }

    void readList(const std::vector<vm_entry> &entries)
    {
        m_kernel.handle(vm_list_read{entries});
    }

    void reportLoad(const std::string &id, std::uint32_t used = 0, backend_state state = backend_state::live)
    {
        m_kernel.handle(runner_load_reported{{runner_id(id), 4, used, 0, {testVersion}, {}, state}});
    }

    void addRunners(const std::vector<std::string> &ids)
    {
        std::vector<vm_entry> entries;
        entries.reserve(ids.size());
        for (const std::string &id : ids) {
            entries.push_back(createEntry(id));
        }
        readList(entries);
        for (const std::string &id : ids) {
            reportLoad(id);
        }
    }

    static pick_request request(bool isLong = false)
    {
        pick_request created;
        created.service = testService;
        created.version = testVersion;
        created.work.isLong = isLong;
        created.work.outputTokens = 100;
        return created;
    }

    std::string pick(const pick_request &pickRequest)
    {
        const std::optional<runner_choice> choice = m_picker->pick(pickRequest);
        return choice ? choice->runner.value() : std::string();
    }

    attempt_number startAttempt(const std::string &runner, const pick_request &started = request())
    {
        m_picker->attemptStarted(++m_lastAttempt, started, runner_id(runner));
        return m_lastAttempt;
    }

    /// Runners chosen in @p count picks.
    std::set<std::string> pickMany(const pick_request &pickRequest, int count = 50)
    {
        std::set<std::string> chosen;
        for (int index = 0; index < count; ++index) {
            chosen.insert(pick(pickRequest));
        }
        return chosen;
    }

    static inline const service_id testService{"answers"};
    static inline const version_id testVersion{"small@1"};
    manual_clock m_clock;
    seeded_random m_random{1};
    null_timeline m_timeline;
    kernel m_kernel{{m_clock, m_random, {vm_id("vm-1"), 1, "zone", "home", {}, {}}, {}, m_timeline}};
    runner_picker *m_picker = nullptr;
    attempt_number m_lastAttempt = 0;
};

} // namespace

// Guards against long requests that use every slot of a runner, so that a short request has to wait.
TEST_CASE_METHOD(routing_fixture, "pick, long requests use most slots, reserves one for short requests", "[routing]")
{
    addRunners({"a"});
    for (int running = 0; running < 3; ++running) {
        CHECK(pick(request(true)) == "a");
        startAttempt("a", request(true));
    }
    CHECK(pick(request(true)).empty());
    CHECK(pick(request()) == "a");
    startAttempt("a");
    CHECK(pick(request()).empty());
    CHECK(m_picker->hasRunner(testService, testVersion));
}

// Guards against new requests on a leaving runner, and against an outdated source that clears what another one
// reported.
TEST_CASE_METHOD(routing_fixture, "pick, any source reports a runner as leaving, avoids it", "[routing]")
{
    addRunners({"a", "b"});
    reportLoad("a", 0, backend_state::leaving);
    CHECK(pickMany(request()) == std::set<std::string>{"b"});
    readList({createEntry("a"), createEntry("b")});
    CHECK(pickMany(request()) == std::set<std::string>{"b"});
    reportLoad("a");
    CHECK(pickMany(request()) == std::set<std::string>{"a", "b"});

    m_picker->setRemoteUse(vm_id("vm-2"), {{runner_id("b"), 0, true}});
    CHECK(pickMany(request()) == std::set<std::string>{"a"});
    CHECK(m_picker->localUse().empty());
    m_picker->removeRemote(vm_id("vm-2"));

    vm_entry leaving = createEntry("a");
    leaving.state = backend_state::leaving;
    readList({leaving, createEntry("b")});
    CHECK(pickMany(request()) == std::set<std::string>{"b"});
    CHECK(m_picker->localUse().front().isLeaving);
}

// Guards against an overloaded runner because the requests of other VMs aren't counted.
TEST_CASE_METHOD(routing_fixture, "pick, other VMs use all slots, finds no runner until the report is old", "[routing]")
{
    addRunners({"a"});
    reportLoad("a", 4);
    CHECK(pick(request()).empty());
    m_clock.advance(std::chrono::seconds(10));
    CHECK(pick(request()) == "a");
}

// Guards against counting this VM's requests twice: once by itself and once in the load report.
TEST_CASE_METHOD(routing_fixture, "pick, load report includes own requests, counts them once", "[routing]")
{
    addRunners({"a"});
    startAttempt("a");
    startAttempt("a");
    reportLoad("a", 2);
    CHECK(pick(request()) == "a");
}

// Guards against requests that are still sent to a slow runner until its load report shows the slowness.
TEST_CASE_METHOD(routing_fixture, "pick, answers of a runner are slow, prefers the others", "[routing]")
{
    addRunners({"a", "b"});
    const attempt_number slow = startAttempt("a");
    const attempt_number fast = startAttempt("b");
    for (int token = 0; token < 20; ++token) {
        m_clock.advance(std::chrono::milliseconds(20));
        m_picker->tokenReceived(fast);
        if (token % 5 == 0) {
            m_picker->tokenReceived(slow);
        }
    }
    CHECK(pickMany(request()) == std::set<std::string>{"b"});
}

// Guards against repeated attempts at a failed runner, and against a runner that stays suspended forever.
TEST_CASE_METHOD(routing_fixture, "pick, runner failed, suspends it and then sends one probe", "[routing]")
{
    addRunners({"a"});
    m_picker->attemptEnded(startAttempt("a"), attempt_failure::connection_lost);
    CHECK(pick(request()).empty());
    m_clock.advance(std::chrono::seconds(1));
    CHECK(pick(request()) == "a");
    const attempt_number probe = startAttempt("a");
    CHECK(pick(request()).empty());
    m_picker->tokenReceived(probe);
    CHECK(pick(request()) == "a");
}

// Guards against requests to another region without permission, or while the own region has a free slot.
TEST_CASE_METHOD(routing_fixture, "pick, own region full, uses another region only when allowed", "[routing]")
{
    readList({createEntry("a"), createEntry("far", "away")});
    reportLoad("a");
    reportLoad("far");
    pick_request spilling = request();
    spilling.maySpill = true;
    CHECK(pickMany(spilling) == std::set<std::string>{"a"});
    for (int running = 0; running < 4; ++running) {
        startAttempt("a");
    }
    CHECK(pick(request()).empty());
    CHECK(pick(spilling) == "far");
    spilling.work.promptTokens = 10'000'000;
    CHECK(pick(spilling).empty());
}

// Guards against a choice that ignores prompt caches, or that still counts on a prefix after its eviction.
TEST_CASE_METHOD(routing_fixture,
                 "pick, runner has the prompt prefix cached, prefers it until the eviction",
                 "[routing]")
{
    addRunners({"a", "b", "c"});
    pick_request chat = request();
    chat.work.promptTokens = 128 * 64;
    chat.prefixHashes.assign(128, 0);
    for (std::size_t block = 0; block < chat.prefixHashes.size(); ++block) {
        chat.prefixHashes[block] = block + 1;
    }
    m_kernel.handle(cache_events_reported{runner_id("b"), {{1, 128, false}}});
    CHECK(pickMany(chat) == std::set<std::string>{"b"});
    m_clock.advance(std::chrono::seconds(2));
    m_kernel.handle(cache_events_reported{runner_id("b"), {{3, 128, true}}});
    CHECK(pickMany(chat).size() == 3);
}

// Guards against unlimited hedges and retries.
TEST_CASE_METHOD(routing_fixture, "hedge and retry budgets, used up, refill with completed work", "[routing]")
{
    work_estimate work;
    work.outputTokens = 100;
    int hedges = 0;
    while (m_picker->spendHedge(work)) {
        ++hedges;
    }
    CHECK(hedges == 10);
    int retries = 0;
    while (m_picker->spendRetry()) {
        ++retries;
    }
    CHECK(retries == 10);
    addRunners({"a"});
    for (int answer = 0; answer < 21; ++answer) {
        m_picker->attemptEnded(startAttempt("a"), std::nullopt);
    }
    CHECK(m_picker->spendHedge(work));
    CHECK_FALSE(m_picker->spendHedge(work));
    CHECK(m_picker->spendRetry());
    CHECK(m_picker->spendRetry());
    CHECK_FALSE(m_picker->spendRetry());
}

// Guards against an attempt that is given up while its runner still reads a long prompt.
TEST_CASE_METHOD(routing_fixture, "silence limit, long prompt, includes the time to read it", "[routing]")
{
    addRunners({"a"});
    work_estimate work;
    work.promptTokens = 100;
    CHECK(m_picker->silenceLimit(runner_id("a"), work) == std::chrono::seconds(2));
    work.promptTokens = 10'000;
    CHECK(m_picker->silenceLimit(runner_id("a"), work) > std::chrono::seconds(10));
}

// Guards against a cost of decisions and load queries that grows with the number of runners.
TEST_CASE_METHOD(routing_fixture, "watched runners, long VM list, are limited to the size of a subset", "[routing]")
{
    std::vector<vm_entry> entries;
    entries.reserve(500);
    for (int index = 0; index < 500; ++index) {
        entries.push_back(createEntry("runner-" + std::to_string(index)));
    }
    const action_list actions = m_kernel.handle(vm_list_read{entries});
    REQUIRE(actions.size() == 1);
    const auto watched = std::get<watch_runners>(actions.front()).runners;
    CHECK(watched.size() == 16);
    CHECK(m_kernel.handle(vm_list_read{entries}).empty());
    for (const watch_runners::entry &runner : watched) {
        reportLoad(runner.runner.value());
    }
    CHECK(pickMany(request(), 400).size() == 16);
}

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

/// The plug-in routing at one entry VM, with four slots on each runner.
class routing_fixture
{
protected:
    routing_fixture()
    {
        m_kernel.add(makePlugin("routing"));
        m_kernel.start();
        m_picker = &m_kernel.services().find<runner_picker>();
    }

    static vm_entry entry(const std::string &id, const std::string &region = "home")
    {
        vm_entry made;
        made.id = id;
        made.role = vm_role::model;
        made.service = testService;
        made.address = "192.0.2.1:" + std::to_string(id.size());
        made.region = region;
        return made;
    }

    void list(const std::vector<vm_entry> &entries)
    {
        m_kernel.handle(vm_list_read{entries});
    }

    void report(const std::string &id, std::uint32_t used = 0, backend_state state = backend_state::live)
    {
        m_kernel.handle(runner_load_reported{{runner_id(id), 4, used, 0, {testVersion}, {}, state}});
    }

    void use(const std::vector<std::string> &ids)
    {
        std::vector<vm_entry> entries;
        entries.reserve(ids.size());
        for (const std::string &id : ids) {
            entries.push_back(entry(id));
        }
        list(entries);
        for (const std::string &id : ids) {
            report(id);
        }
    }

    static pick_request request(bool isLong = false)
    {
        pick_request made;
        made.service = testService;
        made.version = testVersion;
        made.work.isLong = isLong;
        made.work.outputTokens = 100;
        return made;
    }

    std::string pick(const pick_request &wanted)
    {
        const std::optional<runner_choice> choice = m_picker->pick(wanted);
        return choice ? choice->runner.value() : std::string();
    }

    attempt_number start(const std::string &runner, const pick_request &started = request())
    {
        m_picker->attemptStarted(++m_lastAttempt, started, runner_id(runner));
        return m_lastAttempt;
    }

    /// Runners chosen in a number of picks.
    std::set<std::string> pickMany(const pick_request &wanted, int count = 50)
    {
        std::set<std::string> chosen;
        for (int index = 0; index < count; ++index) {
            chosen.insert(pick(wanted));
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

// Guards against long work that takes the last slots, so that a short request waits behind it.
TEST_CASE_METHOD(routing_fixture, "pick, slots nearly taken, keeps one for short work", "[routing]")
{
    use({"a"});
    for (int running = 0; running < 3; ++running) {
        CHECK(pick(request(true)) == "a");
        start("a", request(true));
    }
    CHECK(pick(request(true)).empty());
    CHECK(pick(request()) == "a");
    start("a");
    CHECK(pick(request()).empty());
    CHECK(m_picker->hasRunner(testService, testVersion));
}

// Guards against new work on a leaving runner, and against a mark that a lagging source clears.
TEST_CASE_METHOD(routing_fixture, "pick, runner leaving by any source, avoids it", "[routing]")
{
    use({"a", "b"});
    report("a", 0, backend_state::leaving);
    CHECK(pickMany(request()) == std::set<std::string>{"b"});
    list({entry("a"), entry("b")});
    CHECK(pickMany(request()) == std::set<std::string>{"b"});
    report("a");
    CHECK(pickMany(request()) == std::set<std::string>{"a", "b"});

    m_picker->setRemoteUse(vm_id("vm-2"), {{runner_id("b"), 0, true}});
    CHECK(pickMany(request()) == std::set<std::string>{"a"});
    CHECK(m_picker->localUse().empty());
    m_picker->removeRemote(vm_id("vm-2"));

    vm_entry leaving = entry("a");
    leaving.state = backend_state::leaving;
    list({leaving, entry("b")});
    CHECK(pickMany(request()) == std::set<std::string>{"b"});
    CHECK(m_picker->localUse().front().isLeaving);
}

// Guards against a VM that overfills a runner because other VMs' requests are not counted.
TEST_CASE_METHOD(routing_fixture, "pick, slots taken by other VMs, waits until their use is old", "[routing]")
{
    use({"a"});
    report("a", 4);
    CHECK(pick(request()).empty());
    m_clock.advance(std::chrono::seconds(10));
    CHECK(pick(request()) == "a");
}

// Guards against own requests being counted twice, by the VM itself and by the report.
TEST_CASE_METHOD(routing_fixture, "pick, report contains own requests, counts them once", "[routing]")
{
    use({"a"});
    start("a");
    start("a");
    report("a", 2);
    CHECK(pick(request()) == "a");
}

// Guards against work that goes on to a straggler until its load report shows it.
TEST_CASE_METHOD(routing_fixture, "pick, runner slow in own answers, prefers the others", "[routing]")
{
    use({"a", "b"});
    const attempt_number slow = start("a");
    const attempt_number fast = start("b");
    for (int token = 0; token < 20; ++token) {
        m_clock.advance(std::chrono::milliseconds(20));
        m_picker->tokenReceived(fast);
        if (token % 5 == 0) {
            m_picker->tokenReceived(slow);
        }
    }
    CHECK(pickMany(request()) == std::set<std::string>{"b"});
}

// Guards against repeated attempts at a failed runner, and against a runner that is never tried again.
TEST_CASE_METHOD(routing_fixture, "pick, runner failed, leaves it alone for a while and then tries once", "[routing]")
{
    use({"a"});
    m_picker->attemptEnded(start("a"), attempt_failure::connection_lost);
    CHECK(pick(request()).empty());
    m_clock.advance(std::chrono::seconds(1));
    CHECK(pick(request()) == "a");
    const attempt_number trial = start("a");
    CHECK(pick(request()).empty());
    m_picker->tokenReceived(trial);
    CHECK(pick(request()) == "a");
}

// Guards against traffic between regions while the own region has room, and without permission.
TEST_CASE_METHOD(routing_fixture, "pick, own region full, spills only when allowed", "[routing]")
{
    list({entry("a"), entry("far", "away")});
    report("a");
    report("far");
    pick_request spilling = request();
    spilling.maySpill = true;
    CHECK(pickMany(spilling) == std::set<std::string>{"a"});
    for (int running = 0; running < 4; ++running) {
        start("a");
    }
    CHECK(pick(request()).empty());
    CHECK(pick(spilling) == "far");
    spilling.work.promptTokens = 10'000'000;
    CHECK(pick(spilling).empty());
}

// Guards against placement that ignores prompt caches, and against trust in a cache that dropped the prefix.
TEST_CASE_METHOD(routing_fixture, "pick, prefix known at a runner, prefers it until evicted", "[routing]")
{
    use({"a", "b", "c"});
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
TEST_CASE_METHOD(routing_fixture, "budgets, no work done, end; work done, refills them", "[routing]")
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
    use({"a"});
    for (int answer = 0; answer < 21; ++answer) {
        m_picker->attemptEnded(start("a"), std::nullopt);
    }
    CHECK(m_picker->spendHedge(work));
    CHECK_FALSE(m_picker->spendHedge(work));
    CHECK(m_picker->spendRetry());
    CHECK(m_picker->spendRetry());
    CHECK_FALSE(m_picker->spendRetry());
}

// Guards against an attempt that is ended while its runner still reads a long prompt.
TEST_CASE_METHOD(routing_fixture, "silence limit, long prompt, leaves time to read it", "[routing]")
{
    use({"a"});
    work_estimate work;
    work.promptTokens = 100;
    CHECK(m_picker->silenceLimit(runner_id("a"), work) == std::chrono::seconds(2));
    work.promptTokens = 10'000;
    CHECK(m_picker->silenceLimit(runner_id("a"), work) > std::chrono::seconds(10));
}

// Guards against decisions and queries that grow with the deployment.
TEST_CASE_METHOD(routing_fixture, "watched runners, many in the list, stay a fixed few", "[routing]")
{
    std::vector<vm_entry> entries;
    entries.reserve(500);
    for (int index = 0; index < 500; ++index) {
        entries.push_back(entry("runner-" + std::to_string(index)));
    }
    const action_list actions = m_kernel.handle(vm_list_read{entries});
    REQUIRE(actions.size() == 1);
    const auto watched = std::get<watch_runners>(actions.front()).runners;
    CHECK(watched.size() == 16);
    CHECK(m_kernel.handle(vm_list_read{entries}).empty());
    for (const watch_runners::entry &runner : watched) {
        report(runner.runner.value());
    }
    CHECK(pickMany(request(), 400).size() == 16);
}

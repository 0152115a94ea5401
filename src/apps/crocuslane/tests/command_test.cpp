#include "configuration/checker.h"
#include "fake_deployment.h"
#include "timeline.h"

#include <catch2/catch.hpp>

using namespace crocuslane;
using Catch::Matchers::Contains;
using outcome = fake_deployment::simulated_outcome;

namespace {

/// Commands run against three fake VMs over HTTP. Guards against commands that report another outcome than the
/// deployment has, in text, JSON or exit code, when VMs are stopped or answers are lost.
class command_fixture : protected fake_deployment
{
protected:
    /// Writes the running text with another canary share to a file.
    std::string editedFile()
    {
        std::string text = m_text;
        const std::string key = "canary_percent = 5";
        text.replace(text.find(key), key.size(), "canary_percent = 20");
        return write("command_test_edited.ini", text);
    }
};

nlohmann::json group(const std::string &name, double demand, double limit, std::uint64_t refused)
{
    return {{"group", "al-ansab/" + name},
            {"organisation", "al-ansab"},
            {"service", "dune-advice"},
            {"demand_per_s", demand},
            {"limit_per_s", limit},
            {"admitted", 10},
            {"refused", refused},
            {"queued", 1},
            {"tokens_in_flight", 100}};
}

nlohmann::json event(std::int64_t time, std::uint64_t logical, const std::string &vm, const std::string &kind)
{
    return {{"time_ms", time}, {"logical", logical}, {"vm", vm}, {"kind", kind}, {"request", "r<1"}, {"detail", "x=1"}};
}

} // namespace

// Guards against errors without file and line, and against exit codes that mislead scripts.
TEST_CASE_METHOD(command_fixture, "check, faulty file, lists faults with file and line", "[command]")
{
    const std::string file = write("command_test_faulty.ini", "[service a]\ntype = modal\n\ncolour = red\n");
    CHECK(runPlain({"check", file}) == exit_code::usage);
    CHECK_THAT(out(), Contains(file + ":2: [service a] type: found 'modal'; allowed: model, plain\n"));
    CHECK_THAT(out(), Contains(file + ":4: [service a] colour: "));
    CHECK(runPlain({"check", CROCUSLANE_SOURCE_FOLDER "/examples/rimal.ini", "--json"}) == exit_code::success);
    CHECK(nlohmann::json::parse(out())["valid"] == true);
    CHECK(runPlain({"check", "/nonexistent"}) == exit_code::usage);
    CHECK(runPlain({"check"}) == exit_code::usage);
    CHECK(runPlain({"nonsense"}) == exit_code::usage);
    CHECK(runPlain({}) == exit_code::usage);
}

// Guards against a command without help.
TEST_CASE_METHOD(command_fixture, "help, each command, names options and exit codes", "[command]")
{
    for (const command &command : allCommands()) {
        CHECK(runPlain({std::string(command.name), "--help"}) == exit_code::success);
        CHECK_THAT(out(), Contains("--json") && Contains("Exit codes"));
    }
    CHECK(runPlain({"--help"}) == exit_code::success);
    CHECK(runPlain({"--version"}) == exit_code::success);
}

// Guards against a publication whose changes the operator can't review first.
TEST_CASE_METHOD(command_fixture, "diff, file against running version, shows the change", "[command]")
{
    const std::string file = editedFile();
    CHECK(run({"diff", file}) == exit_code::success);
    CHECK(out() == "~ [version small@2] canary_percent: 5 -> 20\n");
    CHECK(runPlain({"diff", file, file}) == exit_code::success);
    CHECK(out().empty());
    CHECK(runPlain({"diff", file}) == exit_code::usage);
    CHECK_THAT(err(), Contains("--entry"));
}

// Guards against an operator's key that is sent without TLS although an entry asks for it, and against an authority
// file that is ignored.
TEST_CASE_METHOD(command_fixture, "entry address, https scheme, is never contacted without TLS", "[command]")
{
    const std::string secure = "https://" + vm(0).address();
    CHECK(runPlain({"status", "--key", "dev-operator", "--entry", secure}) == exit_code::failure);
    CHECK_THAT(err(), Contains(vm(0).address()));
    CHECK(runPlain({"status", "--key", "dev-operator", "--entry", secure + "," + vm(1).address()}) == exit_code::usage);
    CHECK_THAT(err(), Contains("with and without https://"));
    CHECK(runPlain({"status", "--key", "dev-operator", "--entry", "https://localhost"}) == exit_code::usage);
    CHECK(run({"status", "--ca", "/etc/ca.pem"}) == exit_code::usage);
    CHECK_THAT(err(), Contains("--ca"));
    CHECK(m_requestCounts.empty());
}

// Guards against a publication whose confirmation is not checked for each VM, and against publishing a text again that
// is already in force.
TEST_CASE_METHOD(command_fixture, "publish, all VMs confirm, is in force everywhere", "[command]")
{
    const std::string file = editedFile();
    CHECK(run({"publish", file, "--json"}) == exit_code::success);
    const auto answer = nlohmann::json::parse(out());
    CHECK(answer["version"] == 8);
    CHECK(answer["confirmed_by_all"] == true);
    CHECK(answer["vms"].size() == 3);
    CHECK_THAT(err(), Contains("replaces version 7; version 7 is in force") && Contains("canary_percent: 5 -> 20"));
    CHECK(run({"publish", file}) == exit_code::success);
    CHECK_THAT(err(), Contains("the same text is in force as version 8"));
    CHECK(m_publicationCount == 1);
}

// Guards against polling every VM of a large deployment when one entry VM already reports the versions of all.
TEST_CASE_METHOD(command_fixture, "publish, entry VM reports all versions, asks no other VM", "[command]")
{
    m_reportsAllVersions = true;
    CHECK(runPlain({"publish", editedFile(), "--entry", vm(0).address(), "--key", "dev-operator"})
          == exit_code::success);
    CHECK_THAT(out(), Contains("version 8 is in force everywhere"));
    CHECK(m_requestCounts[1] == 0);
    CHECK(m_requestCounts[2] == 0);
}

// Guards against an endless wait for a stopped VM, and against counting it as confirmed.
TEST_CASE_METHOD(command_fixture, "publish, one VM stopped, ends after the freshness limit", "[command]")
{
    m_updatedVms = {0, 1};
    vm(2).stop();
    CHECK(run({"publish", editedFile()}) == exit_code::success);
    CHECK_THAT(out(), Contains("not confirmed; takes no requests after 6 s") && Contains("VMs that did not confirm"));
    m_updatedVms = {0};
    m_versions = {8, 0, 0};
    CHECK(run({"publish", write("command_test_more.ini", m_text + "\n# more\n")}) == exit_code::unconfirmed);
}

// Guards against a lost answer that is reported as a failure or leads to a second publication.
TEST_CASE_METHOD(command_fixture, "publish, answer lost after effect, identifies its version by the hash", "[command]")
{
    m_simulatedOutcomes = {outcome::accepted_without_answer};
    CHECK(run({"publish", editedFile()}) == exit_code::success);
    CHECK(m_publicationCount == 1);
    CHECK_THAT(err(), Contains("determining the outcome"));
    CHECK_THAT(out(), Contains("version 8 is in force everywhere"));
}

// Guards against a lost request that is reported as published.
TEST_CASE_METHOD(command_fixture, "publish, request lost before effect, is repeated", "[command]")
{
    m_simulatedOutcomes = {outcome::dropped_without_answer, outcome::dropped_without_answer};
    CHECK(run({"publish", editedFile()}) == exit_code::success);
    CHECK(m_publicationCount == 3);
    CHECK(m_version == 8);
}

// Guards against overwriting the text of another operator.
TEST_CASE_METHOD(command_fixture, "publish, another text came first, is a conflict", "[command]")
{
    m_simulatedOutcomes = {outcome::superseded_without_answer};
    CHECK(run({"publish", editedFile()}) == exit_code::conflict);
    CHECK(m_publicationCount == 1);
    m_simulatedOutcomes = {};
    CHECK(run({"publish", editedFile(), "--replaces", "7"}) == exit_code::conflict);
    CHECK(m_version == 8);
}

// Guards against an unknown outcome that is reported as success or failure, and against endless retries of a refusal.
TEST_CASE_METHOD(command_fixture, "publish, outcome unknown or refused, exits with the matching code", "[command]")
{
    m_simulatedOutcomes = std::deque<outcome>(1000, outcome::dropped_without_answer);
    CHECK(run({"publish", editedFile(), "--wait", "3"}) == exit_code::unknown_outcome);
    m_simulatedOutcomes = {outcome::log_unavailable};
    CHECK(run({"publish", editedFile()}) == exit_code::failure);
    CHECK_THAT(err(), Contains("log_unavailable"));
    CHECK(runPlain({"publish", editedFile(), "--entry", vm(0).address(), "--key", "wrong"}) == exit_code::failure);
    CHECK_THAT(err(), Contains("unauthenticated"));
    CHECK(m_version == 7);
}

// Guards against roll-out steps that publish another text than the options ask for.
TEST_CASE_METHOD(command_fixture, "rollout and withdraw, publish edits of the running text", "[command]")
{
    CHECK(run({"rollout", "small@2", "--percent", "50"}) == exit_code::success);
    CHECK_THAT(m_text, Contains("canary_percent = 50"));
    CHECK(run({"rollout", "small@2", "--finish", "--output", "command_test_output.ini"}) == exit_code::success);
    CHECK_THAT(err(), Contains("[version small@1] state: active -> draining"));
    const check_result running = checkConfiguration(m_text);
    REQUIRE(running.value);
    CHECK(running.value->versions.at(version_id("small@2")).state == version_state::active);
    CHECK(run({"withdraw", "small@1", "--dry-run"}) == exit_code::success);
    CHECK(m_version == 9);
    CHECK(run({"withdraw", "small@1"}) == exit_code::success);
    CHECK(checkConfiguration(m_text).value->versions.at(version_id("small@1")).state == version_state::withdrawn);
    CHECK(run({"withdraw", "medium@1"}) == exit_code::usage);
    CHECK_THAT(err(), Contains("no active version left"));
    CHECK(run({"withdraw", "none@1"}) == exit_code::usage);
    CHECK(run({"rollout", "small@3", "--percent", "1"}) == exit_code::usage);
    CHECK(run({"rollout", "small@3", "--percent", "1", "--replaced", "small@2", "--same-rights"})
          == exit_code::success);
    CHECK(run({"rollout", "small@3", "--percent", "101"}) == exit_code::usage);
    CHECK(run({"rollout", "small@3"}) == exit_code::usage);
}

// Guards against a withdrawal that is undone by a text from before it.
TEST_CASE_METHOD(command_fixture, "publish, text from before a withdrawal, requires an option", "[command]")
{
    const std::string file = editedFile();
    CHECK(run({"withdraw", "small@2"}) == exit_code::success);
    CHECK(run({"publish", file}) == exit_code::usage);
    CHECK_THAT(err(), Contains("small@2") && Contains("--reactivate"));
    CHECK(m_version == 8);
    CHECK(run({"publish", file, "--reactivate"}) == exit_code::success);
}

// Guards against an overload whose cause is not listed first, and against counting it twice: each VM reports the load
// of the whole deployment as far as it received it.
TEST_CASE_METHOD(command_fixture, "groups, one over its bound, is listed first with the largest counts", "[command]")
{
    m_groups[0] = {group("agronomists", 6, 15, 0), group("wetland-survey", 40, 4, 120)};
    m_groups[1] = {group("agronomists", 6, 15, 0), group("wetland-survey", 20, 4, 70)};
    vm(2).stop();
    CHECK(run({"groups"}) == exit_code::success);
    CHECK_THAT(out(),
               Catch::Matchers::StartsWith(
                   "OVER ITS BOUND: al-ansab/wetland-survey demands 40.0/s, 10.0 times its bound of 4.0/s\n"));
    CHECK_THAT(err(), Contains("not included: " + vm(2).address()));
    CHECK(run({"groups", "--json"}) == exit_code::success);
    const auto answer = nlohmann::json::parse(out());
    CHECK(answer["groups"][0]["refused"] == 120);
    CHECK(answer["groups"][1]["demand_per_s"] == 6);
    CHECK(answer["groups"][1]["over_limit"] == false);
    CHECK(answer["vms_without_answer"] == 1);
}

// Guards against events out of order, and against request ids that make the SVG picture invalid.
TEST_CASE_METHOD(command_fixture, "timeline, events of three VMs, are merged in hybrid logical order", "[command]")
{
    m_events[0] = {event(2000, 1, "vm-0", "attempt_started"), event(1000, 0, "vm-0", "request_received")};
    m_events[1] = {event(2000, 0, "vm-1", "configuration_accepted")};
    m_events[2] = {event(2000, 1, "vm-0", "attempt_started")};
    CHECK(run({"timeline", "--request", "r<1", "--svg", "command_test.svg", "--json"}) == exit_code::success);
    const auto events = nlohmann::json::parse(out())["events"];
    REQUIRE(events.size() == 3);
    CHECK(events[1]["kind"] == "configuration_accepted");
    CHECK(events[2]["kind"] == "attempt_started");
    std::ifstream file("command_test.svg");
    const std::string svg{std::istreambuf_iterator<char>(file), {}};
    CHECK_THAT(svg, Contains(">vm-0</text>") && Contains(">vm-1</text>") && Contains("r&lt;1") && !Contains("r<1"));
    CHECK(run({"timeline"}) == exit_code::success);
    CHECK_THAT(out(), Contains("1970-01-01T00:00:01.000Z +0"));
    CHECK(run({"timeline", "--since", "soon"}) == exit_code::usage);
}

// Guards against a wrong start of the timeline.
TEST_CASE("timeline, since, reads ages and points in time", "[command]")
{
    CHECK(parseSince("90s", 100'000) == 10'000);
    CHECK(parseSince("2m", 200'000) == 80'000);
    CHECK(parseSince("1970-01-01T00:01:00Z", 0) == 60'000);
    CHECK_FALSE(parseSince("10", 0));
    CHECK_FALSE(parseSince("", 0));
    CHECK_FALSE(parseSince("-5s", 0));
    CHECK_FALSE(parseSince("99999999999999999999s", 0));
}

// Guards against commands that fail for the whole deployment when one VM is stopped.
TEST_CASE_METHOD(command_fixture, "status, bills and drain, one VM stopped, succeed with the other VMs", "[command]")
{
    vm(0).stop();
    CHECK(run({"status"}) == exit_code::success);
    CHECK_THAT(out(), Contains("no answer") && Contains("takes requests"));
    CHECK(run({"status", "--json"}) == exit_code::success);
    CHECK(nlohmann::json::parse(out())["vms"][0]["answered"] == false);
    CHECK(nlohmann::json::parse(out())["vms"][1]["takes_requests"] == true);
    m_unreadyVm = 1;
    CHECK(run({"status", "--json", "--plugins"}) == exit_code::success);
    CHECK(nlohmann::json::parse(out())["vms"][1]["takes_requests"] == false);
    CHECK(nlohmann::json::parse(out())["plugins"].size() == 2);
    CHECK(run({"bills"}) == exit_code::success);
    CHECK_THAT(out(), Contains("1.500000"));
    CHECK(run({"drain", "vm-2"}) == exit_code::success);
    CHECK(m_drainedVm == "vm-2");
    CHECK(run({"drain", "vm-9"}) == exit_code::usage);
    CHECK(run({"drain", "vm-0"}) == exit_code::failure);
}

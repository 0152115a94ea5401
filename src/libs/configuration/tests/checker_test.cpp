#include "base/digest.h"
#include "configuration/checker.h"
#include "configuration/ini_document.h"
#include "configuration/schema.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>

using namespace crocuslane;

namespace {

std::string readExample(const std::string &name)
{
    std::ifstream file(CROCUSLANE_SOURCE_FOLDER "/examples/" + name);
    return {std::istreambuf_iterator<char>(file), {}};
}

class checker_fixture
{
protected:
    /// A small text that passes all checks. Tests refer to its line numbers.
    const std::string m_valid = "[service advice]\n"
                                "type = model\n"
                                "models = small\n"
                                "[service desk]\n"
                                "type = plain\n"
                                "[operation dispatch]\n"
                                "service = desk\n"
                                "[kind check]\n"
                                "service = advice\n"
                                "[model small]\n"
                                "input_cost = 1\n"
                                "output_cost = 2\n"
                                "[version small@1]\n"
                                "[organisation org]\n"
                                "versions = small@1\n"
                                "services = advice, desk\n"
                                "[group org/staff]\n"
                                "keys = "
        + sha256Hex("staff")
        + "\n"
          "requests_per_s = 5\n"
          "tokens_in_flight = 1000\n"
          "operator = true\n";

    static bool hasProblem(const check_result &result, problem_code code, std::size_t line, std::string_view key)
    {
        return std::any_of(result.problems.begin(), result.problems.end(), [&](const auto &problem) {
            return problem.code == code && problem.line == line && problem.key == key && !problem.found.empty()
                && !problem.allowed.empty();
        });
    }

    std::string replaced(const std::string &from, const std::string &to) const
    {
        std::string text = m_valid;
        const std::size_t position = text.find(from);
        REQUIRE(position != std::string::npos);
        return text.replace(position, from.size(), to);
    }

    /// Checks that @p text has exactly one problem, with the given code, line and key.
    static void checkOnly(const std::string &text, problem_code code, std::size_t line, std::string_view key)
    {
        const check_result result = checkConfiguration(text);
        CAPTURE(text, result.problems.size(), result.problems.empty() ? "" : toText(result.problems.front(), "text"));
        CHECK(result.problems.size() == 1);
        CHECK(hasProblem(result, code, line, key));
        CHECK_FALSE(result.value);
    }
};

} // namespace

// Guards against examples that the checker rejects, and against example API keys that no longer match the examples.
TEST_CASE_METHOD(checker_fixture,
                 "checker, examples, pass with ten organisations and development keys",
                 "[configuration]")
{
    const std::string name = GENERATE("rimal.ini", "ironworks.ini");
    const check_result result = checkConfiguration(readExample(name));
    CAPTURE(name, result.problems.empty() ? "" : toText(result.problems.front(), name));
    REQUIRE(result.value);
    CHECK(result.value->organisations.size() == 10);
    CHECK(result.value->models.size() >= 2);
    for (const auto &[id, group] : result.value->callerGroups) {
        const std::string key = "dev-" + id.value().substr(id.value().find('/') + 1);
        CHECK(group.keyHashes.contains(sha256Hex(key)));
    }
    CHECK(result.value->groupsByKeyHash.size() == result.value->callerGroups.size());
    const auto &operators = result.value->groupsByKeyHash.at(sha256Hex("dev-operator"));
    CHECK(result.value->callerGroups.at(operators).isOperator);
}

// Guards against a parsed value that is stored in the wrong member.
TEST_CASE_METHOD(checker_fixture, "checker, valid text, fills the configuration", "[configuration]")
{
    const check_result result =
        checkConfiguration("\xef\xbb\xbf" + replaced("type = plain\n", "type=plain\r\n slots_per_runner = 3\r\n"));
    REQUIRE(result.value);
    CHECK(result.value->services.at(service_id("desk")).type == service_type::plain);
    CHECK(result.value->services.at(service_id("desk")).slotsPerRunner == 3);
    CHECK(result.value->models.at(model_id("small")).outputCost == 2);
    CHECK(result.value->versions.at(version_id("small@1")).model == model_id("small"));
    CHECK(result.value->versions.at(version_id("small@1")).state == version_state::active);
    CHECK(result.value->callerGroups.at(caller_group_id("org/staff")).organisation == organisation_id("org"));
    CHECK_FALSE(result.value->operations.at(operation_id("dispatch")).repeatable);
}

// Guards against a check that stops at the first fault or reports a wrong line.
TEST_CASE_METHOD(checker_fixture, "checker, many faults, reports all ordered by line", "[configuration]")
{
    const check_result result = checkConfiguration("stray = 1\n"
                                                   "[service advice]\n"
                                                   "type = modal\n"
                                                   "nonsense\n"
                                                   "colour = red\n"
                                                   "type = model\n"
                                                   "[service advice]\n"
                                                   "[version small@1]\n"
                                                   "canary_percent = 101\n"
                                                   "[planet x]\n"
                                                   "[unclosed\n"
                                                   "[model Big]\n");
    CHECK(hasProblem(result, problem_code::syntax, 1, "stray"));
    CHECK(hasProblem(result, problem_code::bad_value, 3, "type"));
    CHECK(hasProblem(result, problem_code::syntax, 4, ""));
    CHECK(hasProblem(result, problem_code::unknown_key, 5, "colour"));
    CHECK(hasProblem(result, problem_code::duplicate, 6, "type"));
    CHECK(hasProblem(result, problem_code::duplicate, 7, ""));
    CHECK(hasProblem(result, problem_code::missing_key, 7, "type"));
    CHECK(hasProblem(result, problem_code::unknown_reference, 8, ""));
    CHECK(hasProblem(result, problem_code::bad_value, 9, "canary_percent"));
    CHECK(hasProblem(result, problem_code::unknown_section, 10, ""));
    CHECK(hasProblem(result, problem_code::syntax, 11, ""));
    CHECK(hasProblem(result, problem_code::unknown_section, 12, ""));
    CHECK(std::is_sorted(result.problems.begin(), result.problems.end(), [](const auto &left, const auto &right) {
        return left.line != 0 && (right.line == 0 || left.line < right.line);
    }));
}

// Guards against well-formed texts whose sections contradict each other. Each text has exactly one fault.
TEST_CASE_METHOD(checker_fixture, "checker, faults across sections, are reported", "[configuration]")
{
    using enum problem_code;
    const std::string canary = "[version small@2]\nstate = canary\n";
    CHECK(checkConfiguration(m_valid).value);
    checkOnly(replaced("models = small", "models = smal"), unknown_reference, 3, "models");
    checkOnly(replaced("[version small@1]\n", "[version small@1]\n[version huge@1]\n"), unknown_reference, 14, "");
    checkOnly(replaced("type = model\n", "type = model\ndepends_on = desk\n")
                  + "[service desk2]\ntype = plain\ndepends_on = desk2\n",
              inconsistent,
              25,
              "depends_on");
    checkOnly(m_valid + canary + "canary_percent = 5\n", inconsistent, 22, "replaces");
    checkOnly(m_valid + canary + "replaces = small@1\n", inconsistent, 22, "canary_percent");
    checkOnly(m_valid + canary + "canary_percent = 5\nreplaces = small@2\n", inconsistent, 25, "replaces");
    checkOnly(
        replaced("[version small@1]", "[version small@1]\ncanary_percent = 5"), inconsistent, 14, "canary_percent");
    checkOnly(replaced("keys =", "# keys ="), missing_key, 17, "keys");
    checkOnly(replaced("[version small@1]", "[version small@1]\nstate = draining"), inconsistent, 16, "versions");
    checkOnly(replaced("operator = true", "operator = false"), inconsistent, 0, "");
    checkOnly(replaced("service = desk", "service = advice"), inconsistent, 7, "service");
    checkOnly(replaced("service = advice", "service = desk"), inconsistent, 9, "service");
    checkOnly(m_valid + "[group org/visitors]\nrequests_per_s = 1\ntokens_in_flight = 1\nkeys = " + sha256Hex("staff")
                  + "\n",
              inconsistent,
              25,
              "keys");
    checkOnly(m_valid + "[group org/visitors]\ntokens_in_flight = 1\nkeys = " + sha256Hex("other") + "\n",
              inconsistent,
              22,
              "requests_per_s");
}

// Guards against a cycle of several services that goes unnoticed, and against a stack overflow on long chains.
TEST_CASE_METHOD(checker_fixture,
                 "checker, dependency cycle at the end of a long chain, is reported once",
                 "[configuration]")
{
    std::string text = m_valid;
    constexpr int length = 8000;
    for (int index = 0; index < length; ++index) {
        const int next = index + 1 < length ? index + 1 : length - 3;
        text += "[service s" + std::to_string(index) + "]\ntype = plain\ndepends_on = s" + std::to_string(next) + "\n";
    }
    const check_result result = checkConfiguration(text);
    REQUIRE(result.problems.size() == 1);
    CHECK(result.problems.front().key == "depends_on");
    CHECK(result.problems.front().found.find("s7997 -> s7998 -> s7999 -> s7997") != std::string::npos);
}

// Guards against crashes on arbitrary bytes, and against accepting texts that are too large for a frame between VMs.
TEST_CASE_METHOD(checker_fixture, "checker, malformed or oversized input, is rejected", "[configuration]")
{
    CHECK_FALSE(checkConfiguration("").value);
    CHECK_FALSE(checkConfiguration(std::string("[service a\0b]\ntype\0=model", 25)).value);
    CHECK_FALSE(checkConfiguration("[]\n[[]]\n=\n[=]\n]\n[ ]x\n\xff\xfe = \xff").value);
    const check_result tooLong = checkConfiguration(m_valid + std::string(maximumTextBytes, '#'));
    REQUIRE(tooLong.problems.size() >= 1);
    CHECK_FALSE(tooLong.value);
    CHECK(checkConfiguration(replaced("requests_per_s = 5", "requests_per_s = nan")).problems.size() == 1);
    CHECK(checkConfiguration(replaced("requests_per_s = 5", "requests_per_s = 1e999")).problems.size() == 1);
}

// Guards against losing the problems when the error object is passed through Boost.LEAF.
TEST_CASE_METHOD(checker_fixture, "reader, faulty text, error object contains the problems", "[configuration]")
{
    const std::size_t problems = boost::leaf::try_handle_all(
        []() -> boost::leaf::result<std::size_t> {
            auto result = readConfiguration("[planet x]\n");
            if (!result) {
                return result.error();
            }
            return std::size_t{0};
        },
        [](const configuration_error &error) { return error.problems.size(); },
        [] { return std::size_t{0}; });
    CHECK(problems == 2);
}

// Guards against a documented default that differs from the effective one.
TEST_CASE("schema, defaults of the tables, equal those of the structs", "[configuration]")
{
    const auto checkDefaults = [](const auto &bindings, const auto &defaults) {
        for (const auto &binding : bindings) {
            if (!binding.rule.defaultValue.empty()) {
                CHECK(binding.format(defaults) == binding.rule.defaultValue);
            }
        }
    };
    checkDefaults(serviceKeys(), service_settings{});
    checkDefaults(operationKeys(), operation_settings{});
    checkDefaults(kindKeys(), kind_settings{});
    checkDefaults(versionKeys(), version_settings{});
    checkDefaults(callerGroupKeys(), caller_group_settings{});
}

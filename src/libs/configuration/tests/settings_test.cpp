#include "configuration/settings.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>

using namespace crocuslane;

namespace {

class settings_fixture
{
protected:
    const std::string m_valid = "[node]\n"
                                "id = muscat-a-1\n"
                                "availability_zone = muscat-a\n"
                                "region = muscat\n"
                                "caller_address = 127.0.0.1:22001\n"
                                "peer_address = 127.0.0.1:22002\n"
                                "[platform]\n"
                                "log_service = 127.0.0.1:22003\n"
                                "vm_list = 127.0.0.1:22004\n"
                                "rating_service = 127.0.0.1:22005\n"
                                "[security]\n"
                                "development = true\n";

    static std::string readPage(const std::string &name)
    {
        std::ifstream file(CROCUSLANE_SOURCE_FOLDER "/" + name);
        return {std::istreambuf_iterator<char>(file), {}};
    }

    /// Texts of the problems found when parsing a command line and loading its settings.
    static std::vector<std::string> problemsOf(const std::vector<std::string> &arguments)
    {
        return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::vector<std::string>> {
                auto commandLine = parseDaemonCommandLine(arguments);
                if (!commandLine) {
                    return commandLine.error();
                }
                auto settings = loadSettings(*commandLine);
                if (!settings) {
                    return settings.error();
                }
                return std::vector<std::string>{};
            },
            [](const configuration_error &error) {
                std::vector<std::string> texts;
                for (const configuration_problem &problem : error.problems) {
                    texts.push_back(toText(problem, "text"));
                }
                return texts;
            },
            [] { return std::vector<std::string>{"no error object"}; });
    }
};

} // namespace

// Guards against a value that is stored in the wrong member, and against a file that takes precedence over an override.
TEST_CASE_METHOD(settings_fixture, "settings, valid text with override, are filled", "[settings]")
{
    const settings_result result = checkSettings(m_valid + "[limits]\nfreshness_s = 4.5\n",
                                                 {{"node", "id", "dhofar-1"}, {"log", "level", "debug"}});
    REQUIRE(result.value);
    CHECK(result.value->node.id == "dhofar-1");
    CHECK(result.value->node.region == "muscat");
    CHECK(result.value->platform.vmList == "127.0.0.1:22004");
    CHECK(result.value->limits.freshnessSeconds == 4.5);
    CHECK(result.value->limits.bodyBytes == 1'048'576);
    CHECK(result.value->logLevel == log_level::debug);
}

// Guards against a check that stops at the first fault.
TEST_CASE_METHOD(settings_fixture, "settings, many faults, are all reported with their lines", "[settings]")
{
    const settings_result result = checkSettings("[node]\n"
                                                 "id = Not A Name\n"
                                                 "caller_address = localhost:80\n"
                                                 "peer_address = 127.0.0.1:0\n"
                                                 "colour = red\n"
                                                 "[limit]\n"
                                                 "[limits]\n"
                                                 "body_bytes = 12.5\n",
                                                 {{"limits", "freshness_s", "soon"}});
    std::vector<std::size_t> lines;
    for (const configuration_problem &problem : result.problems) {
        if (problem.code != problem_code::missing_key) {
            lines.push_back(problem.line);
        }
    }
    CHECK(lines == std::vector<std::size_t>{2, 3, 4, 5, 6, 8, 0});
    CHECK(result.problems.back().source.empty());
    CHECK_FALSE(result.value);
}

// Guards against an example that the daemon rejects.
TEST_CASE_METHOD(settings_fixture, "settings, example, is valid", "[settings]")
{
    CHECK(checkSettings(readPage("examples/crocuslaned.ini"), {}).value);
}

// Guards against a production node that starts without TLS or with a built-in key, and against a check that stops at
// the first missing file.
TEST_CASE_METHOD(settings_fixture, "settings, production without key files, are rejected", "[settings]")
{
    const settings_result result = checkSettings(m_valid, {{"security", "development", "false"}});
    std::vector<std::string> keys;
    for (const configuration_problem &problem : result.problems) {
        CHECK(problem.code == problem_code::missing_key);
        keys.push_back(problem.key);
    }
    std::sort(keys.begin(), keys.end());
    CHECK(keys == std::vector<std::string>{"ca_certificate", "certificate", "peer_key", "private_key", "session_key"});
    CHECK_FALSE(result.value);
}

// Guards against a production node that can't start because complete settings are rejected, and against a file that is
// required only when another one is missing too.
TEST_CASE_METHOD(settings_fixture, "settings, production, require each key file and no others", "[settings]")
{
    const std::vector<std::string> files{"session_key", "peer_key", "certificate", "private_key", "ca_certificate"};
    std::vector<setting_override> overrides{{"security", "development", "false"}};
    for (const std::string &file : files) {
        overrides.push_back({"security", file, "/etc/crocuslane/" + file});
    }
    const settings_result complete = checkSettings(m_valid, overrides);
    REQUIRE(complete.value);
    CHECK(complete.value->security.peerKey == "/etc/crocuslane/peer_key");
    for (std::size_t index = 0; index < files.size(); ++index) {
        CAPTURE(files[index]);
        std::vector<setting_override> others = overrides;
        others.erase(others.begin() + 1 + static_cast<std::ptrdiff_t>(index));
        const settings_result result = checkSettings(m_valid, others);
        REQUIRE(result.problems.size() == 1);
        CHECK(result.problems.front().key == files[index]);
    }
}

// Guards against a development node that serves without TLS although a certificate or a private key is set.
TEST_CASE_METHOD(settings_fixture,
                 "settings, development with only certificate or private key, are rejected",
                 "[settings]")
{
    const setting_override certificate{"security", "certificate", "/etc/crocuslane/certificate.pem"};
    const setting_override privateKey{"security", "private_key", "/etc/crocuslane/private_key.pem"};
    CHECK(checkSettings(m_valid, {certificate, privateKey}).value);
    const settings_result keyMissing = checkSettings(m_valid, {certificate});
    REQUIRE(keyMissing.problems.size() == 1);
    CHECK(keyMissing.problems.front().key == "private_key");
    const settings_result certificateMissing = checkSettings(m_valid, {privateKey});
    REQUIRE(certificateMissing.problems.size() == 1);
    CHECK(certificateMissing.problems.front().key == "certificate");
}

// Guards against errors that don't name their source.
TEST_CASE_METHOD(settings_fixture, "command line, faults, name file or command line", "[settings]")
{
    CHECK(problemsOf({"--nonsense"}).size() == 1);
    CHECK(problemsOf({"--nod.id=a"}).front().starts_with("command line: "));
    CHECK(problemsOf({"stray"}).front().starts_with("command line: "));
    CHECK(problemsOf({"--settings", "/nonexistent/file"})
              .front()
              .starts_with("/nonexistent/file: found no readable file"));
    const std::vector<std::string> problems = problemsOf({"--node.id=?"});
    CHECK(std::count(problems.begin(), problems.end(), "command line: [node] id: found '?'; allowed: one name") == 1);
}

// Guards against a documented default that differs from the effective one, and against outdated pages.
TEST_CASE_METHOD(settings_fixture, "settings, tables, agree with defaults and committed pages", "[settings]")
{
    for (const setting_binding &binding : settingKeys()) {
        CAPTURE(binding.section, binding.rule.key);
        if (!binding.rule.defaultValue.empty()) {
            CHECK(binding.format(daemon_settings{}) == binding.rule.defaultValue);
        }
    }
    CHECK(describeSettings() == readPage("docs/settings.md"));
    CHECK(describeConfiguration() == readPage("docs/configuration.md"));
}

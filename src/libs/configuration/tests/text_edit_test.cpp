#include "configuration/checker.h"
#include "configuration/difference.h"
#include "configuration/text_edit.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <iterator>

using namespace crocuslane;

namespace {

class text_edit_fixture
{
protected:
    text_edit_fixture()
    {
        std::ifstream file(CROCUSLANE_SOURCE_FOLDER "/examples/rimal.ini");
        m_text = {std::istreambuf_iterator<char>(file), {}};
    }

    std::vector<std::string> changesOf(const std::string &edited) const
    {
        const configuration before = checkConfiguration(m_text).value.value();
        const check_result after = checkConfiguration(edited);
        CAPTURE(after.problems.empty() ? "" : toText(after.problems.front(), "edited"));
        REQUIRE(after.value);
        std::vector<std::string> changes;
        for (const configuration_change &change : diffConfigurations(before, *after.value)) {
            changes.push_back(toText(change));
        }
        return changes;
    }

    std::string m_text;
};

} // namespace

// Guards against an edit that removes comments or changes other lines.
TEST_CASE_METHOD(text_edit_fixture, "text edit, key changed and reverted, restores the text", "[configuration]")
{
    const std::string edited = withKey(m_text, "version small@2", "canary_percent", "20");
    CHECK(changesOf(edited) == std::vector<std::string>{"~ [version small@2] canary_percent: 5 -> 20"});
    CHECK(withKey(edited, "version small@2", "canary_percent", "5") == m_text);
    const std::string added = withKey(m_text, "service field-operations", "depends_on", "");
    CHECK(added != m_text);
    CHECK(withoutKey(added, "service field-operations", "depends_on") == m_text);
    CHECK(withoutKey(m_text, "version none@1", "state") == m_text);
    CHECK(withKey("[a]\nb = 1", "a", "c", "2") == "[a]\nb = 1\nc = 2\n");
}

// Guards against an edit for a roll-out step whose result the checker rejects.
TEST_CASE_METHOD(text_edit_fixture, "text edit, steps of a roll-out, give valid texts", "[configuration]")
{
    CHECK(changesOf(withWithdrawal(m_text, "small@2")).size() == 3);
    CHECK(changesOf(withPromotion(m_text, "small@2", "small@1")).size() == 4);
    const std::string added = withSameRights(withCanary(m_text, {"large@2", "large@1", 1.0}), "large@2", "large@1");
    const std::vector<std::string> changes = changesOf(added);
    CHECK(changes.back() == "+ [version large@2]");
    // Six organisations of the example may use large@1.
    CHECK(changes.size() == 7);
    CHECK(changesOf(withPromotion(added, "large@2", "large@1")).size() == 8);
}

// Guards against a withdrawal that leaves organisations without an active version. A canary that replaces the withdrawn
// version is not a fault: operators must be able to withdraw a bad version without a second edit.
TEST_CASE_METHOD(text_edit_fixture,
                 "text edit, withdrawal of the only version, is rejected by the checker",
                 "[configuration]")
{
    const check_result result = checkConfiguration(withWithdrawal(m_text, "small@1"));
    REQUIRE_FALSE(result.value);
    CHECK(result.problems.size() == 2);
    for (const configuration_problem &problem : result.problems) {
        CHECK(problem.key == "versions");
    }
    CHECK(withListEntry(m_text, "organisation barka-estates", "versions", "small@1") == m_text);
}

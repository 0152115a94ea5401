#include "configuration/checker.h"
#include "configuration/difference.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <iterator>

using namespace crocuslane;

namespace {

class difference_fixture
{
protected:
    difference_fixture()
    {
        std::ifstream file(CROCUSLANE_SOURCE_FOLDER "/examples/rimal.ini");
        m_text = {std::istreambuf_iterator<char>(file), {}};
        m_before = checkConfiguration(m_text).value.value();
    }

    std::vector<configuration_change> changesOf(const std::string &from, const std::string &to) const
    {
        std::string text = m_text;
        text.replace(text.find(from), from.size(), to);
        return diffConfigurations(m_before, checkConfiguration(text).value.value());
    }

    std::string m_text;
    configuration m_before;
};

} // namespace

// Guards against a change that the difference omits, so that operators publish it unnoticed.
TEST_CASE_METHOD(difference_fixture, "difference, changed key, shows old and new value", "[configuration]")
{
    const auto changes = changesOf("canary_percent = 5", "canary_percent = 20");
    REQUIRE(changes.size() == 1);
    CHECK(toText(changes.front()) == "~ [version small@2] canary_percent: 5 -> 20");
}

// Guards against added or removed sections that the difference omits.
TEST_CASE_METHOD(difference_fixture, "difference, section added and removed, shows both", "[configuration]")
{
    const auto changes = changesOf("[operation plot-status]", "[operation plot-state]");
    REQUIRE(changes.size() == 2);
    CHECK(toText(changes[0]) == "- [operation plot-status]");
    CHECK(toText(changes[1]) == "+ [operation plot-state]");
}

// Guards against reporting a change of spacing, comments or number format as a difference.
TEST_CASE_METHOD(difference_fixture, "difference, texts with equal values, is empty", "[configuration]")
{
    CHECK(changesOf("canary_percent = 5", "canary_percent=5.0\n# a comment").empty());
    CHECK(diffConfigurations(m_before, m_before).empty());
    CHECK(hashConfiguration(m_text) != hashConfiguration(m_text + "\n"));
}

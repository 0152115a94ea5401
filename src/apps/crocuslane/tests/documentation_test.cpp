#include "command.h"
#include "kernel/types.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <iterator>

using namespace crocuslane;
using Catch::Matchers::Contains;

namespace {

std::string readPage(const std::string &name)
{
    std::ifstream file(CROCUSLANE_SOURCE_FOLDER "/docs/" + name);
    return {std::istreambuf_iterator<char>(file), {}};
}

} // namespace

// Guards against an error code that callers can receive but that the interface page does not describe.
TEST_CASE("interface page, error codes, are all described", "[documentation]")
{
    const std::string page = readPage("interface.md");
    for (int value = 0; value <= static_cast<int>(error_code::internal); ++value) {
        const std::string_view name = toName(static_cast<error_code>(value));
        CHECK(name != "unknown");
        CHECK_THAT(page, Contains("| `" + std::string(name) + "` |"));
    }
}

// Guards against a command that the manual page or the operations page does not describe.
TEST_CASE("manual and operations pages, commands, are all described", "[documentation]")
{
    const std::string manual = readPage("man/crocuslane.1");
    const std::string operations = readPage("OPERATIONS.md");
    for (const command &command : allCommands()) {
        CHECK_THAT(manual,
                   Contains("\n.B " + std::string(command.name)) || Contains("\n.BI " + std::string(command.name)));
    }
    for (const char *name :
         {"check", "diff", "publish", "rollout", "withdraw", "status", "groups", "timeline", "drain"}) {
        CHECK_THAT(operations, Contains("crocuslane " + std::string(name)));
    }
}

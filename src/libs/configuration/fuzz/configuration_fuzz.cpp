#include "configuration/checker.h"
#include "configuration/difference.h"
#include "configuration/ini_document.h"
#include "configuration/text_edit.h"

#include <algorithm>
#include <cstdlib>

using namespace crocuslane;

namespace {

void require(bool condition)
{
    if (!condition) {
        std::abort();
    }
}

void checkProblems(const std::vector<configuration_problem> &problems, std::string_view text)
{
    const auto lines = static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n')) + 1;
    for (const configuration_problem &problem : problems) {
        require(problem.line <= lines);
        require(!problem.found.empty() && !problem.allowed.empty());
        require(!toText(problem, "text").empty());
    }
}

} // namespace

/// Guards against crashes, results with neither a value nor problems, and edits that break the syntax of a valid text.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const check_result result = checkConfiguration(text);
    require(result.value.has_value() == result.problems.empty());
    checkProblems(result.problems, text);
    const std::string edited = withKey(text, "version small@1", "state", "withdrawn");
    const check_result afterEdit = checkConfiguration(edited);
    checkProblems(afterEdit.problems, edited);
    if (!result.value) {
        return 0;
    }
    require(diffConfigurations(*result.value, *result.value).empty());
    for (const auto &[id, version] : result.value->versions) {
        const std::string withdrawn = withWithdrawal(text, id.value());
        require(parseIni(withdrawn).problems.empty());
        const check_result after = checkConfiguration(withdrawn);
        require(!after.value || after.value->versions.at(id).state == version_state::withdrawn);
        require(withListEntry(withdrawn, "organisation none", "versions", id.value()) != withdrawn);
    }
    return 0;
}

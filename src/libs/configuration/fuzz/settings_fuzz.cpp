#include "configuration/settings.h"

#include <cstdlib>

using namespace crocuslane;

/// Guards against crashes and against results with neither a value nor problems. The first line of the input is the
/// value of the overrides, the rest is the settings text.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view input(reinterpret_cast<const char *>(data), size);
    const std::size_t end = input.find('\n');
    const std::string_view text = end == std::string_view::npos ? std::string_view() : input.substr(end + 1);
    const std::string value(input.substr(0, end));
    for (const std::vector<setting_override> &overrides :
         {std::vector<setting_override>{}, {{"node", "caller_address", value}, {"limits", "freshness_s", value}}}) {
        const settings_result result = checkSettings(text, overrides);
        if (result.value.has_value() != result.problems.empty()) {
            std::abort();
        }
        for (const configuration_problem &problem : result.problems) {
            if (problem.found.empty() || problem.allowed.empty() || toText(problem, "file").empty()) {
                std::abort();
            }
        }
    }
    return 0;
}

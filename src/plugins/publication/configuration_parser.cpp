#include "plugins/publication/configuration_parser.h"

#include "configuration/checker.h"

namespace crocuslane {

namespace {

class text_parser : public configuration_parser
{
public:
    std::variant<std::shared_ptr<const configuration>, std::string> parse(const std::string &text) const override
    {
        check_result checked = checkConfiguration(text);
        if (checked.value) {
            return std::shared_ptr<const configuration>(std::make_shared<configuration>(std::move(*checked.value)));
        }
        std::string message;
        for (const configuration_problem &problem : checked.problems) {
            message += (message.empty() ? "" : "\n") + toText(problem, "configuration");
        }
        return message;
    }
};

} // namespace

std::unique_ptr<configuration_parser> makeConfigurationParser()
{
    return std::make_unique<text_parser>();
}

} // namespace crocuslane

#include "plugins/publication/configuration_parser.h"

namespace crocuslane {

namespace {

class unavailable_parser : public configuration_parser
{
public:
    std::variant<std::shared_ptr<const configuration>, std::string> parse(const std::string & /*text*/) const override
    {
        return std::string("this program was built without a reader for configuration texts");
    }
};

} // namespace

std::unique_ptr<configuration_parser> makeConfigurationParser()
{
    return std::make_unique<unavailable_parser>();
}

} // namespace crocuslane

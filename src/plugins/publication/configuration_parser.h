#pragma once

#include "configuration/configuration.h"

#include <memory>
#include <string>
#include <variant>

namespace crocuslane {

/// Parses and checks the configuration text of the operators. The result must be the same on every VM.
class configuration_parser
{
public:
    virtual ~configuration_parser() = default;
    /// The configuration, or the error messages.
    virtual std::variant<std::shared_ptr<const configuration>, std::string> parse(const std::string &text) const = 0;
};

std::unique_ptr<configuration_parser> makeConfigurationParser();

} // namespace crocuslane

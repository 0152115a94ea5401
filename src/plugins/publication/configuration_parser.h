#pragma once

#include "configuration/configuration.h"

#include <memory>
#include <string>
#include <variant>

namespace crocuslane {

/// Reads and checks the operators' text. The same text must give the same verdict on every VM.
class configuration_parser
{
public:
    virtual ~configuration_parser() = default;
    /// The configuration, or what is wrong with the text.
    virtual std::variant<std::shared_ptr<const configuration>, std::string> parse(const std::string &text) const = 0;
};

std::unique_ptr<configuration_parser> makeConfigurationParser();

} // namespace crocuslane

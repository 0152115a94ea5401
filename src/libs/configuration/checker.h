#pragma once

#include "configuration/configuration.h"
#include "configuration/problem.h"

#include <boost/leaf/result.hpp>

#include <optional>

namespace crocuslane {

/// Result of checking a configuration text: a configuration, or all problems of the text.
struct check_result {
    /// Set if and only if there are no problems.
    std::optional<configuration> value;
    std::vector<configuration_problem> problems;
};

/// Parses and checks a configuration text; reports all faults, not only the first. Accepts any bytes.
check_result checkConfiguration(std::string_view text);
/// Like checkConfiguration(), but fails with configuration_error.
boost::leaf::result<configuration> readConfiguration(std::string_view text);
/// SHA-256 of a configuration text, hexadecimal; sent with each publication.
std::string hashConfiguration(std::string_view text);

} // namespace crocuslane

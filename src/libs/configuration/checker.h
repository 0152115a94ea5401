#pragma once

#include "configuration/configuration.h"
#include "configuration/problem.h"

#include <boost/leaf/result.hpp>

#include <optional>

namespace crocuslane {

/// What a check of the operators' text gives: a configuration, or all problems of the text.
struct check_result {
    /// Set exactly when there are no problems.
    std::optional<configuration> value;
    std::vector<configuration_problem> problems;
};

/// Reads and checks the operators' text in one pass over all faults. Accepts any bytes.
check_result checkConfiguration(std::string_view text);
/// As checkConfiguration(); the error object is configuration_error.
boost::leaf::result<configuration> readConfiguration(std::string_view text);
/// Hash of the operators' text that a publication carries: SHA-256, hexadecimal.
std::string hashConfiguration(std::string_view text);

} // namespace crocuslane

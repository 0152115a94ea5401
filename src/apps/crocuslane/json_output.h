#pragma once

#include <nlohmann/json_fwd.hpp>

#include <iosfwd>

namespace crocuslane {

/// Writes indented JSON and an end of line. Bytes that are not UTF-8 are replaced.
void printJson(std::ostream &out, const nlohmann::json &value);

} // namespace crocuslane

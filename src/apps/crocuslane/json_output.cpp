#include "json_output.h"

#include <nlohmann/json.hpp>

#include <ostream>

namespace crocuslane {

void printJson(std::ostream &out, const nlohmann::json &value)
{
    constexpr int indentation = 2;
    out << value.dump(indentation, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
}

} // namespace crocuslane

#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace crocuslane {

/// One header field, with name and value as in the message.
struct header_field {
    std::string name;
    std::string value;
};

using header_list = std::vector<header_field>;

bool equalsIgnoringCase(std::string_view left, std::string_view right);
/// Value of the first field with this name, in upper or lower case; null when there is none.
const std::string *findField(const header_list &fields, std::string_view name);

} // namespace crocuslane

#pragma once

#include <string>
#include <vector>

namespace crocuslane {

/// One header field as it stands in the message.
struct header_field {
    std::string name;
    std::string value;
};

using header_list = std::vector<header_field>;

} // namespace crocuslane

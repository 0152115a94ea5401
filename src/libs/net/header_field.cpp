#include "net/header_field.h"

#include <algorithm>
#include <cctype>

namespace crocuslane {

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](unsigned char a, unsigned char b) {
        return std::tolower(a) == std::tolower(b);
    });
}

const std::string *findField(const header_list &fields, std::string_view name)
{
    for (const header_field &field : fields) {
        if (equalsIgnoringCase(field.name, name)) {
            return &field.value;
        }
    }
    return nullptr;
}

} // namespace crocuslane

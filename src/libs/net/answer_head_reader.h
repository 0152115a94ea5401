#pragma once

#include "net/header_field.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace crocuslane {

/// Status line and header of an answer.
struct http_response_head {
    std::uint32_t status = 0;
    header_list fields;

    /// Value of the first field with this name, in upper or lower case; null when there is none.
    const std::string *find(std::string_view name) const;
};

/// Reads the heads of an answer line by line: those of interim answers, and the final one.
class answer_head_reader
{
public:
    enum class state {
        incomplete,
        /// The final head is complete. Later lines are those of a trailer and are not read.
        complete,
        /// A head that breaks off and runs into the head of the next answer would otherwise get the fields of that
        /// answer.
        malformed,
    };

    /// @p status is the one of the latest status line.
    state readLine(std::string_view line, std::uint32_t status);
    bool isComplete() const;
    const http_response_head &head() const;

private:
    bool beginHead(std::string_view line, std::uint32_t status);
    bool addField(std::string_view line);

    http_response_head m_head;
    /// A status line was read, and the blank line that ends its head was not.
    bool m_isInsideHead = false;
    bool m_isComplete = false;
};

} // namespace crocuslane

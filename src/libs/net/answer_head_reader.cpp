#include "net/answer_head_reader.h"

#include <algorithm>
#include <cctype>

namespace crocuslane {

namespace {

constexpr std::string_view statusLinePrefix = "HTTP/";
// Between the characters of a field name that are neither letters nor digits (RFC 9110, section 5.6.2).
constexpr std::string_view nameCharacters = "!#$%&'*+-.^_`|~";
// Lower statuses (1xx) are those of interim answers.
constexpr std::uint32_t firstFinalStatus = 200;

bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

/// "HTTP/1.1 200", and a reason or nothing. The versions from 2 on have no heads of text.
bool isStatusLine(std::string_view line)
{
    constexpr std::string_view version = "HTTP/1.";
    constexpr std::size_t statusAt = version.size() + 2;
    constexpr std::size_t statusEnd = statusAt + 3;
    if (line.size() < statusEnd || !line.starts_with(version) || !isDigit(line[version.size()])
        || line[statusAt - 1] != ' ') {
        return false;
    }
    const bool isInRange = line[statusAt] >= '1' && line[statusAt] <= '5';
    return isInRange && isDigit(line[statusAt + 1]) && isDigit(line[statusAt + 2])
        && (line.size() == statusEnd || line[statusEnd] == ' ');
}

bool isFieldName(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char character) {
        return std::isalnum(character) != 0 || nameCharacters.find(static_cast<char>(character)) != std::string::npos;
    });
}

/// Whether @p text contains the beginning of a status line, "HTTP/1.1 200", at or after @p from.
bool containsStatusLine(std::string_view text, std::size_t from)
{
    constexpr std::string_view pattern = "0.0 000";
    for (std::size_t at = text.find(statusLinePrefix, from); at != std::string_view::npos;
         at = text.find(statusLinePrefix, at + 1)) {
        const std::string_view rest = text.substr(at + statusLinePrefix.size(), pattern.size());
        const bool matches = rest.size() == pattern.size()
            && std::equal(rest.begin(), rest.end(), pattern.begin(), [](char found, char expected) {
                                 return expected == '0' ? isDigit(found) : found == expected;
                             });
        if (matches) {
            return true;
        }
    }
    return false;
}

std::string_view withoutSurroundingSpace(std::string_view value)
{
    while (!value.empty() && (value.front() == ' ' || value.front() == '\t')) {
        value.remove_prefix(1);
    }
    while (!value.empty() && (value.back() == ' ' || value.back() == '\t')) {
        value.remove_suffix(1);
    }
    return value;
}

} // namespace

const std::string *http_response_head::find(std::string_view name) const
{
    return findField(fields, name);
}

answer_head_reader::state answer_head_reader::readLine(std::string_view line, std::uint32_t status)
{
    if (m_isComplete) {
        return state::complete;
    }
    while (!line.empty() && (line.back() == '\r' || line.back() == '\n')) {
        line.remove_suffix(1);
    }
    if (!m_isInsideHead) {
        return beginHead(line, status) ? state::incomplete : state::malformed;
    }
    if (!line.empty()) {
        return addField(line) ? state::incomplete : state::malformed;
    }
    m_isInsideHead = false;
    // Another head follows that of an interim answer.
    m_isComplete = m_head.status >= firstFinalStatus;
    return m_isComplete ? state::complete : state::incomplete;
}

bool answer_head_reader::isComplete() const
{
    return m_isComplete;
}

const http_response_head &answer_head_reader::head() const
{
    return m_head;
}

bool answer_head_reader::beginHead(std::string_view line, std::uint32_t status)
{
    if (!isStatusLine(line) || containsStatusLine(line, 1)) {
        return false;
    }
    m_head = {status, {}};
    m_isInsideHead = true;
    return true;
}

bool answer_head_reader::addField(std::string_view line)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || !isFieldName(line.substr(0, colon)) || containsStatusLine(line, colon)) {
        return false;
    }
    const std::string_view name = line.substr(0, colon);
    const std::string_view value = withoutSurroundingSpace(line.substr(colon + 1));
    // With two different lengths, the end of the answer is not known (RFC 9112, section 6.3).
    const std::string *earlier = m_head.find(name);
    if (earlier != nullptr && equalsIgnoringCase(name, "Content-Length") && *earlier != value) {
        return false;
    }
    m_head.fields.push_back({std::string(name), std::string(value)});
    return true;
}

} // namespace crocuslane

#include "net/chunked_decoder.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace crocuslane {

namespace {

// Of the size of a chunk.
constexpr unsigned maximumDigits = 15;
constexpr unsigned bitsPerDigit = 4;
// Extensions of all chunks together may take this much and as much as the data.
constexpr std::uint64_t extensionAllowanceBytes = 16384;

std::optional<unsigned> hexadecimalDigit(char character)
{
    constexpr int base = 16;
    unsigned value = 0;
    const auto result = std::from_chars(&character, &character + 1, value, base);
    return result.ec == std::errc() ? std::optional(value) : std::nullopt;
}

} // namespace

chunked_decoder::chunked_decoder(std::size_t maximumTrailerBytes)
    : m_maximumTrailerBytes(maximumTrailerBytes)
{
}

bool chunked_decoder::decode(std::string_view bytes, std::string &data)
{
    while (!bytes.empty()) {
        bool isValid = true;
        std::size_t taken = 1;
        switch (m_state) {
        case state::size:
            isValid = readSize(bytes.front());
            break;
        case state::extension:
            isValid = readExtension(bytes.front());
            break;
        case state::data:
            taken = takeData(bytes, data);
            break;
        case state::data_end:
            isValid = readDataEnd(bytes.front());
            break;
        case state::trailer:
            isValid = readTrailer(bytes.front());
            break;
        case state::complete:
            return true;
        case state::malformed:
            return false;
        }
        if (!isValid) {
            m_state = state::malformed;
            return false;
        }
        bytes.remove_prefix(taken);
    }
    return true;
}

bool chunked_decoder::isComplete() const
{
    return m_state == state::complete;
}

bool chunked_decoder::readSize(char character)
{
    if (const std::optional<unsigned> digit = hexadecimalDigit(character)) {
        m_size = (m_size << bitsPerDigit) | *digit;
        return ++m_digits <= maximumDigits;
    }
    if (m_digits == 0) {
        return false;
    }
    m_state = state::extension;
    return readExtension(character);
}

// The line ends with a line feed, as for libcurl, which finds the end of the answer.
bool chunked_decoder::readExtension(char character)
{
    if (character == '\n') {
        endSizeLine();
        return true;
    }
    return ++m_extensionBytes <= extensionAllowanceBytes + m_dataBytes;
}

void chunked_decoder::endSizeLine()
{
    m_state = m_size == 0 ? state::trailer : state::data;
    m_digits = 0;
}

std::size_t chunked_decoder::takeData(std::string_view bytes, std::string &data)
{
    const auto taken = static_cast<std::size_t>(std::min<std::uint64_t>(m_size, bytes.size()));
    data.append(bytes.substr(0, taken));
    m_dataBytes += taken;
    m_size -= taken;
    if (m_size == 0) {
        m_state = state::data_end;
    }
    return taken;
}

bool chunked_decoder::readDataEnd(char character)
{
    if (character == '\n') {
        m_state = state::size;
        m_hasReturn = false;
        return true;
    }
    return character == '\r' && !std::exchange(m_hasReturn, true);
}

bool chunked_decoder::readTrailer(char character)
{
    if (character == '\n') {
        m_state = m_isLineEmpty ? state::complete : state::trailer;
        m_isLineEmpty = true;
        return true;
    }
    m_isLineEmpty = m_isLineEmpty && character == '\r';
    return ++m_trailerBytes <= m_maximumTrailerBytes;
}

} // namespace crocuslane

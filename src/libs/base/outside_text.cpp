#include "base/outside_text.h"

#include <fmt/format.h>

namespace crocuslane {

namespace {

constexpr unsigned char firstPrintable = 0x20;
constexpr unsigned char deleteCharacter = 0x7f;
constexpr unsigned char firstNonAscii = 0x80;

bool isControl(char character)
{
    const auto byte = static_cast<unsigned char>(character);
    return byte < firstPrintable || byte == deleteCharacter;
}

/// Bounds of the second byte, which exclude overlong forms, surrogates and values above U+10FFFF (RFC 3629, section 4).
bool isSecondByte(unsigned char first, unsigned char second)
{
    constexpr unsigned char continuationEnd = 0xbf;
    unsigned char low = firstNonAscii;
    unsigned char high = continuationEnd;
    switch (first) {
    case 0xe0:
        low = 0xa0;
        break;
    case 0xed:
        high = 0x9f;
        break;
    case 0xf0:
        low = 0x90;
        break;
    case 0xf4:
        high = 0x8f;
        break;
    default:
        break;
    }
    return second >= low && second <= high;
}

std::size_t sizeFromFirstByte(unsigned char first)
{
    if (first < firstNonAscii) {
        return 1;
    }
    if (first >= 0xc2 && first <= 0xdf) {
        return 2;
    }
    if (first >= 0xe0 && first <= 0xef) {
        return 3;
    }
    return first >= 0xf0 && first <= 0xf4 ? 4 : 0;
}

} // namespace

std::size_t utf8CharacterSize(std::string_view text, std::size_t position)
{
    const auto first = static_cast<unsigned char>(text[position]);
    const std::size_t size = sizeFromFirstByte(first);
    if (size == 0 || position + size > text.size()) {
        return 0;
    }
    if (size > 1 && !isSecondByte(first, static_cast<unsigned char>(text[position + 1]))) {
        return 0;
    }
    for (std::size_t index = 2; index < size; ++index) {
        constexpr unsigned char continuationMask = 0xc0;
        if ((static_cast<unsigned char>(text[position + index]) & continuationMask) != firstNonAscii) {
            return 0;
        }
    }
    return size;
}

bool isPlainText(std::string_view text)
{
    std::size_t position = 0;
    while (position < text.size()) {
        const std::size_t size = utf8CharacterSize(text, position);
        if (size == 0 || isControl(text[position])) {
            return false;
        }
        position += size;
    }
    return true;
}

std::string escapedText(std::string_view text, std::size_t maximumBytes)
{
    std::string result;
    std::size_t position = 0;
    while (position < text.size()) {
        if (result.size() >= maximumBytes) {
            return result + "...";
        }
        const std::size_t size = utf8CharacterSize(text, position);
        if (size == 0 || isControl(text[position])) {
            result += fmt::format("\\x{:02x}", static_cast<unsigned char>(text[position]));
            ++position;
        } else {
            result += text.substr(position, size);
            position += size;
        }
    }
    return result;
}

} // namespace crocuslane

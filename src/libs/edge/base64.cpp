#include "edge/base64.h"

#include <openssl/evp.h>

namespace crocuslane {

std::string encodeBase64(std::string_view data)
{
    // EVP_EncodeBlock writes a terminating zero after the text.
    std::string text((data.size() + 2) / 3 * 4 + 1, '\0');
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                     reinterpret_cast<const unsigned char *>(data.data()),
                                     static_cast<int>(data.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    if (text.size() % 4 != 0) {
        return std::nullopt;
    }
    std::string data(text.size() / 4 * 3, '\0');
    const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(data.data()),
                                     reinterpret_cast<const unsigned char *>(text.data()),
                                     static_cast<int>(text.size()));
    if (size < 0) {
        return std::nullopt;
    }
    // EVP_DecodeBlock decodes padding as zero bytes.
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=') {
        ++padding;
    }
    data.resize(static_cast<std::size_t>(size) - padding);
    return data;
}

} // namespace crocuslane

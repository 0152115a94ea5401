#include "base/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace crocuslane {

namespace {

std::string toHex(const unsigned char *bytes, std::size_t size)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(size * 2);
    for (std::size_t index = 0; index < size; ++index) {
        text += digits[bytes[index] >> 4];
        text += digits[bytes[index] & 0x0f];
    }
    return text;
}

} // namespace

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    EVP_Digest(data.data(), data.size(), digest.data(), &size, EVP_sha256(), nullptr);
    return toHex(digest.data(), size);
}

std::string hmacSha256Hex(std::string_view key, std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    HMAC(EVP_sha256(),
         key.data(),
         static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(data.data()),
         data.size(),
         digest.data(),
         &size);
    return toHex(digest.data(), size);
}

bool equalConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace crocuslane

#include "net/socket_address.h"

#include <boost/leaf/error.hpp>

#include <arpa/inet.h>

#include <charconv>

namespace crocuslane {

// Inside the namespace, because <search.h>, which ACE includes, declares a global "leaf".
namespace leaf = boost::leaf;

leaf::result<sockaddr_in> parseSocketAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    std::uint16_t port = 0;
    const char *const end = text.data() + text.size();
    bool hasPort = false;
    if (colon != std::string::npos) {
        const auto [parsedEnd, error] = std::from_chars(text.data() + colon + 1, end, port);
        hasPort = error == std::errc{} && parsedEnd == end;
    }
    // inet_pton() reads up to the first NUL.
    const bool hasNul = text.find('\0') != std::string::npos;
    if (!hasPort || hasNul || inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) != 1) {
        return leaf::new_error(net_error{net_error_code::address_invalid, "expected ip:port, found \"" + text + "\""});
    }
    address.sin_port = htons(port);
    return address;
}

} // namespace crocuslane

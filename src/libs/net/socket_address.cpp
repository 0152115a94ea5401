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
    const bool hasPort = colon != std::string::npos
        && std::from_chars(text.data() + colon + 1, text.data() + text.size(), port).ec == std::errc{};
    if (!hasPort || inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) != 1) {
        return leaf::new_error(net_error{net_error_code::address_invalid, "expected ip:port, found \"" + text + "\""});
    }
    address.sin_port = htons(port);
    return address;
}

} // namespace crocuslane

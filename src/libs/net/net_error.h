#pragma once

#include <string>

namespace crocuslane {

enum class net_error_code {
    address_invalid,
    listen_failed,
    tls_file_invalid,
};

/// Error of the network layer; @c detail names the address or the file, and the cause.
struct net_error {
    net_error_code code = net_error_code::listen_failed;
    std::string detail;
};

} // namespace crocuslane

#pragma once

#include "net/net_error.h"

#include <boost/leaf/result.hpp>

#include <netinet/in.h>

namespace crocuslane {

/// Parses "ip:port" (IPv4). Fails with net_error_code::address_invalid.
boost::leaf::result<sockaddr_in> parseSocketAddress(const std::string &text);

} // namespace crocuslane

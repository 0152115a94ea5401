#pragma once

#include "net/net_error.h"

#include <boost/leaf/result.hpp>

#include <netinet/in.h>

namespace crocuslane {

/// Reads "ip:port" (IPv4).
boost::leaf::result<sockaddr_in> parseSocketAddress(const std::string &text);

} // namespace crocuslane

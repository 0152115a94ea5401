#pragma once

#include "net/http_server.h"

#include <boost/leaf/result.hpp>

#include <string>
#include <string_view>

namespace crocuslane {

/// PEM texts. They must outlive the daemon, because libmicrohttpd keeps pointers to them.
struct tls_identity {
    std::string certificate;
    std::string privateKey;
};

/// Fails with net_error when a file is not readable or invalid, or when key and certificate do not match.
boost::leaf::result<tls_identity> readTlsIdentity(const tls_files &files);
/// The error of the file at @p path. @p role says what the file contains.
net_error tlsFileError(std::string_view role, const std::string &path, std::string_view cause);

} // namespace crocuslane

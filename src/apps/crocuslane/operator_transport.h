#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace crocuslane {

enum class transport_result {
    answered,
    /// No connection was made, so nothing was sent.
    not_connected,
    /// The request may have been received; its answer wasn't.
    lost,
};

struct transport_request {
    std::string method = "GET";
    /// "ip:port"
    std::string address;
    /// Path with query.
    std::string target;
    std::string body;
};

struct transport_reply {
    transport_result result = transport_result::lost;
    std::uint32_t status = 0;
    std::string body;
    /// Reason when there is no answer.
    std::string detail;
};

/// Carries requests to entry VMs.
class operator_transport
{
public:
    virtual ~operator_transport() = default;
    /// Sends all requests at the same time; replies in the same order.
    virtual std::vector<transport_reply> exchange(const std::vector<transport_request> &requests) = 0;
};

struct transport_settings {
    /// The operator's key, sent with each request.
    std::string key;
    bool isTls = false;
    /// PEM file of the authorities that TLS trusts; empty for those of the system.
    std::string caFile;
};

/// HTTP or HTTPS by libcurl.
std::unique_ptr<operator_transport> makeCurlTransport(const transport_settings &settings);

} // namespace crocuslane

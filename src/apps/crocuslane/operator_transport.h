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
    /// The request may have been received, but no complete answer arrived.
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

/// Sends requests to entry VMs and receives the answers.
class operator_transport
{
public:
    virtual ~operator_transport() = default;
    /// Sends all requests at the same time. The replies are in the order of the requests.
    virtual std::vector<transport_reply> exchange(const std::vector<transport_request> &requests) = 0;
};

struct transport_settings {
    /// The operator's key, sent with each request.
    std::string key;
    bool isTls = false;
    /// PEM file of the certificate authorities to trust; empty for those of the system.
    std::string caFile;
};

/// Transport over HTTP or HTTPS with libcurl.
std::unique_ptr<operator_transport> makeCurlTransport(const transport_settings &settings);

} // namespace crocuslane

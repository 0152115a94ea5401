#pragma once

#include "base/clock.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace crocuslane {

class event_loop;

using transfer_number = std::uint64_t;

enum class transfer_result {
    complete,
    /// No connection was made, so nothing was sent.
    not_connected,
    /// The connection ended or the timeout passed after the request may have been sent.
    lost,
};

struct http_client_request {
    std::string method = "GET";
    /// "ip:port"
    std::string address;
    /// Path with query.
    std::string target;
    std::vector<std::string> headers;
    std::string body;
    duration connectTimeout = std::chrono::seconds(1);
    /// Limit of the whole transfer; zero for none.
    duration timeout{};
    /// The transfer is lost when nothing arrived for this long; zero for none.
    duration silenceLimit{};

    /// Status line and headers were read.
    std::function<void(std::uint32_t status)> onStatus;
    std::function<void(std::string_view data)> onData;
    /// Last call; @p status is 0 without an answer.
    std::function<void(transfer_result result, std::uint32_t status)> onEnd;
};

/// HTTP client on libcurl's multi-socket interface, driven by the event loop.
class http_client
{
public:
    explicit http_client(event_loop &loop);
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    transfer_number start(http_client_request request);
    /// Ends a transfer and closes its connection; none of its callbacks follows.
    void cancel(transfer_number transfer);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace crocuslane

#pragma once

#include "base/clock.h"
#include "net/header_field.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
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

/// Status line and header of an answer.
struct http_response_head {
    std::uint32_t status = 0;
    header_list fields;

    /// Value of the first field of this name in any case; null when there is none.
    const std::string *find(std::string_view name) const;
};

struct http_client_request {
    std::string method = "GET";
    /// "ip:port"
    std::string address;
    /// Path with query.
    std::string target;
    std::vector<std::string> headers;
    /// Sent as they are after @c headers, without the fields that the library would add by itself.
    std::optional<header_list> exactFields;
    std::string body;
    /// An idle connection that is older is not used again.
    std::chrono::seconds idleLimit{10};
    duration connectTimeout = std::chrono::seconds(1);
    /// Limit of the whole transfer; zero for none.
    duration timeout{};
    /// The transfer is lost when nothing arrived for this long; zero for none.
    duration silenceLimit{};

    /// Status line and headers were read.
    std::function<void(const http_response_head &head)> onHead;
    /// Before the first data.
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

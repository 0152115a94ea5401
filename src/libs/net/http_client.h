#pragma once

#include "base/clock.h"
#include "net/answer_head_reader.h"
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
    /// A complete answer arrived, with any status.
    complete,
    /// No connection was established, so nothing was sent.
    not_connected,
    /// The connection ended or a time limit passed, and the request may have been sent.
    lost,
};

struct http_client_request {
    std::string method = "GET";
    /// "ip:port"
    std::string address;
    /// Path with query.
    std::string target;
    /// Header lines, "name: value".
    std::vector<std::string> headers;
    /// Sent unchanged after @c headers. When set, libcurl's default values of Accept and Content-Type are not sent.
    std::optional<header_list> exactFields;
    std::string body;
    /// An idle connection that is older is not reused; zero for a new connection in any case.
    std::chrono::seconds idleLimit{10};
    duration connectTimeout = std::chrono::seconds(1);
    /// Time limit of the whole transfer; zero for none.
    duration timeout{};
    /// The transfer ends as lost when nothing arrives for this long; zero for no limit.
    duration silenceLimit{};
    /// The transfer ends as lost, and its connection is closed, when the header lines of the answer, those of interim
    /// answers included, or a trailer take more bytes. The same holds for a head that is malformed, or that another
    /// status line is a part of, for malformed chunks, and for chunk extensions that take far more bytes than the data.
    std::size_t maximumHeadBytes = 64UL * 1024UL;
    /// The same for the body; zero for no limit, where the receiver bounds what it keeps.
    std::size_t maximumBodyBytes = 16UL * 1024UL * 1024UL;

    /// Called once, when status line and headers of the final answer have been read.
    std::function<void(const http_response_head &head)> onHead;
    /// Called before the first call of @c onData.
    std::function<void(std::uint32_t status)> onStatus;
    std::function<void(std::string_view data)> onData;
    /// Called last; @p status is 0 without an answer.
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
    /// Ends a transfer whose answer is of no further interest; none of its callbacks follows. Its connection is kept
    /// when the answer is complete, and closed otherwise.
    void discard(transfer_number transfer);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace crocuslane

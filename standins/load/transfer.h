#pragma once

#include "base/clock.h"

#include <curl/curl.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocuslane {

/// Result of one HTTP request.
struct transfer_outcome {
    /// HTTP status, 0 when no status line was received.
    long status = 0;
    /// The status was 200 and the answer was received to its end; for a stream, to its last event and without an error
    /// event.
    bool isComplete = false;
    std::string version;
    std::string sessionToken;
    /// Text of a model's answer; the body of any other answer.
    std::string text;
    std::uint32_t tokens = 0;
    std::string errorCode;
    std::string errorExecution;
    steady_time startedAt;
    std::optional<steady_time> firstTokenAt;
    /// Times between successive tokens of a stream.
    std::vector<duration> gaps;
    steady_time endedAt;
};

/// One HTTP request on a libcurl multi handle. The answer is read as a stream of server-sent events or as one body.
class transfer
{
public:
    struct request {
        /// "address:port"
        std::string address;
        std::string path;
        std::vector<std::string> headers;
        std::string body;
        bool isModelRequest = false;
        bool isStreaming = false;
        long timeoutMilliseconds = 600000;
    };

    explicit transfer(request request);
    ~transfer();
    transfer(const transfer &) = delete;
    transfer &operator=(const transfer &) = delete;

    CURL *handle() const;
    /// To be called once, when libcurl has reported the end of the transfer.
    transfer_outcome finish(CURLcode result);

private:
    static std::size_t receiveData(char *data, std::size_t size, std::size_t count, void *self);
    static std::size_t receiveHeader(char *data, std::size_t size, std::size_t count, void *self);
    void readStream(std::string_view data);
    void readEvent(std::string_view line);
    void readWholeAnswer();

    request m_request;
    CURL *m_handle;
    curl_slist *m_headers = nullptr;
    std::string m_buffer;
    steady_time m_lastTokenAt;
    bool m_isEnded = false;
    transfer_outcome m_outcome;
};

} // namespace crocuslane

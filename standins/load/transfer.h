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

/// What came back for one HTTP request.
struct transfer_outcome {
    /// 0 when no status line came.
    long status = 0;
    /// The whole answer came: to its end, and for a stream to its last event.
    bool isComplete = false;
    std::string version;
    std::string sessionToken;
    /// Text of the answer, or the body when it's no model answer.
    std::string text;
    std::uint32_t tokens = 0;
    std::string errorCode;
    std::string errorExecution;
    steady_time startedAt;
    std::optional<steady_time> firstTokenAt;
    std::vector<duration> gaps;
    steady_time endedAt;
};

/// One HTTP request on a libcurl multi handle, read as a server-sent stream or as a whole answer.
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
    /// Once libcurl reports the end.
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

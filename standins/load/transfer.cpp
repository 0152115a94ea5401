#include "load/transfer.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>

namespace crocuslane {

using nlohmann::json;

namespace {

constexpr std::string_view dataPrefix = "data: ";
constexpr long connectTimeoutMilliseconds = 2000;

std::string headerValue(std::string_view line, std::string_view lowerCaseName)
{
    if (line.size() <= lowerCaseName.size() || line[lowerCaseName.size()] != ':') {
        return {};
    }
    const bool isNameEqual =
        std::equal(lowerCaseName.begin(), lowerCaseName.end(), line.begin(), [](char expected, unsigned char found) {
            return expected == static_cast<char>(std::tolower(found));
        });
    if (!isNameEqual) {
        return {};
    }
    line.remove_prefix(lowerCaseName.size() + 1);
    const std::size_t first = line.find_first_not_of(' ');
    const std::size_t last = line.find_last_not_of("\r\n ");
    return first == std::string_view::npos ? std::string() : std::string(line.substr(first, last - first + 1));
}

} // namespace

transfer::transfer(request request)
    : m_request(std::move(request))
    , m_handle(curl_easy_init())
{
    for (const std::string &header : m_request.headers) {
        m_headers = curl_slist_append(m_headers, header.c_str());
    }
    // Disables "Expect: 100-continue", for which libcurl would wait up to a second before it sends a larger body.
    m_headers = curl_slist_append(m_headers, "Expect:");
    const std::string url = "http://" + m_request.address + m_request.path;
    curl_easy_setopt(m_handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(m_handle, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(m_handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(m_handle, CURLOPT_CONNECTTIMEOUT_MS, connectTimeoutMilliseconds);
    curl_easy_setopt(m_handle, CURLOPT_TIMEOUT_MS, m_request.timeoutMilliseconds);
    curl_easy_setopt(m_handle, CURLOPT_HTTPHEADER, m_headers);
    if (!m_request.body.empty()) {
        curl_easy_setopt(m_handle, CURLOPT_POSTFIELDS, m_request.body.data());
        curl_easy_setopt(m_handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(m_request.body.size()));
    }
    curl_easy_setopt(m_handle, CURLOPT_WRITEFUNCTION, &transfer::receiveData);
    curl_easy_setopt(m_handle, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_HEADERFUNCTION, &transfer::receiveHeader);
    curl_easy_setopt(m_handle, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_PRIVATE, this);
    m_outcome.startedAt = std::chrono::steady_clock::now();
}

transfer::~transfer()
{
    curl_easy_cleanup(m_handle);
    curl_slist_free_all(m_headers);
}

CURL *transfer::handle() const
{
    return m_handle;
}

transfer_outcome transfer::finish(CURLcode result)
{
    curl_easy_getinfo(m_handle, CURLINFO_RESPONSE_CODE, &m_outcome.status);
    m_outcome.endedAt = std::chrono::steady_clock::now();
    const bool isStream = m_request.isStreaming && m_outcome.status == 200;
    if (!isStream && result == CURLE_OK) {
        readWholeAnswer();
    }
    m_outcome.isComplete = result == CURLE_OK && m_outcome.status == 200 && (!isStream || m_isEnded);
    return std::move(m_outcome);
}

std::size_t transfer::receiveData(char *data, std::size_t size, std::size_t count, void *self)
{
    transfer &current = *static_cast<transfer *>(self);
    long status = 0;
    curl_easy_getinfo(current.m_handle, CURLINFO_RESPONSE_CODE, &status);
    current.m_buffer.append(data, size * count);
    if (current.m_request.isStreaming && status == 200) {
        current.readStream(current.m_buffer);
    }
    return size * count;
}

std::size_t transfer::receiveHeader(char *data, std::size_t size, std::size_t count, void *self)
{
    transfer &current = *static_cast<transfer *>(self);
    const std::string_view line(data, size * count);
    for (const auto &[name, target] : {std::pair{"x-crocuslane-version", &current.m_outcome.version},
                                       std::pair{"x-crocuslane-session", &current.m_outcome.sessionToken}}) {
        std::string value = headerValue(line, name);
        if (!value.empty()) {
            *target = std::move(value);
        }
    }
    return size * count;
}

void transfer::readStream(std::string_view data)
{
    std::size_t start = 0;
    for (std::size_t end = data.find('\n'); end != std::string_view::npos; end = data.find('\n', start)) {
        readEvent(data.substr(start, end - start));
        start = end + 1;
    }
    m_buffer.erase(0, start);
}

void transfer::readEvent(std::string_view line)
{
    if (!line.starts_with(dataPrefix)) {
        return;
    }
    line.remove_prefix(dataPrefix.size());
    if (line.starts_with("[DONE]")) {
        // After an error event, the answer is incomplete although the stream has ended.
        m_isEnded = m_outcome.errorCode.empty();
        return;
    }
    const json chunk = json::parse(line, nullptr, false);
    if (!chunk.is_object()) {
        return;
    }
    if (chunk.contains("error")) {
        m_outcome.errorCode = chunk["error"].value("code", "unreadable");
        m_outcome.errorExecution = chunk["error"].value("execution", "unknown");
        return;
    }
    const json content = chunk.value(json::json_pointer("/choices/0/delta/content"), json());
    if (!content.is_string()) {
        return;
    }
    const steady_time now = std::chrono::steady_clock::now();
    if (!m_outcome.firstTokenAt) {
        m_outcome.firstTokenAt = now;
    } else {
        m_outcome.gaps.push_back(now - m_lastTokenAt);
    }
    m_lastTokenAt = now;
    ++m_outcome.tokens;
    m_outcome.text += content.get<std::string>();
}

void transfer::readWholeAnswer()
{
    const json answer = json::parse(m_buffer, nullptr, false);
    if (m_outcome.status != 200) {
        const json error = answer.is_object() ? answer.value("error", json::object()) : json::object();
        m_outcome.errorCode = error.is_object() ? error.value("code", "unreadable") : "unreadable";
        m_outcome.errorExecution = error.is_object() ? error.value("execution", "unknown") : "unknown";
        return;
    }
    m_outcome.firstTokenAt = m_outcome.endedAt;
    if (!m_request.isModelRequest || !answer.is_object()) {
        m_outcome.text = m_buffer;
        return;
    }
    m_outcome.text = answer.value(json::json_pointer("/choices/0/message/content"), "");
    m_outcome.tokens = answer.value(json::json_pointer("/usage/completion_tokens"), 0U);
}

} // namespace crocuslane

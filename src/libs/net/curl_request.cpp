#include "net/curl_request.h"

#include "net/http_client.h"

namespace crocuslane {

namespace {

/// Appends @p fields, and removes the fields that libcurl would add by default.
curl_slist *appendExactFields(curl_slist *list, const header_list &fields)
{
    for (const std::string_view defaultField : {"Accept", "Content-Type"}) {
        const bool isGiven = findField(fields, defaultField) != nullptr;
        if (!isGiven) {
            list = curl_slist_append(list, (std::string(defaultField) + ":").c_str());
        }
    }
    for (const header_field &field : fields) {
        // In libcurl's lists, a name with a semicolon stands for a field with an empty value.
        const std::string line = field.value.empty() ? field.name + ";" : field.name + ": " + field.value;
        list = curl_slist_append(list, line.c_str());
    }
    return list;
}

long toMilliseconds(duration value)
{
    return static_cast<long>(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

void setTimeLimits(CURL *handle, const http_client_request &request)
{
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, toMilliseconds(request.connectTimeout));
    if (request.timeout > duration::zero()) {
        curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, toMilliseconds(request.timeout));
    }
}

void setMethod(CURL *handle, const http_client_request &request)
{
    if (request.method == "HEAD") {
        curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
    } else if (request.method != "GET" && request.method != "POST") {
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    } else if (request.method == "GET" && !request.body.empty()) {
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, "GET");
    }
}

void setBody(CURL *handle, const std::string &body)
{
    curl_easy_setopt(handle, CURLOPT_POST, 1L);
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body.size()));
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, body.data());
}

} // namespace

curl_slist *setCurlRequest(CURL *handle, const http_client_request &request)
{
    curl_easy_setopt(handle, CURLOPT_URL, ("http://" + request.address + "/").c_str());
    // Sent as given: libcurl would normalise dot segments and spaces in the URL.
    curl_easy_setopt(handle, CURLOPT_REQUEST_TARGET, request.target.c_str());
    curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
    setTimeLimits(handle, request);
    curl_slist *lines = nullptr;
    if (request.method == "POST" || !request.body.empty()) {
        setBody(handle, request.body);
        // Waiting for "100 Continue" would add a round trip to every large request.
        lines = curl_slist_append(lines, "Expect:");
    }
    setMethod(handle, request);
    for (const std::string &header : request.headers) {
        lines = curl_slist_append(lines, header.c_str());
    }
    if (request.exactFields) {
        lines = appendExactFields(lines, *request.exactFields);
    }
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, lines);
    return lines;
}

} // namespace crocuslane

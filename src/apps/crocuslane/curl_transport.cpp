#include "operator_transport.h"

#include <curl/curl.h>
#include <fmt/format.h>

#include <chrono>

namespace crocuslane {

namespace {

constexpr std::chrono::milliseconds connectTimeout{1000};
// The daemon answers reads immediately. A VM that is paused or cut off by a network partition must not delay the
// answers of the other VMs for long.
constexpr std::chrono::milliseconds readTimeout{3000};
// The daemon answers a publication within 10 s.
constexpr std::chrono::milliseconds changeTimeout{15'000};
constexpr int pollMilliseconds = 200;
constexpr long connectionLimit = 64;
constexpr std::size_t answerLimitBytes = 64UL * 1024 * 1024;

std::size_t appendBody(const char *data, std::size_t size, std::size_t count, void *target)
{
    auto *body = static_cast<std::string *>(target);
    const std::size_t bytes = size * count;
    if (body->size() + bytes > answerLimitBytes) {
        return 0;
    }
    body->append(data, bytes);
    return bytes;
}

struct easy_deleter {
    void operator()(CURL *handle) const
    {
        curl_easy_cleanup(handle);
    }
};

struct multi_deleter {
    void operator()(CURLM *handle) const
    {
        curl_multi_cleanup(handle);
    }
};

struct list_deleter {
    void operator()(curl_slist *list) const
    {
        curl_slist_free_all(list);
    }
};

using easy_pointer = std::unique_ptr<CURL, easy_deleter>;
using multi_pointer = std::unique_ptr<CURLM, multi_deleter>;
using list_pointer = std::unique_ptr<curl_slist, list_deleter>;

bool isNotConnected(CURLcode code, CURL *handle)
{
    curl_off_t connectTime = 0;
    curl_easy_getinfo(handle, CURLINFO_CONNECT_TIME_T, &connectTime);
    return code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST || code == CURLE_URL_MALFORMAT
        || code == CURLE_SSL_CONNECT_ERROR || code == CURLE_PEER_FAILED_VERIFICATION || code == CURLE_SSL_CACERT_BADFILE
        || (code == CURLE_OPERATION_TIMEDOUT && connectTime == 0);
}

class curl_transport : public operator_transport
{
public:
    explicit curl_transport(const transport_settings &settings)
        : m_settings(settings)
    {
        curl_global_init(CURL_GLOBAL_DEFAULT);
        m_headers.reset(curl_slist_append(nullptr, "Content-Type: text/plain"));
        // Without this, curl waits for "100 Continue" before it sends a long text.
        curl_slist_append(m_headers.get(), "Expect:");
        if (!settings.key.empty()) {
            curl_slist_append(m_headers.get(), ("Authorization: Bearer " + settings.key).c_str());
        }
    }

    std::vector<transport_reply> exchange(const std::vector<transport_request> &requests) override
    {
        std::vector<transport_reply> replies(requests.size());
        const multi_pointer multi(curl_multi_init());
        curl_multi_setopt(multi.get(), CURLMOPT_MAX_TOTAL_CONNECTIONS, connectionLimit);
        std::vector<easy_pointer> handles;
        for (std::size_t index = 0; index < requests.size(); ++index) {
            handles.push_back(makeHandle(requests[index], replies[index]));
            curl_multi_add_handle(multi.get(), handles.back().get());
        }
        run(multi.get());
        for (const easy_pointer &handle : handles) {
            curl_multi_remove_handle(multi.get(), handle.get());
        }
        return replies;
    }

private:
    static std::chrono::duration<long, std::milli> timeoutOf(const transport_request &request)
    {
        return request.method == "POST" ? changeTimeout : readTimeout;
    }

    easy_pointer makeHandle(const transport_request &request, transport_reply &reply) const
    {
        easy_pointer handle(curl_easy_init());
        CURL *curl = handle.get();
        curl_easy_setopt(
            curl,
            CURLOPT_URL,
            fmt::format("{}://{}{}", m_settings.isTls ? "https" : "http", request.address, request.target).c_str());
        if (!m_settings.caFile.empty()) {
            curl_easy_setopt(curl, CURLOPT_CAINFO, m_settings.caFile.c_str());
        }
        // Connects to entry VMs directly, even when the environment sets a proxy.
        curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
        curl_easy_setopt(curl, CURLOPT_HTTPHEADER, m_headers.get());
        curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(connectTimeout.count()));
        curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, timeoutOf(request).count());
        curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, appendBody);
        curl_easy_setopt(curl, CURLOPT_WRITEDATA, &reply.body);
        curl_easy_setopt(curl, CURLOPT_PRIVATE, &reply);
        if (request.method == "POST") {
            curl_easy_setopt(curl, CURLOPT_POST, 1L);
            curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
            curl_easy_setopt(curl, CURLOPT_COPYPOSTFIELDS, request.body.c_str());
        }
        return handle;
    }

    static void run(CURLM *multi)
    {
        int running = 1;
        while (running > 0) {
            if (curl_multi_perform(multi, &running) != CURLM_OK) {
                return;
            }
            collect(multi);
            if (running > 0 && curl_multi_poll(multi, nullptr, 0, pollMilliseconds, nullptr) != CURLM_OK) {
                return;
            }
        }
    }

    static void collect(CURLM *multi)
    {
        int remaining = 0;
        while (const CURLMsg *message = curl_multi_info_read(multi, &remaining)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            transport_reply *reply = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &reply);
            const CURLcode code = message->data.result;
            if (code == CURLE_OK) {
                long status = 0;
                curl_easy_getinfo(message->easy_handle, CURLINFO_RESPONSE_CODE, &status);
                reply->result = transport_result::answered;
                reply->status = static_cast<std::uint32_t>(status);
                continue;
            }
            reply->result =
                isNotConnected(code, message->easy_handle) ? transport_result::not_connected : transport_result::lost;
            reply->detail = curl_easy_strerror(code);
        }
    }

    transport_settings m_settings;
    list_pointer m_headers;
};

} // namespace

std::unique_ptr<operator_transport> makeCurlTransport(const transport_settings &settings)
{
    return std::make_unique<curl_transport>(settings);
}

} // namespace crocuslane

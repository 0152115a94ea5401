#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

struct MHD_Connection;
struct MHD_Response;

namespace crocuslane {

/// An HTTP request as received.
struct standin_request {
    std::string method;
    std::string path;
    std::map<std::string, std::string, std::less<>> query;
    /// Names in lower case.
    std::map<std::string, std::string, std::less<>> headers;
    std::string body;

    /// Value of a header, empty when absent.
    std::string_view header(std::string_view lowerCaseName) const;
    /// Value of a query parameter, @p fallback when absent or not a number.
    std::uint64_t number(std::string_view parameter, std::uint64_t fallback) const;
};

/// One request and its answer, which may be sent later, at once or as a stream.
class standin_exchange
{
public:
    standin_exchange(standin_request request, MHD_Connection *connection);
    ~standin_exchange();
    standin_exchange(const standin_exchange &) = delete;
    standin_exchange &operator=(const standin_exchange &) = delete;

    const standin_request &request() const;
    /// Must be called before answer() or beginStream().
    void setHeader(std::string name, std::string value);
    void answer(unsigned status, std::string body, std::string_view contentType = "application/json");
    void beginStream(std::string_view contentType);
    void write(std::string_view part);
    void endStream();
    /// Closes the connection before the answer, or before its end.
    void drop();
    /// Closes the connection in place of the answer, so that the request takes effect but isn't answered.
    void loseAnswer();
    /// Sets a function that is called once, when the answer has been sent or the connection was lost. While nothing is
    /// written, a loss is detected only by standin_listener_access::dropDisconnected().
    void onClosed(std::function<void()> callback);

private:
    friend class standin_listener_access;

    void respond(MHD_Response *response, unsigned status, std::string_view contentType);
    void resume();

    standin_request m_request;
    MHD_Connection *m_connection;
    std::vector<std::pair<std::string, std::string>> m_headers;
    std::function<void()> m_onClosed;
    std::function<void()> m_onResume;
    MHD_Response *m_response = nullptr;
    unsigned m_status = 0;
    std::string m_unsent;
    bool m_isDispatched = false;
    bool m_isSuspended = false;
    bool m_isEnded = false;
    bool m_isDropped = false;
    bool m_isSilent = false;
    bool m_losesAnswer = false;
};

} // namespace crocuslane

#pragma once

#include "net/header_field.h"
#include "net/net_error.h"

#include <boost/leaf/result.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace crocuslane {

class byte_budget;
class event_loop;

struct http_request {
    std::string method = {};
    std::string path = {};
    std::map<std::string, std::string> query = {};
    std::string body = {};
    /// The body exceeded the limit and was discarded.
    bool isOversized = false;
    /// The body was discarded and the fields may be missing, because the requests that the process keeps exceeded their
    /// limit together.
    bool isShed = false;
    /// Path and query as the client wrote them.
    std::string target = {};
    /// All fields in their order, as the client wrote them.
    header_list fields = {};
    /// Size of the largest answer head that the connection has memory for.
    std::size_t answerHeadBytes = 0;

    /// Value of the last field with this name, in upper or lower case; null when there is none.
    const std::string *header(std::string_view name) const;
};

/// One request and its answer. Calls after the end of the answer or of the connection have no effect.
class http_exchange
{
public:
    virtual ~http_exchange() = default;
    virtual const http_request &request() const = 0;
    /// Sends a complete answer.
    virtual void respond(std::uint32_t status, header_list headers, std::string body) = 0;
    /// Starts an answer of unknown length; send() and finish() follow.
    virtual void begin(std::uint32_t status, header_list headers) = 0;
    /// False when the client has left too many bytes unread. The connection is then closed as by abort().
    virtual bool send(std::string_view data) = 0;
    virtual void finish() = 0;
    /// Closes the connection in the middle of the answer, so that the client does not take it as complete.
    virtual void abort() = 0;
};

struct http_server_limits {
    std::size_t bodyBytes = 0;
    /// Beyond it, a new connection replaces the one that has made no progress for the longest time.
    std::size_t connections = 0;
    /// A connection without a request in progress is closed after this time; zero for never.
    std::chrono::seconds idleTimeout{0};
    /// Memory for the header of a request; a longer header is refused.
    std::size_t headerBytes = 32768;
    /// Bounds the requests and answers that are kept at one time, together with what else counts in it; null for no
    /// bound. Only one server may have it.
    byte_budget *keptBytes = nullptr;
    /// Time for the head of a request after its first line; zero for any.
    std::chrono::seconds headTimeout{0};
    /// Time in which a body, or an answer that is being read, must make progress; zero for any.
    std::chrono::seconds transferTimeout{0};
    /// Receive buffer of a connection, outside the memory of the process; 0 for the system's default.
    int receiveBufferBytes = 0;
    /// A request that leaves less of @c headerBytes for the head of its answer is refused with 431.
    std::size_t answerHeadBytes = 2048;
};

/// Paths of PEM files. Unless both are set, the server uses plain HTTP.
struct tls_files {
    std::string certificate;
    std::string privateKey;
};

/// Handles the requests of an http_server.
class http_handler
{
public:
    virtual ~http_handler() = default;
    virtual void handleRequest(const std::shared_ptr<http_exchange> &exchange) = 0;
    /// Called when the connection ended before the complete answer was sent.
    virtual void handleAbandoned(const http_exchange &exchange) = 0;
};

/// HTTP/1.1 server on libmicrohttpd, driven by the event loop without a thread of its own.
class http_server
{
public:
    http_server(event_loop &loop, http_handler &handler, http_server_limits limits);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /// @p address is "ip:port". Fails with net_error; its detail names the file when a file is the cause.
    boost::leaf::result<void> listen(const std::string &address, const tls_files &files = {});
    /// True while a request is being read or its answer is being sent.
    bool isBusy() const;
    /// Number of connections that were closed for new ones, for the memory of bodies, or after a timeout.
    std::uint64_t evictedCount() const;
    /// Number of requests that were refused because they left too little memory for the heads of their answers.
    std::uint64_t refusedHeadCount() const;
    /// Sets the maximum size of the bodies of requests from now on.
    void setBodyLimit(std::size_t bytes);
    /// Sends the parts of answers that were added outside of handleRequest(). Must be called after adding them.
    void flush();

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace crocuslane

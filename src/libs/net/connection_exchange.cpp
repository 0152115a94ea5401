#include "net/connection_exchange.h"

#include "net/byte_budget.h"
#include "net/request_head.h"

#include <sys/socket.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace crocuslane {

namespace {

constexpr std::size_t minimumBodyCapacity = 256;
constexpr std::size_t smallBodyBytes = 4096;
constexpr std::size_t streamBlockBytes = 16384;
// A client that has left more of a stream unread is too slow for it, or its runner sends without end.
constexpr std::size_t maximumUnsentStreamBytes = 1UL << 20;

} // namespace

connection_exchange::connection_exchange(MHD_Connection *connection, bool &needsRun, byte_budget *keptBytes)
    : m_connection(connection)
    , m_needsRun(needsRun)
    , m_keptBytes(keptBytes)
{
}

connection_exchange::~connection_exchange()
{
    releaseKeptBytes(m_countedBytes);
}

const http_request &connection_exchange::request() const
{
    return content;
}

void connection_exchange::respond(std::uint32_t status, header_list headers, std::string body)
{
    if (phase != answer_phase::waiting) {
        return;
    }
    m_status = status;
    m_headers = std::move(headers);
    m_body = std::move(body);
    m_isFinished = true;
    phase = answer_phase::complete;
    // An answer that is ready is delivered also beyond the limit.
    if (m_keptBytes != nullptr) {
        m_keptBytes->take(m_body.size());
        m_countedBytes += m_body.size();
    }
    resume();
}

void connection_exchange::begin(std::uint32_t status, header_list headers)
{
    if (phase != answer_phase::waiting) {
        return;
    }
    m_status = status;
    m_headers = std::move(headers);
    phase = answer_phase::streaming;
    resume();
}

bool connection_exchange::send(std::string_view data)
{
    if (phase == answer_phase::closed || m_isFinished || isAborted) {
        return true;
    }
    const bool isTooSlow = m_unsent.size() + data.size() > maximumUnsentStreamBytes;
    if (isTooSlow || !tryTake(data.size(), byte_use::answer)) {
        breakOff();
        return false;
    }
    if (isAborted) {
        // Broken off to make room for its own bytes.
        releaseKeptBytes(data.size());
        return false;
    }
    m_unsent.append(data);
    resume();
    return true;
}

void connection_exchange::breakOff()
{
    releaseKeptBytes(m_unsent.size());
    m_unsent.clear();
    abort();
}

std::size_t connection_exchange::unsentBytes() const
{
    return m_unsent.size();
}

void connection_exchange::finish()
{
    if (phase == answer_phase::closed) {
        return;
    }
    m_isFinished = true;
    resume();
}

void connection_exchange::abort()
{
    if (phase == answer_phase::closed) {
        return;
    }
    isAborted = true;
    resume();
}

void connection_exchange::appendBody(std::string_view data)
{
    if (content.isShed) {
        return;
    }
    std::string &body = content.body;
    const std::size_t size = body.size() + data.size();
    if (m_keptBytes != nullptr && size > body.capacity()) {
        const std::size_t capacity = std::max({size, body.capacity() + body.capacity() / 2, minimumBodyCapacity});
        // While the body is copied, both blocks exist.
        if (!tryTake(capacity, capacity <= smallBodyBytes ? byte_use::head : byte_use::body)) {
            shed();
            return;
        }
        if (content.isShed) {
            releaseKeptBytes(capacity);
            return;
        }
        body.reserve(capacity);
        releaseKeptBytes(std::exchange(m_bodyBytes, capacity));
    }
    body.append(data);
}

bool connection_exchange::tryTake(std::size_t bytes, byte_use use)
{
    if (m_keptBytes == nullptr) {
        return true;
    }
    const bool isTaken = m_keptBytes->tryTake(bytes, use);
    m_countedBytes += isTaken ? bytes : 0;
    return isTaken;
}

void connection_exchange::takeHead()
{
    if (!tryTake(headMemory(m_connection), byte_use::head)) {
        shed();
    }
    if (!content.isShed) {
        copyHead(m_connection, content);
    }
}

void connection_exchange::shed()
{
    discardBody();
    content.isShed = true;
}

void connection_exchange::discardBody()
{
    releaseKeptBytes(std::exchange(m_bodyBytes, 0));
    std::string().swap(content.body);
}

void connection_exchange::releaseKeptBytes(std::size_t bytes)
{
    const std::size_t released = std::min(bytes, m_countedBytes);
    m_countedBytes -= released;
    if (m_keptBytes != nullptr) {
        m_keptBytes->release(released);
    }
}

int connection_exchange::socket() const
{
    return MHD_get_connection_info(m_connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
}

void connection_exchange::suspend()
{
    m_isSuspended = true;
    if (onWaiting) {
        onWaiting(true);
    }
    MHD_suspend_connection(m_connection);
}

void connection_exchange::resume()
{
    if (!m_isSuspended) {
        return;
    }
    m_isSuspended = false;
    m_needsRun = true;
    if (onWaiting) {
        onWaiting(false);
    }
    MHD_resume_connection(m_connection);
}

MHD_Result connection_exchange::queueAnswer()
{
    MHD_Response *response = nullptr;
    if (phase == answer_phase::complete) {
        // The exchange exists until libmicrohttpd has ended the request.
        response = MHD_create_response_from_buffer(m_body.size(), m_body.data(), MHD_RESPMEM_PERSISTENT);
    } else {
        response = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, streamBlockBytes, &readStream, this, nullptr);
    }
    phase = answer_phase::queued;
    for (const header_field &field : m_headers) {
        MHD_add_response_header(response, field.name.c_str(), field.value.c_str());
    }
    const MHD_Result result = MHD_queue_response(m_connection, m_status, response);
    MHD_destroy_response(response);
    return result;
}

void connection_exchange::close()
{
    phase = answer_phase::closed;
    m_isSuspended = false;
    releaseKeptBytes(m_countedBytes);
    if (watcher) {
        watcher->stop();
    }
}

// libmicrohttpd closes the connection in the same way after a whole and after a broken answer.
void connection_exchange::resetConnection()
{
    // Connecting to no address ends a TCP connection with a reset.
    sockaddr nobody{};
    nobody.sa_family = AF_UNSPEC;
    std::ignore = ::connect(socket(), &nobody, sizeof nobody);
}

ssize_t connection_exchange::readStream(void *self, std::uint64_t /*position*/, char *buffer, std::size_t size)
{
    auto &exchange = *static_cast<connection_exchange *>(self);
    if (exchange.m_unsent.size() > 0) {
        const std::size_t count = exchange.m_unsent.read(buffer, size);
        exchange.releaseKeptBytes(count);
        if (exchange.onSent) {
            exchange.onSent(count);
        }
        return static_cast<ssize_t>(count);
    }
    if (exchange.isAborted) {
        if (!exchange.hasChunks) {
            exchange.resetConnection();
        }
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (exchange.m_isFinished) {
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    exchange.suspend();
    return 0;
}

} // namespace crocuslane

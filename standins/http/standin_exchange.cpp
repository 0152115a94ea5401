#include "http/standin_exchange.h"

#include "http/standin_listener_access.h"

#include <microhttpd.h>

#include <charconv>

namespace crocuslane {

namespace {

constexpr std::size_t maximumStreamBlockBytes = 16384;

} // namespace

std::string_view standin_request::header(std::string_view lowerCaseName) const
{
    const auto found = headers.find(lowerCaseName);
    return found == headers.end() ? std::string_view() : std::string_view(found->second);
}

std::uint64_t standin_request::number(std::string_view parameter, std::uint64_t fallback) const
{
    const auto found = query.find(parameter);
    if (found == query.end()) {
        return fallback;
    }
    std::uint64_t value = 0;
    const char *end = found->second.data() + found->second.size();
    const auto parsed = std::from_chars(found->second.data(), end, value);
    return parsed.ec == std::errc() && parsed.ptr == end ? value : fallback;
}

standin_exchange::standin_exchange(standin_request request, MHD_Connection *connection)
    : m_request(std::move(request))
    , m_connection(connection)
{
}

standin_exchange::~standin_exchange()
{
    if (m_response) {
        MHD_destroy_response(m_response);
    }
}

const standin_request &standin_exchange::request() const
{
    return m_request;
}

void standin_exchange::setHeader(std::string name, std::string value)
{
    m_headers.emplace_back(std::move(name), std::move(value));
}

void standin_exchange::answer(unsigned status, std::string body, std::string_view contentType)
{
    if (!m_connection || m_response || m_isDropped) {
        return;
    }
    respond(MHD_create_response_from_buffer(body.size(), body.data(), MHD_RESPMEM_MUST_COPY), status, contentType);
}

void standin_exchange::beginStream(std::string_view contentType)
{
    if (!m_connection || m_response || m_isDropped) {
        return;
    }
    MHD_Response *response = MHD_create_response_from_callback(
        MHD_SIZE_UNKNOWN, maximumStreamBlockBytes, &standin_listener_access::readStream, this, nullptr);
    respond(response, MHD_HTTP_OK, contentType);
}

void standin_exchange::write(std::string_view part)
{
    if (m_connection && !m_isSilent) {
        m_unsent += part;
        resume();
    }
}

void standin_exchange::endStream()
{
    m_isEnded = true;
    resume();
}

void standin_exchange::drop()
{
    m_isDropped = true;
    resume();
}

void standin_exchange::loseAnswer()
{
    m_losesAnswer = true;
}

void standin_exchange::onClosed(std::function<void()> callback)
{
    m_onClosed = std::move(callback);
}

void standin_exchange::respond(MHD_Response *response, unsigned status, std::string_view contentType)
{
    m_response = response;
    m_status = status;
    if (m_losesAnswer) {
        drop();
        return;
    }
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, std::string(contentType).c_str());
    for (const auto &[name, value] : m_headers) {
        MHD_add_response_header(response, name.c_str(), value.c_str());
    }
    resume();
}

void standin_exchange::resume()
{
    if (m_isSuspended && !m_isSilent) {
        m_isSuspended = false;
        MHD_resume_connection(m_connection);
        m_onResume();
    }
}

} // namespace crocuslane

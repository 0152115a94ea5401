#include "fake_vm.h"

#include <microhttpd.h>

#include <stdexcept>

#include <arpa/inet.h>

namespace crocuslane {

struct fake_vm::private_data {
    std::function<fake_reply(const fake_request &)> handler;
    MHD_Daemon *daemon = nullptr;
    std::string address;
};

namespace {

using handler_function = std::function<fake_reply(const fake_request &)>;

MHD_Result addArgument(void *target, MHD_ValueKind /*kind*/, const char *key, const char *value)
{
    (*static_cast<std::map<std::string, std::string> *>(target))[key] = value == nullptr ? "" : value;
    return MHD_YES;
}

MHD_Result handleRequest(void *context,
                         MHD_Connection *connection,
                         const char *url,
                         const char *method,
                         const char * /*version*/,
                         const char *data,
                         std::size_t *size,
                         void **requestPointer)
{
    if (*requestPointer == nullptr) {
        *requestPointer = new fake_request{method, url, {}, {}, {}};
        return MHD_YES;
    }
    auto *request = static_cast<fake_request *>(*requestPointer);
    if (*size > 0) {
        request->body.append(data, *size);
        *size = 0;
        return MHD_YES;
    }
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, addArgument, &request->query);
    if (const char *value = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "Authorization")) {
        request->authorization = value;
    }
    const fake_reply reply = (*static_cast<handler_function *>(context))(*request);
    if (reply.isLost) {
        return MHD_NO;
    }
    MHD_Response *response = MHD_create_response_from_buffer(
        reply.body.size(), const_cast<char *>(reply.body.data()), MHD_RESPMEM_MUST_COPY);
    const MHD_Result result = MHD_queue_response(connection, reply.status, response);
    MHD_destroy_response(response);
    return result;
}

void deleteRequest(void * /*context*/,
                   MHD_Connection * /*connection*/,
                   void **requestPointer,
                   MHD_RequestTerminationCode /*code*/)
{
    delete static_cast<fake_request *>(*requestPointer);
    *requestPointer = nullptr;
}

} // namespace

fake_vm::fake_vm(std::function<fake_reply(const fake_request &)> handler)
    : m_data(std::make_unique<private_data>())
{
    m_data->handler = std::move(handler);
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    m_data->daemon = MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD,
                                      0,
                                      nullptr,
                                      nullptr,
                                      &handleRequest,
                                      &m_data->handler,
                                      MHD_OPTION_SOCK_ADDR,
                                      &local,
                                      MHD_OPTION_NOTIFY_COMPLETED,
                                      &deleteRequest,
                                      nullptr,
                                      MHD_OPTION_END);
    if (m_data->daemon == nullptr) {
        throw std::runtime_error("the HTTP server of a fake VM could not be started");
    }
    const MHD_DaemonInfo *info = MHD_get_daemon_info(m_data->daemon, MHD_DAEMON_INFO_BIND_PORT);
    m_data->address = "127.0.0.1:" + std::to_string(info->port);
}

fake_vm::~fake_vm()
{
    stop();
}

const std::string &fake_vm::address() const
{
    return m_data->address;
}

void fake_vm::stop()
{
    if (m_data->daemon != nullptr) {
        MHD_stop_daemon(m_data->daemon);
        m_data->daemon = nullptr;
    }
}

} // namespace crocuslane

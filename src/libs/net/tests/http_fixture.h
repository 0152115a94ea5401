#pragma once

#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/http_server.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

#include <memory>
#include <stdexcept>
#include <string>
#include <utility>

namespace crocuslane {

/// Makes a server listen on the first port from @p firstPort on that no other test run uses. Returns its address, or
/// nothing when there is none.
inline std::string listenOnFreeAddress(http_server &server, int firstPort)
{
    constexpr int portCount = 100;
    std::string address;
    for (int port = firstPort; port < firstPort + portCount && address.empty(); ++port) {
        const std::string candidate = "127.0.0.1:" + std::to_string(port);
        boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<void> {
                BOOST_LEAF_CHECK(server.listen(candidate));
                address = candidate;
                return {};
            },
            [] {});
    }
    return address;
}

/// Server and client in one loop on a loopback address.
class http_fixture : public http_handler
{
public:
    static constexpr std::size_t bodyLimit = 64;

    http_fixture()
        : m_server(m_loop, *this, {bodyLimit, 100})
        , m_client(m_loop)
    {
        m_address = listenOnFreeAddress(m_server, firstPort);
        REQUIRE_FALSE(m_address.empty());
    }

    void handleRequest(const std::shared_ptr<http_exchange> &exchange) override
    {
        m_exchange = exchange;
        if (exchange->request().isOversized) {
            exchange->respond(413, {}, "");
            return;
        }
        if (exchange->request().path == "/echo") {
            exchange->respond(200, {{"x-method", exchange->request().method}}, exchange->request().body);
            return;
        }
        if (exchange->request().path == "/odd") {
            throw std::runtime_error("odd request");
        }
        if (exchange->request().path == "/stream") {
            exchange->begin(200, {});
            sendNext(0);
        }
    }

    void handleAbandoned(const http_exchange & /*exchange*/) override
    {
        ++m_abandoned;
    }

    void sendNext(int index)
    {
        if (index == 3) {
            m_exchange->finish();
            m_server.flush();
            return;
        }
        m_exchange->send("part" + std::to_string(index) + ";");
        m_server.flush();
        m_loop.schedule(std::chrono::milliseconds(5), [this, index] { sendNext(index + 1); });
    }

    void runRequest(http_client_request request)
    {
        request.address = m_address;
        request.onData = [this](std::string_view data) { m_body += data; };
        request.onEnd = [this](transfer_result result, std::uint32_t status) {
            m_result = result;
            m_status = status;
            m_loop.stop();
        };
        m_client.start(std::move(request));
        m_loop.run();
    }

protected:
    static constexpr int firstPort = 23000;

    event_loop m_loop;
    http_server m_server;
    http_client m_client;
    std::string m_address;
    std::shared_ptr<http_exchange> m_exchange;
    std::string m_body;
    transfer_result m_result = transfer_result::not_connected;
    std::uint32_t m_status = 0;
    int m_abandoned = 0;
};

} // namespace crocuslane

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace crocuslane {

struct fake_request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::string authorization;
    std::string body;
};

struct fake_reply {
    std::uint32_t status = 200;
    std::string body;
    /// Closes the connection without an answer.
    bool isLost = false;
};

/// HTTP server on a free port of 127.0.0.1. Its own thread calls the handler, once at a time.
class fake_vm
{
public:
    explicit fake_vm(std::function<fake_reply(const fake_request &)> handler);
    ~fake_vm();
    fake_vm(const fake_vm &) = delete;
    fake_vm &operator=(const fake_vm &) = delete;

    const std::string &address() const;
    /// Closes the server; further connections are refused.
    void stop();

private:
    struct private_data;
    std::unique_ptr<private_data> m_data;
};

} // namespace crocuslane

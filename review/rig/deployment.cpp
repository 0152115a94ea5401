#include "deployment.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdlib>
#include <stdexcept>

namespace rig {

namespace {

constexpr int exitNotRun = 2;

} // namespace

nlohmann::json plainRoute(const std::string &name, const std::string &prefix, const std::string &kind)
{
    return {{"name", name},
            {"host", host},
            {"path_prefix", prefix},
            {"route_kind", kind},
            {"timeout_ms", 6000},
            {"slo_ms", 400},
            {"priority", 2},
            {"service", "field-ops"},
            {"max_attempts", 3},
            {"anonymous", false}};
}

void publishConfiguration(store &registry, const nlohmann::json &routes)
{
    registry.put(
        "keyed.op",
        "config",
        nlohmann::json({{"version", 7},
                        {"routes", routes},
                        {"services", {{{"name", "field-ops"}, {"health_path", "/healthz"}, {"max_conns", 96}}}},
                        {"limits",
                         {{"max_header_bytes", 16384},
                          {"max_body_bytes", 4194304},
                          {"header_timeout_ms", 3000},
                          {"idle_timeout_ms", 15000}}},
                        {"tenants", {{{"name", "crew"}, {"api_keys", {apiKey}}, {"priority", 1}}}}})
            .dump());
}

std::string requestText(const order &content, int deadlineMs)
{
    std::string text = content.method + " " + content.path + " HTTP/1.1\r\nHost: " + host
        + "\r\nX-Attempt-Id: " + content.id + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs)
        + "\r\nAuthorization: Bearer " + apiKey + "\r\n";
    for (const auto &[name, value] : content.more) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    return text + "Content-Length: " + std::to_string(content.body.size()) + "\r\n\r\n" + content.body;
}

bool isWithoutTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value != nullptr && std::string_view(value) == "0";
}

int runCase(const char *recordPath, const std::function<bool()> &play)
{
    std::signal(SIGPIPE, SIG_IGN);
    openRecord(recordPath);
    int status = exitNotRun;
    try {
        status = play() ? 1 : 0;
    } catch (const std::exception &error) {
        record(std::string("the case could not run: ") + error.what());
    }
    removeTemporaryFolder();
    record("exit status " + std::to_string(status));
    return status;
}

} // namespace rig

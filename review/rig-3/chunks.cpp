// A client sends the bodies of its requests in chunks, one request after the other on a kept connection.
#include "rig.h"

#include <cstdio>

namespace {

using namespace rig;

constexpr int requests = 4000;
constexpr std::size_t bodyBytes = 600;
constexpr std::int64_t answerMs = 5000;
/// Requests between two lines of the record.
constexpr int linesEvery = 200;

class chunks_case
{
public:
    chunks_case()
        : m_deployment(1)
        , m_address("127." + std::to_string(m_deployment.network) + ".2.1:21800")
        , m_runner(m_address, [this](connection &client) { serve(client); })
    {
    }

    int run()
    {
        m_deployment.platform->append("keyed.op", "config", configurationOf("book", "non_idempotent"));
        m_deployment.platform->append(
            "keyed.servers", runnerId, runnerEntry("desk", m_address, "north-a", 6, "ready", 1, 1));
        m_deployment.startVms();
        if (!m_deployment.waitUntilReady(nowMs() + 15'000)) {
            m_record.line("the process did not become ready");
            return 2;
        }
        std::this_thread::sleep_for(milliseconds(500));
        const bool isPlayed = play();
        m_deployment.vms.front()->kill();
        m_record.line("requests " + std::to_string(requests) + ", run " + std::to_string(m_runs)
                      + ", answered with a 4xx that no runner gave " + std::to_string(m_denied));
        if (!isPlayed) {
            return 2;
        }
        // DENIED: more than 5 + one in 500 of all requests.
        constexpr int allowed = 5 + requests / 500;
        return m_denied > allowed ? 1 : 0;
    }

private:
    static constexpr const char *runnerId = "i-desk1";

    void serve(connection &client)
    {
        message request;
        while (client.readHead(request, nowMs() + answerMs) && client.readBody(request, nowMs() + answerMs)) {
            ++m_runs;
            client.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.field("X-Attempt-Id")
                         + "\r\nX-Server-Stamp: s1\r\nContent-Length: 3\r\n\r\nok\n");
        }
    }

    static std::string requestOf(int number)
    {
        const std::string attempt = "c-" + std::to_string(number);
        const std::string body(bodyBytes, 'p');
        if (!hasTrouble()) {
            return requestText("POST", "/book/1", attempt, "k1", answerMs, {}, body);
        }
        std::string text = "POST /book/1 HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " + attempt
            + "\r\nX-Deadline-Ms: 5000\r\nAuthorization: Bearer k1\r\nTransfer-Encoding: chunked\r\n\r\n";
        // The whole body is one chunk.
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", body.size());
        return text + size + body + "\r\n0\r\n\r\n";
    }

    /// False when the case can't be judged.
    bool play()
    {
        std::unique_ptr<connection> client = connection::open(m_deployment.vms.front()->front());
        for (int number = 1; number <= requests; ++number) {
            if (!client || client->hasEnded()) {
                client = connection::open(m_deployment.vms.front()->front());
                m_record.line("the client opens a new connection");
            }
            message received;
            const int runsBefore = m_runs;
            if (!client || !client->write(requestOf(number)) || !client->readHead(received, nowMs() + answerMs)
                || !client->readBody(received, nowMs() + answerMs)) {
                m_record.line("request " + std::to_string(number) + " has no answer");
                return false;
            }
            const bool isOwn = !received.has("X-Server-Stamp");
            m_denied += isOwn && received.status() >= 300 && received.status() < 500 ? 1 : 0;
            if (number % linesEvery != 1 && m_denied != 1) {
                continue;
            }
            m_record.line("request c-" + std::to_string(number) + ": " + received.startLine
                          + (m_runs > runsBefore ? ", run by the runner" : ", not run")
                          + (isOwn ? ", body: " + received.body.substr(0, received.body.find('\n')) : ""));
        }
        return true;
    }

    deployment m_deployment;
    record_file m_record;
    std::string m_address;
    std::atomic<int> m_runs{0};
    int m_denied = 0;
    listener m_runner;
};

} // namespace

int main()
{
    const int status = [] {
        chunks_case played;
        return played.run();
    }();
    std::fflush(nullptr);
    // Threads of connections may still be running.
    std::_Exit(status);
}

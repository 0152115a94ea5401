#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace rig {

using fields = std::vector<std::pair<std::string, std::string>>;

/// Milliseconds since the start of the program.
std::int64_t nowMs();
void sleepMs(std::int64_t milliseconds);
void sleepUntilMs(std::int64_t time);

/// Appends a line with the time to record.txt.
void record(const std::string &line);
void openRecord(const std::string &path);

std::string lower(std::string_view text);
/// Empty when there is none.
std::string fieldOf(const fields &list, std::string_view name);

/// A TCP connection with a read buffer.
class connection
{
public:
    explicit connection(int socket);
    ~connection();
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    bool send(std::string_view data) const;
    /// Bytes that have arrived; empty at the end of the connection or after @p timeoutMs.
    std::string receive(int timeoutMs);
    /// Text up to and with the first blank line.
    std::optional<std::string> readHead(int timeoutMs);
    std::optional<std::string> readBytes(std::size_t count, int timeoutMs);
    std::optional<std::string> readLine(int timeoutMs);
    /// Whether the peer has closed the connection.
    bool isClosed() const;
    /// Closes with a reset.
    void reset();
    void close();
    int socket() const;

private:
    bool fill(int timeoutMs);

    int m_socket;
    std::string m_buffer;
};

struct http_message {
    /// Method and target of a request; version and status of an answer.
    std::string first;
    std::string second;
    fields head;
    std::string body;
    /// The body has ended as its head says.
    bool isComplete = false;

    std::string field(std::string_view name) const;
};

/// Reads a request with its body; empty at the end of the connection.
std::optional<http_message> readRequest(connection &from, int timeoutMs);
/// Reads an answer with its body; empty if its head did not arrive.
std::optional<http_message> readAnswer(connection &from, int timeoutMs, bool hasBody = true);
/// Reads the first line and the fields only.
std::optional<http_message> parseHead(const std::string &head);

std::unique_ptr<connection> connectTo(const std::string &address, int timeoutMs);

/// Accepts connections on a loopback address and serves each in a thread.
class listener
{
public:
    using handler = std::function<void(connection &from)>;

    listener(const std::string &host, handler serve);
    ~listener();
    listener(const listener &) = delete;
    listener &operator=(const listener &) = delete;

    const std::string &address() const;
    /// Closes the listening socket and all connections.
    void stop();

private:
    void acceptAll();

    handler m_serve;
    std::string m_address;
    int m_socket;
    std::atomic<bool> m_isStopped{false};
    std::mutex m_mutex;
    std::vector<std::shared_ptr<connection>> m_connections;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

/// Stand-in for the platform's store: keyed topics of one partition, long polls, conditional appends, eras.
class store
{
public:
    explicit store(const std::string &host);
    ~store();

    const std::string &address() const;
    void put(const std::string &topic, const std::string &key, const std::string &value);
    std::string newest(const std::string &topic, const std::string &key);
    /// While down, calls are read and never answered.
    void setDown(bool isDown);
    bool isDown() const;
    void stop();

private:
    struct entry {
        std::string key;
        std::string value;
    };

    void serve(connection &from);
    bool answer(connection &to, const http_message &request);
    bool append(connection &to, const http_message &request);
    bool read(connection &to, const http_message &request);
    bool list(connection &to, const http_message &request);
    bool respond(connection &to, int status, const std::string &body) const;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::vector<entry>> m_topics;
    std::atomic<bool> m_isDown{false};
    std::atomic<bool> m_isStopped{false};
    std::unique_ptr<listener> m_listener;
};

/// What the settings of a process say of its deployment; the defaults are those of the site rimal-lane.
struct deployment_settings {
    std::string regions = "muscat-a:muscat,salalah-a:dhofar,muscat-b:muscat";
    unsigned memoryMegabytes = 260;
};

/// A process of the system, started with the command of the deploy file.
class node
{
public:
    node(std::string id,
         const std::string &host,
         const std::string &zone,
         const std::string &region,
         const std::string &storeAddress,
         const deployment_settings &settings = {});
    ~node();

    void start();
    void signal(int number) const;
    /// Waits for the end of the process; its wait status, or nothing after @p timeoutMs.
    std::optional<int> waitForEnd(int timeoutMs);
    bool isReady() const;
    const std::string &caller() const;
    const std::string &directory() const;
    const std::string &id() const;
    bool isRunning();
    /// Resident memory of the process in MB; 0 when it has ended.
    double residentMegabytes() const;

private:
    std::string m_id;
    std::string m_caller;
    std::string m_readiness;
    std::string m_peer;
    std::string m_directory;
    std::string m_settings;
    std::string m_log;
    pid_t m_pid = -1;
};

/// Stand-in for a runner: lists itself in the store and serves requests.
class runner
{
public:
    /// Serves one request; false ends the connection.
    using handler = std::function<bool(runner &self, connection &from, const http_message &request)>;

    runner(
        store &registry, std::string id, std::string service, std::string zone, const std::string &host, handler serve);
    ~runner();
    runner(const runner &) = delete;
    runner &operator=(const runner &) = delete;

    const std::string &id() const;
    const std::string &address() const;
    /// Writes the entry now and at each heartbeat; nothing is written while the store is down.
    void announce();
    /// Stops the heartbeats.
    void stopHeartbeats();
    void setState(const std::string &state);
    void removeEntry();
    /// Ends the process: closes the listening socket and all connections.
    void exit();
    /// A signature that no other answer has.
    std::string nextSignature();
    std::atomic<int> running{0};

private:
    void beat();

    store &m_store;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    std::mutex m_mutex;
    std::string m_state = "ready";
    unsigned m_sequence = 0;
    std::int64_t m_born;
    handler m_serve;
    std::atomic<bool> m_isBeating{true};
    std::atomic<unsigned> m_answers{0};
    std::unique_ptr<listener> m_listener;
    std::thread m_heartbeats;
};

/// Head and body of a whole answer with the fields that a runner always sends.
std::string plainAnswer(const http_message &request,
                        const std::string &signature,
                        const std::string &body,
                        const fields &more = {});

/// Folder for settings and logs, removed at the end.
const std::string &temporaryFolder();
void removeTemporaryFolder();
/// "host:port" with a port that is free now.
std::string freeAddress(const std::string &host);
/// Waits until all nodes say that they are ready.
bool waitUntilReady(const std::vector<node *> &nodes, int timeoutMs);

} // namespace rig

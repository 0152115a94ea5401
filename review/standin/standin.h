#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

/// Stand-ins for the hosted platform, its runners, its operator and its clients, and control of the router's processes.
/// Everything is on loopback addresses.
namespace standin {

using steady_clock = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

using header_list = std::vector<std::pair<std::string, std::string>>;

/// Head and body of a request or an answer.
struct message {
    std::string method;
    std::string target;
    int status = 0;
    header_list headers;
    std::string body;

    /// Empty when there is no such header.
    std::string value(std::string_view name) const;
    bool has(std::string_view name) const;
};

/// One TCP connection with blocking reads and writes.
class connection
{
public:
    explicit connection(int socket);
    ~connection();
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    /// Null when no connection was established within a second.
    static std::unique_ptr<connection> open(const std::string &address);

    /// False when the connection ended, or @p deadline has passed.
    bool readHead(message &into, steady_clock::time_point deadline);
    /// Reads the rest of a message. @p onData gets the content without the framing and may return false to stop. False
    /// when the body is not complete.
    bool readBody(const message &head,
                  steady_clock::time_point deadline,
                  const std::function<bool(std::string_view)> &onData);
    bool write(std::string_view data);
    /// True when the other end has closed its side.
    bool isClosed();
    /// Ends the connection with a reset.
    void reset();
    /// Ends a read in another thread.
    void shutDown();

private:
    bool fill(steady_clock::time_point deadline);
    bool readLine(std::string &line, steady_clock::time_point deadline);
    bool readBytes(std::size_t count,
                   steady_clock::time_point deadline,
                   const std::function<bool(std::string_view)> &onData);

    int m_socket;
    std::string m_buffer;
    std::size_t m_position = 0;
};

/// Accepts connections and handles each in a thread of its own.
class listener
{
public:
    using handler = std::function<void(connection &)>;

    /// Binds a free port of 127.0.0.1, or @p address when it is given. Throws std::runtime_error on failure.
    explicit listener(handler handle, const std::string &address = {});
    ~listener();
    listener(const listener &) = delete;
    listener &operator=(const listener &) = delete;

    const std::string &address() const;
    /// Closes the listening socket and all connections, and ends the threads.
    void stop();
    /// Ends all connections with a reset.
    void resetConnections();

private:
    void accept();

    handler m_handle;
    int m_socket = -1;
    std::string m_address;
    std::atomic<bool> m_isStopping = false;
    std::mutex m_mutex;
    std::vector<std::shared_ptr<connection>> m_connections;
    std::vector<std::thread> m_threads;
    std::thread m_acceptThread;
};

/// Writes record.txt: what was sent, answered and run, with the time since the start.
class recorder
{
public:
    explicit recorder(const std::string &path);

    void write(const std::string &line);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    steady_clock::time_point m_start = steady_clock::now();
};

/// The platform's store: a log whose topics have one partition and records with keys.
class store
{
public:
    explicit store(recorder &record);

    const std::string &address() const;
    void put(const std::string &topic, const std::string &key, const std::string &value);
    void remove(const std::string &topic, const std::string &key);
    /// Value of the newest record of a key; empty if there is none.
    std::string newest(const std::string &topic, const std::string &key);

private:
    struct stored_record {
        std::string key;
        std::string value;
    };

    void handle(connection &peer);
    std::string answer(const message &request);
    std::string appendRecords(const message &request, const std::map<std::string, std::string> &query);
    std::string readRecords(const std::map<std::string, std::string> &query);
    std::string listNewest(const std::map<std::string, std::string> &query);

    recorder &m_record;
    std::mutex m_mutex;
    std::condition_variable m_appended;
    std::map<std::string, std::vector<stored_record>> m_topics;
    std::unique_ptr<listener> m_listener;
};

/// A runner: it answers requests with its signature, and refuses those for another instance.
class runner
{
public:
    using answer_function = std::function<void(runner &, const message &request, connection &peer)>;

    runner(std::string id, std::string service, std::string version, store &registry, recorder &record);
    ~runner();
    runner(const runner &) = delete;
    runner &operator=(const runner &) = delete;

    const std::string &id() const;
    const std::string &address() const;
    const std::string &version() const;
    /// Handles requests in place of the usual answer. Must be set before requests come.
    void setAnswer(answer_function answer);
    /// Writes the runner's entry to the store and repeats it each 1.2 s.
    void announce(const std::string &state = "ready");
    /// Removes the entry.
    void withdraw();

    /// Status line and headers of a success, without the framing of its body.
    std::string successHead(const message &request) const;
    /// Sends a small answer with a length.
    void answerPlainly(const message &request, connection &peer) const;
    /// Sends a stream of @p events events, one each @p interval, from the one after Last-Event-Id on. Stops when the
    /// caller closes the connection.
    void answerAsStream(const message &request, connection &peer, unsigned events, milliseconds interval) const;

private:
    void handle(connection &peer);
    std::string entry() const;

    std::string m_id;
    std::string m_service;
    std::string m_version;
    store &m_registry;
    recorder &m_record;
    answer_function m_answer;
    std::mutex m_mutex;
    std::string m_state;
    std::condition_variable m_stopped;
    bool m_isStopping = false;
    std::thread m_heartbeat;
    std::unique_ptr<listener> m_listener;
};

/// A process of the router, with the command of the deploy file and the settings that the template gives.
class router_process
{
public:
    struct options {
        /// Command of the deploy file.
        std::string command;
        /// Path of the template of the settings.
        std::string settingsTemplate;
        /// Folder for the settings and the output.
        std::string folder;
        std::string node;
        std::string storeAddress;
        /// The process is killed, as the platform does, when it uses more; 0 for no limit.
        std::size_t memoryMegabytes = 0;
    };

    router_process(options given, recorder &record);
    ~router_process();
    router_process(const router_process &) = delete;
    router_process &operator=(const router_process &) = delete;

    const std::string &frontAddress() const;
    const std::string &node() const;
    void start();
    void signal(int number);
    /// True while the process runs. Records its end.
    bool isRunning();
    /// Waits for the end; false after @p limit.
    bool waitForEnd(milliseconds limit);
    /// How the process ended; empty while it runs.
    std::string end();
    /// Highest resident memory so far, in MB.
    std::size_t peakMegabytes() const;
    /// Answer of the readiness probe is 200 within a second.
    bool isReady() const;

private:
    void watch(pid_t pid);

    options m_options;
    recorder &m_record;
    std::string m_front;
    std::string m_ready;
    std::string m_control;
    std::string m_directory;
    std::atomic<pid_t> m_pid = -1;
    std::mutex m_mutex;
    std::condition_variable m_ended;
    std::string m_end;
    std::atomic<std::size_t> m_peakMegabytes = 0;
    std::thread m_watcher;
};

/// What a client saw of one attempt.
struct client_result {
    /// 0 when no answer began.
    int status = 0;
    message head;
    std::string body;
    std::size_t bodyBytes = 0;
    bool isConnected = false;
    bool isComplete = false;
    milliseconds time{0};
};

struct client_request {
    std::string address;
    std::string method = "GET";
    std::string path;
    std::string attemptId;
    std::string key = "key-1";
    header_list headers;
    std::string body;
    milliseconds deadline{4000};
    /// Bodies of more bytes are counted and not kept.
    std::size_t keptBytes = 65536;
};

/// Sends a request as a client does, on a new connection or on @p kept, and records it.
client_result send(const client_request &request, recorder &record, connection *kept = nullptr);

/// Attempts that reached a runner.
class passed_attempts
{
public:
    void add(const std::string &attempt);
    bool contains(const std::string &attempt);

private:
    std::mutex m_mutex;
    std::set<std::string> m_attempts;
};

/// Clients that send orders to one router process, each over one kept connection, one after the other. A client ends
/// when its connection is closed without an answer.
class order_clients
{
public:
    order_clients(int count, const std::string &address, passed_attempts &passed, recorder &record);

    /// Ends the clients and returns how many requests on kept connections reached a runner and got no answer before
    /// their connection was closed.
    int finish();

private:
    void run(int client);

    std::string m_address;
    passed_attempts &m_passed;
    recorder &m_record;
    std::atomic<bool> m_isOver = false;
    std::atomic<int> m_lost = 0;
    std::vector<std::thread> m_threads;
};

/// True once @p condition holds; false when it doesn't within @p limit.
bool waitFor(const std::function<bool()> &condition, milliseconds limit);

/// Options that every scenario has: --program, --template, --folder and --record, and TROUBLE from the environment.
struct scenario_options {
    std::string command;
    std::string settingsTemplate;
    std::string folder;
    std::string recordPath;
    bool hasTrouble = true;

    router_process::options process(const std::string &node, const store &platform) const;
};

std::optional<scenario_options> readOptions(int argumentCount, char **arguments);

/// An address of 127.0.0.1 with a free port.
std::string freeAddress();

enum verdict {
    held = 0,
    broken = 1,
    not_run = 2,
};

} // namespace standin

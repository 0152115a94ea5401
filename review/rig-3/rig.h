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

/// Stand-ins for the store, runners and clients, and the processes under test, all on loopback addresses.
namespace rig {

using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

/// Milliseconds since the start of the program.
std::int64_t nowMs();
void sleepUntilMs(std::int64_t time);
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/// A request or an answer.
struct message {
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    /// Empty when there is no such field.
    std::string field(std::string_view name) const;
    bool has(std::string_view name) const;
    /// Of a request.
    std::string method() const;
    std::string target() const;
    /// Of an answer; 0 when it can't be read.
    int status() const;
};

/// One end of a TCP connection.
class connection
{
public:
    explicit connection(int socket);
    ~connection();
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    /// Connects from @p source if it isn't empty. Null when the connection fails.
    static std::unique_ptr<connection> open(const std::string &address, const std::string &source = {});

    bool write(std::string_view bytes);
    /// False at the end of the connection or after the time limit.
    bool readHead(message &read, std::int64_t untilMs);
    /// Reads a body that states its length or comes in chunks; false when it ends before.
    bool readBody(message &read, std::int64_t untilMs);
    /// Everything that arrives until the connection ends or the time has passed; true at an orderly end.
    bool readToEnd(std::string &bytes, std::int64_t untilMs);
    /// Waits until the other end has closed or reset the connection.
    bool waitForClose(std::int64_t untilMs);
    /// Closes with a reset.
    void reset();
    void close();
    bool hasEnded() const;

private:
    bool fill(std::int64_t untilMs);
    bool readLine(std::string &line, std::int64_t untilMs);

    int m_socket;
    std::string m_buffer;
    bool m_hasEnded = false;
};

/// Accepts connections and handles each in a thread of its own.
class listener
{
public:
    using handler = std::function<void(connection &)>;

    /// @p address is "ip:port". Ends the program with status 2 when it can't listen.
    listener(const std::string &address, handler handle);
    ~listener();
    listener(const listener &) = delete;
    listener &operator=(const listener &) = delete;

    /// Refuses connections from now on, and resets those that are open.
    void stop();

private:
    struct shared_data;
    std::shared_ptr<shared_data> m_shared;
    std::thread m_thread;
};

/// The platform's store. Each VM has an address of its own, so that a single one can be cut off.
class store
{
public:
    explicit store(std::vector<std::string> addresses);

    std::uint64_t append(const std::string &topic, const std::string &key, const std::optional<std::string> &value);
    /// The VM at this position gets no answers.
    void setCut(std::size_t vm, bool isCut);
    /// The VM at this position gets 503 as every answer.
    void setRejected(std::size_t vm, bool isRejected);
    /// Position of the VM that has read the list of runners last, except those that are cut off.
    std::optional<std::size_t> lastReader() const;
    /// The store comes back from a copy with the records that each topic had then, and raises its era.
    std::map<std::string, std::size_t> sizes() const;
    void restore(const std::map<std::string, std::size_t> &sizes);
    void setDown(bool isDown);

private:
    struct record {
        std::string key;
        std::optional<std::string> value;
    };

    void serve(connection &client, std::size_t vm);
    /// Empty when the call gets no answer.
    std::optional<std::string> answer(const message &request, std::size_t vm, std::size_t era);
    std::string readNewest(const std::string &topic);
    std::optional<std::string> read(const std::map<std::string, std::string> &query, std::size_t vm);
    std::string appendRecord(const std::map<std::string, std::string> &query, const std::string &body);

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::vector<record>> m_topics;
    std::vector<bool> m_isCut;
    std::vector<bool> m_isRejected;
    std::optional<std::size_t> m_lastReader;
    std::size_t m_era = 1;
    bool m_isDown = false;
    std::vector<std::unique_ptr<listener>> m_listeners;
};

/// What a run leaves in the file that RIG_RECORD names, record.txt by default.
class record_file
{
public:
    record_file();
    /// Appends a line, with the time before it.
    void line(const std::string &text);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

/// A process of the deploy file.
class vm_process
{
public:
    struct options {
        std::string id;
        std::string zone = "north-a";
        std::string region = "north";
        std::string regions = "north-a:north,north-b:north";
        std::string ip;
        std::string storeAddress;
        int memoryMb = 260;
        int graceSeconds = 8;
    };

    vm_process(options options, std::string folder);
    ~vm_process();
    vm_process(const vm_process &) = delete;
    vm_process &operator=(const vm_process &) = delete;

    void start();
    void signal(int number);
    /// Kills the process and waits for its end.
    void kill();
    /// True when the process has ended by itself or by a signal.
    bool hasEnded();
    /// Resident memory of its own, without files, in kilobytes; 0 when it isn't known.
    long memoryKb() const;
    std::string front() const;
    std::string ready() const;
    int pid() const;
    const std::string &id() const;

private:
    options m_options;
    std::string m_folder;
    int m_pid = 0;
};

/// Sets up a deployment: folder, network, store and processes.
struct deployment {
    deployment(std::size_t vmCount, const std::string &zones = "one", int memoryMb = 260);

    /// Address on this run's loopback network.
    std::string ip(int host) const;
    void startVms();
    bool waitUntilReady(std::int64_t untilMs);

    std::string folder;
    int network = 0;
    std::unique_ptr<store> platform;
    std::vector<std::unique_ptr<vm_process>> vms;
};

constexpr int runnerPort = 21800;
constexpr int frontPort = 21827;

/// JSON of a runner's entry.
std::string runnerEntry(const std::string &service,
                        const std::string &address,
                        const std::string &zone,
                        unsigned slots,
                        const std::string &state,
                        std::uint64_t sequence,
                        std::int64_t born);

/// A configuration with the route /PATH/ of @p kind to the service "desk", and the key "k1".
std::string configurationOf(const std::string &path, const std::string &kind, const std::string &extra = {});

/// Value of TROUBLE: true unless it is 0.
bool hasTrouble();

struct answer {
    /// The whole answer arrived.
    bool isComplete = false;
    /// The head of an answer arrived.
    bool hasHead = false;
    message content;
    std::int64_t sentAt = 0;
    std::int64_t endedAt = 0;
};

/// Sends a request on a new connection and reads the answer.
answer call(const std::string &address, const std::string &request, std::int64_t timeoutMs);

std::string requestText(const std::string &method,
                        const std::string &path,
                        const std::string &attempt,
                        const std::string &key,
                        std::int64_t deadlineMs,
                        const std::vector<std::string> &fields = {},
                        const std::string &body = {});

} // namespace rig

#include "rig.h"

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace rig {

namespace {

using steady = std::chrono::steady_clock;

const steady::time_point programStart = steady::now();
constexpr std::size_t blockBytes = 65536;
constexpr int maximumWaiting = 512;
constexpr const char *program = "target/src/apps/crocuslaned/crocuslaned";

std::mutex recordMutex;
std::ofstream recordFile;

sockaddr_in parseAddress(const std::string &address)
{
    const std::size_t colon = address.find(':');
    sockaddr_in parsed{};
    parsed.sin_family = AF_INET;
    parsed.sin_port = htons(static_cast<std::uint16_t>(std::strtoul(address.c_str() + colon + 1, nullptr, 10)));
    if (::inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr) != 1) {
        throw std::runtime_error("invalid address " + address);
    }
    return parsed;
}

int bindTo(const std::string &host, std::string &address)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    sockaddr_in wanted = parseAddress(host + ":0");
    socklen_t size = sizeof wanted;
    if (::bind(socket, reinterpret_cast<const sockaddr *>(&wanted), sizeof wanted) != 0
        || ::getsockname(socket, reinterpret_cast<sockaddr *>(&wanted), &size) != 0) {
        throw std::runtime_error("cannot bind to " + host);
    }
    address = host + ":" + std::to_string(ntohs(wanted.sin_port));
    return socket;
}

std::string bigEndian(std::uint64_t value, std::size_t size)
{
    std::string bytes(size, '\0');
    for (std::size_t index = 0; index < size; ++index) {
        bytes[size - 1 - index] = static_cast<char>(value >> (8 * index));
    }
    return bytes;
}

std::string base64(const std::string &text)
{
    static constexpr std::string_view letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t at = 0; at < text.size(); at += 3) {
        std::uint32_t bits = 0;
        for (std::size_t index = 0; index < 3; ++index) {
            bits = (bits << 8U) | (at + index < text.size() ? static_cast<unsigned char>(text[at + index]) : 0U);
        }
        for (std::size_t index = 0; index < 4; ++index) {
            const bool isPadding = at + index > text.size();
            result += isPadding ? '=' : letters[(bits >> (18U - 6U * index)) & 63U];
        }
    }
    return result;
}

std::string queryValue(const std::string &target, const std::string &name)
{
    const std::size_t query = target.find('?');
    if (query == std::string::npos) {
        return {};
    }
    std::string rest = "&" + target.substr(query + 1);
    const std::size_t at = rest.find("&" + name + "=");
    if (at == std::string::npos) {
        return {};
    }
    rest = rest.substr(at + name.size() + 2);
    return rest.substr(0, rest.find('&'));
}

std::optional<std::string> readChunks(connection &from, int timeoutMs, bool &isComplete)
{
    std::string body;
    while (true) {
        const std::optional<std::string> line = from.readLine(timeoutMs);
        if (!line) {
            return body;
        }
        const std::size_t size = std::strtoul(line->c_str(), nullptr, 16);
        const std::optional<std::string> data = from.readBytes(size, timeoutMs);
        if (!data || !from.readLine(timeoutMs)) {
            return body;
        }
        if (size == 0) {
            isComplete = true;
            return body;
        }
        body += *data;
    }
}

void readBody(connection &from, http_message &message, int timeoutMs, bool endsWithConnection)
{
    const std::string length = message.field("Content-Length");
    if (lower(message.field("Transfer-Encoding")) == "chunked") {
        message.body = readChunks(from, timeoutMs, message.isComplete).value_or("");
    } else if (!length.empty()) {
        const std::optional<std::string> body = from.readBytes(std::strtoul(length.c_str(), nullptr, 10), timeoutMs);
        message.isComplete = body.has_value();
        message.body = body.value_or("");
    } else if (endsWithConnection) {
        for (std::string data = from.receive(timeoutMs); !data.empty(); data = from.receive(timeoutMs)) {
            message.body += data;
        }
        message.isComplete = true;
    } else {
        message.isComplete = true;
    }
}

} // namespace

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - programStart).count();
}

void sleepMs(std::int64_t milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(std::max<std::int64_t>(milliseconds, 0)));
}

void sleepUntilMs(std::int64_t time)
{
    sleepMs(time - nowMs());
}

void record(const std::string &line)
{
    const std::lock_guard lock(recordMutex);
    recordFile << nowMs() << " ms  " << line << '\n' << std::flush;
}

void openRecord(const std::string &path)
{
    recordFile.open(path, std::ios::trunc);
}

std::string lower(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(), [](unsigned char each) {
        return static_cast<char>(std::tolower(each));
    });
    return result;
}

std::string fieldOf(const fields &list, std::string_view name)
{
    for (const auto &[key, value] : list) {
        if (lower(key) == lower(name)) {
            return value;
        }
    }
    return {};
}

connection::connection(int socket)
    : m_socket(socket)
{
    const int enabled = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

connection::~connection()
{
    ::close(m_socket);
}

bool connection::send(std::string_view data) const
{
    while (!data.empty()) {
        const ssize_t sent = ::send(m_socket, data.data(), data.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        data.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool connection::fill(int timeoutMs)
{
    pollfd watched{m_socket, POLLIN, 0};
    if (::poll(&watched, 1, timeoutMs) <= 0) {
        return false;
    }
    std::array<char, blockBytes> block{};
    const ssize_t size = ::recv(m_socket, block.data(), block.size(), 0);
    if (size <= 0) {
        return false;
    }
    m_buffer.append(block.data(), static_cast<std::size_t>(size));
    return true;
}

std::string connection::receive(int timeoutMs)
{
    if (m_buffer.empty()) {
        fill(timeoutMs);
    }
    return std::exchange(m_buffer, {});
}

std::optional<std::string> connection::readHead(int timeoutMs)
{
    while (true) {
        const std::size_t end = m_buffer.find("\r\n\r\n");
        if (end != std::string::npos) {
            std::string head = m_buffer.substr(0, end + 4);
            m_buffer.erase(0, end + 4);
            return head;
        }
        if (!fill(timeoutMs)) {
            return std::nullopt;
        }
    }
}

std::optional<std::string> connection::readBytes(std::size_t count, int timeoutMs)
{
    while (m_buffer.size() < count) {
        if (!fill(timeoutMs)) {
            return std::nullopt;
        }
    }
    std::string bytes = m_buffer.substr(0, count);
    m_buffer.erase(0, count);
    return bytes;
}

std::optional<std::string> connection::readLine(int timeoutMs)
{
    while (true) {
        const std::size_t end = m_buffer.find("\r\n");
        if (end != std::string::npos) {
            std::string line = m_buffer.substr(0, end);
            m_buffer.erase(0, end + 2);
            return line;
        }
        if (!fill(timeoutMs)) {
            return std::nullopt;
        }
    }
}

bool connection::isClosed() const
{
    char byte = 0;
    const ssize_t size = ::recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void connection::reset()
{
    const linger atOnce{1, 0};
    ::setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
    // The descriptor is closed by the destructor; connecting to no address resets the connection now.
    sockaddr nobody{};
    nobody.sa_family = AF_UNSPEC;
    if (::connect(m_socket, &nobody, sizeof nobody) != 0) {
        ::shutdown(m_socket, SHUT_RDWR);
    }
}

void connection::close()
{
    ::shutdown(m_socket, SHUT_RDWR);
}

int connection::socket() const
{
    return m_socket;
}

std::string http_message::field(std::string_view name) const
{
    return fieldOf(head, name);
}

std::optional<http_message> parseHead(const std::string &head)
{
    http_message message;
    std::size_t at = head.find("\r\n");
    const std::string line = head.substr(0, at);
    const std::size_t space = line.find(' ');
    if (space == std::string::npos) {
        return std::nullopt;
    }
    message.first = line.substr(0, space);
    message.second = line.substr(space + 1, line.find(' ', space + 1) - space - 1);
    at += 2;
    while (at < head.size()) {
        const std::size_t end = head.find("\r\n", at);
        const std::string field = head.substr(at, end - at);
        const std::size_t colon = field.find(':');
        if (field.empty() || colon == std::string::npos) {
            break;
        }
        const std::size_t value = field.find_first_not_of(' ', colon + 1);
        message.head.emplace_back(field.substr(0, colon), value == std::string::npos ? "" : field.substr(value));
        at = end + 2;
    }
    return message;
}

std::optional<http_message> readRequest(connection &from, int timeoutMs)
{
    const std::optional<std::string> head = from.readHead(timeoutMs);
    std::optional<http_message> request = head ? parseHead(*head) : std::nullopt;
    if (request) {
        readBody(from, *request, timeoutMs, false);
    }
    return request;
}

std::optional<http_message> readAnswer(connection &from, int timeoutMs, bool hasBody)
{
    const std::optional<std::string> head = from.readHead(timeoutMs);
    std::optional<http_message> answer = head ? parseHead(*head) : std::nullopt;
    if (answer && hasBody) {
        readBody(from, *answer, timeoutMs, true);
    }
    return answer;
}

std::unique_ptr<connection> connectTo(const std::string &address, int timeoutMs)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in target = parseAddress(address);
    auto opened = std::make_unique<connection>(socket);
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
        pollfd watched{socket, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (errno != EINPROGRESS || ::poll(&watched, 1, timeoutMs) <= 0
            || ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            return nullptr;
        }
    }
    ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) & ~O_NONBLOCK);
    return opened;
}

listener::listener(const std::string &host, handler serve)
    : m_serve(std::move(serve))
    , m_socket(bindTo(host, m_address))
{
    if (::listen(m_socket, maximumWaiting) != 0) {
        throw std::runtime_error("cannot listen on " + m_address);
    }
    m_acceptor = std::thread([this] { acceptAll(); });
}

listener::~listener()
{
    stop();
}

const std::string &listener::address() const
{
    return m_address;
}

void listener::acceptAll()
{
    while (!m_isStopped) {
        pollfd watched{m_socket, POLLIN, 0};
        if (::poll(&watched, 1, 50) <= 0) {
            continue;
        }
        const int socket = ::accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            continue;
        }
        auto accepted = std::make_shared<connection>(socket);
        const std::lock_guard lock(m_mutex);
        std::erase_if(m_connections, [](const auto &each) { return each.use_count() == 1; });
        m_connections.push_back(accepted);
        m_threads.emplace_back([this, accepted] {
            m_serve(*accepted);
            accepted->close();
        });
    }
}

void listener::stop()
{
    if (m_isStopped.exchange(true)) {
        return;
    }
    m_acceptor.join();
    ::close(m_socket);
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &each : m_connections) {
            each->close();
        }
    }
    for (std::thread &each : m_threads) {
        each.join();
    }
}

store::store(const std::string &host)
{
    m_listener = std::make_unique<listener>(host, [this](connection &from) { serve(from); });
}

store::~store()
{
    stop();
}

void store::stop()
{
    m_isStopped = true;
    m_changed.notify_all();
    m_listener->stop();
}

const std::string &store::address() const
{
    return m_listener->address();
}

void store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    m_topics[topic].push_back({key, value});
    m_changed.notify_all();
}

std::string store::newest(const std::string &topic, const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    std::string value;
    for (const entry &each : m_topics[topic]) {
        value = each.key == key ? each.value : value;
    }
    return value;
}

void store::setDown(bool isDown)
{
    m_isDown = isDown;
    m_changed.notify_all();
}

bool store::isDown() const
{
    return m_isDown;
}

void store::serve(connection &from)
{
    while (const std::optional<http_message> request = readRequest(from, 60'000)) {
        if (m_isDown) {
            // A connection on which an answer is lost returns nothing further.
            while (!m_isStopped && !from.isClosed()) {
                sleepMs(50);
            }
            return;
        }
        if (!answer(from, *request)) {
            return;
        }
    }
}

bool store::answer(connection &to, const http_message &request)
{
    if (request.second.starts_with("/log-append")) {
        return append(to, request);
    }
    if (request.second.starts_with("/log-read")) {
        return read(to, request);
    }
    if (request.second.starts_with("/log-newest")) {
        return list(to, request);
    }
    return respond(to, 404, "{}");
}

bool store::append(connection &to, const http_message &request)
{
    const std::string topic = queryValue(request.second, "topic");
    const std::string at = queryValue(request.second, "at");
    std::uint64_t offset = 0;
    {
        const std::lock_guard lock(m_mutex);
        std::vector<entry> &log = m_topics[topic];
        offset = log.size();
        const bool isExpected = at.empty() || std::strtoull(at.c_str(), nullptr, 10) == offset;
        if (isExpected && request.body.size() > 5) {
            const auto keySize = static_cast<unsigned char>(request.body[4]);
            log.push_back({request.body.substr(5, keySize), request.body.substr(5 + keySize)});
            m_changed.notify_all();
        } else if (!isExpected) {
            offset = UINT64_MAX;
        }
    }
    if (offset == UINT64_MAX) {
        return respond(to, 412, "{}");
    }
    return respond(
        to, 200, "{\"offset\":" + std::to_string(offset) + ",\"end_offset\":" + std::to_string(offset + 1) + "}");
}

bool store::read(connection &to, const http_message &request)
{
    const std::string topic = queryValue(request.second, "topic");
    const std::uint64_t from = std::strtoull(queryValue(request.second, "from").c_str(), nullptr, 10);
    const std::int64_t until = nowMs() + std::strtoll(queryValue(request.second, "wait_ms").c_str(), nullptr, 10);
    std::unique_lock lock(m_mutex);
    while (m_topics[topic].size() <= from && nowMs() < until && !m_isStopped && !m_isDown) {
        m_changed.wait_for(lock, std::chrono::milliseconds(20));
    }
    if (m_isDown) {
        lock.unlock();
        while (!m_isStopped && !to.isClosed()) {
            sleepMs(50);
        }
        return false;
    }
    const std::vector<entry> &log = m_topics[topic];
    if (from > log.size()) {
        lock.unlock();
        return respond(to, 410, "{\"first_offset\":0}");
    }
    std::string body = bigEndian(log.size(), 8) + bigEndian(0, 8);
    for (std::size_t index = from; index < log.size(); ++index) {
        const std::string bytes = static_cast<char>(log[index].key.size()) + log[index].key + log[index].value;
        body += bigEndian(bytes.size(), 4) + bytes;
    }
    lock.unlock();
    return respond(to, 200, body);
}

bool store::list(connection &to, const http_message &request)
{
    const std::string topic = queryValue(request.second, "topic");
    nlohmann::json entries = nlohmann::json::array();
    std::uint64_t end = 0;
    {
        const std::lock_guard lock(m_mutex);
        const std::vector<entry> &log = m_topics[topic];
        end = log.size();
        std::map<std::string, std::size_t> newestByKey;
        for (std::size_t index = 0; index < log.size(); ++index) {
            newestByKey[log[index].key] = index;
        }
        for (const auto &[key, index] : newestByKey) {
            if (!log[index].value.empty()) {
                entries.push_back({{"key", key}, {"value", base64(log[index].value)}, {"offset", index}});
            }
        }
    }
    return respond(to, 200, nlohmann::json({{"entries", entries}, {"has_more", false}, {"end_offset", end}}).dump());
}

bool store::respond(connection &to, int status, const std::string &body) const
{
    return to.send("HTTP/1.1 " + std::to_string(status)
                   + " OK\r\nStore-Era: 0\r\nContent-Type: application/json\r\nContent-Length: "
                   + std::to_string(body.size()) + "\r\n\r\n" + body);
}

runner::runner(
    store &registry, std::string id, std::string service, std::string zone, const std::string &host, handler serve)
    : m_store(registry)
    , m_id(std::move(id))
    , m_service(std::move(service))
    , m_zone(std::move(zone))
    , m_born(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                 .count())
    , m_serve(std::move(serve))
{
    m_listener = std::make_unique<listener>(host, [this](connection &from) {
        while (const std::optional<http_message> request = readRequest(from, 60'000)) {
            const bool isMisdirected = request->field("X-Expect-Instance") != m_id;
            if (isMisdirected) {
                from.send("HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: " + request->field("X-Attempt-Id")
                          + "\r\nX-Instance-Id: " + m_id + "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            ++running;
            const bool isKept = m_serve(*this, from, *request);
            --running;
            if (!isKept) {
                return;
            }
        }
    });
    announce();
    m_heartbeats = std::thread([this] { beat(); });
}

runner::~runner()
{
    stopHeartbeats();
    exit();
}

const std::string &runner::id() const
{
    return m_id;
}

const std::string &runner::address() const
{
    return m_listener->address();
}

void runner::announce()
{
    if (m_store.isDown()) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    m_store.put("keyed.servers",
                m_id,
                nlohmann::json({{"service", m_service},
                                {"address", address()},
                                {"zone", m_zone},
                                {"version", "v1"},
                                {"slots", 6},
                                {"state", m_state},
                                {"cold_left_ms", 0},
                                {"sequence", ++m_sequence},
                                {"born", m_born}})
                    .dump());
}

void runner::beat()
{
    constexpr int heartbeatMs = 1200;
    std::int64_t next = nowMs() + heartbeatMs;
    while (m_isBeating) {
        sleepMs(20);
        if (nowMs() >= next && m_isBeating) {
            announce();
            next += heartbeatMs;
        }
    }
}

void runner::stopHeartbeats()
{
    m_isBeating = false;
    if (m_heartbeats.joinable()) {
        m_heartbeats.join();
    }
}

void runner::setState(const std::string &state)
{
    {
        const std::lock_guard lock(m_mutex);
        m_state = state;
    }
    announce();
}

void runner::removeEntry()
{
    m_store.put("keyed.servers", m_id, "");
}

void runner::exit()
{
    m_listener->stop();
}

std::string runner::nextSignature()
{
    return m_id + "." + std::to_string(++m_answers);
}

std::string
plainAnswer(const http_message &request, const std::string &signature, const std::string &body, const fields &more)
{
    std::string answer = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.field("X-Attempt-Id")
        + "\r\nX-Server-Stamp: " + signature + "\r\n";
    for (const auto &[name, value] : more) {
        answer.append(name).append(": ").append(value).append("\r\n");
    }
    return answer + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

const std::string &temporaryFolder()
{
    static const std::string folder = [] {
        std::string name = (std::filesystem::temp_directory_path() / "crocuslane-review.XXXXXX").string();
        if (::mkdtemp(name.data()) == nullptr) {
            throw std::runtime_error("cannot create a temporary folder");
        }
        return name;
    }();
    return folder;
}

void removeTemporaryFolder()
{
    std::error_code ignored;
    std::filesystem::remove_all(temporaryFolder(), ignored);
}

std::string freeAddress(const std::string &host)
{
    std::string address;
    ::close(bindTo(host, address));
    return address;
}

node::node(std::string id,
           const std::string &host,
           const std::string &zone,
           const std::string &region,
           const std::string &storeAddress,
           const deployment_settings &settings)
    : m_id(std::move(id))
    , m_caller(freeAddress(host))
    , m_readiness(freeAddress(host))
    , m_peer(freeAddress(host))
    , m_directory(freeAddress(host))
    , m_settings(temporaryFolder() + "/" + m_id + ".ini")
    , m_log(temporaryFolder() + "/" + m_id + ".log")
{
    // What platform/settings.ini.in gives for a small deployment.
    std::ofstream(m_settings) << "[node]\nid = " << m_id << "\navailability_zone = " << zone << "\nregion = " << region
                              << "\nregions = " << settings.regions << "\ncaller_address = " << m_caller
                              << "\nreadiness_address = " << m_readiness << "\npeer_address = " << m_peer
                              << "\ndirectory_address = " << m_directory << "\n\n[store]\naddress = " << storeAddress
                              << "\n\n[security]\npeer_key = replace-for-each-deployment\n\n[runners]\n"
                                 "heartbeat_ms = 1200\n\n[limits]\ngrace_s = 8\nlink_mbps = 1000\nmemory_mb = "
                              << settings.memoryMegabytes
                              << "\ndirectory_ttl_s = 5\nrepeat_share = 0.9\nrepeat_allowance = 52\n"
                                 "repeat_window_s = 10\nexposure_share = 0.15\nexposure_allowance = 30\n";
}

node::~node()
{
    if (isRunning() && m_pid > 0) {
        ::kill(m_pid, SIGCONT);
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }
}

void node::start()
{
    const int log = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    // Prepared before the fork, because other threads may hold locks then.
    const std::string variable = "CROCUSLANE_SETTINGS=" + m_settings;
    std::vector<char *> variables;
    for (char **each = environ; *each != nullptr; ++each) {
        variables.push_back(*each);
    }
    variables.push_back(const_cast<char *>(variable.c_str()));
    variables.push_back(nullptr);
    m_pid = ::fork();
    if (m_pid == 0) {
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execle(program, program, "--ports", "platform", static_cast<char *>(nullptr), variables.data());
        ::_exit(127);
    }
    ::close(log);
    record("start " + m_id + " at " + m_caller);
}

void node::signal(int number) const
{
    // A process that has ended has no id; kill() would take -1 for all processes.
    if (m_pid > 0) {
        record("signal " + std::to_string(number) + " to " + m_id);
        ::kill(m_pid, number);
    }
}

std::optional<int> node::waitForEnd(int timeoutMs)
{
    const std::int64_t until = nowMs() + timeoutMs;
    while (m_pid > 0) {
        int status = 0;
        if (::waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_pid = -1;
            return status;
        }
        if (nowMs() >= until) {
            return std::nullopt;
        }
        sleepMs(10);
    }
    return std::nullopt;
}

bool node::isRunning()
{
    if (m_pid <= 0) {
        return false;
    }
    if (::waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
        m_pid = -1;
    }
    return m_pid > 0;
}

double node::residentMegabytes() const
{
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/statm");
    double allPages = 0.0;
    double residentPages = 0.0;
    file >> allPages >> residentPages;
    return residentPages * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
}

bool node::isReady() const
{
    const std::unique_ptr<connection> opened = connectTo(m_readiness, 200);
    if (!opened || !opened->send("GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")) {
        return false;
    }
    const std::optional<http_message> answer = readAnswer(*opened, 500);
    return answer && answer->second == "200";
}

const std::string &node::caller() const
{
    return m_caller;
}

const std::string &node::directory() const
{
    return m_directory;
}

const std::string &node::id() const
{
    return m_id;
}

bool waitUntilReady(const std::vector<node *> &nodes, int timeoutMs)
{
    const std::int64_t until = nowMs() + timeoutMs;
    while (nowMs() < until) {
        if (std::all_of(nodes.begin(), nodes.end(), [](const node *each) { return each->isReady(); })) {
            return true;
        }
        sleepMs(100);
    }
    return false;
}

} // namespace rig

#include "standin.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>
#include <tuple>

namespace standin {

namespace {

constexpr std::size_t blockBytes = 65536;
constexpr std::size_t maximumHeadBytes = 65536;
constexpr milliseconds heartbeatInterval{1200};
constexpr milliseconds usualTimeout{60000};

std::string lowerCase(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(), [](unsigned char character) {
        return static_cast<char>(std::tolower(character));
    });
    return result;
}

int millisecondsUntil(steady_clock::time_point deadline)
{
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - steady_clock::now()).count();
    return static_cast<int>(std::max<std::int64_t>(left, 0));
}

sockaddr_in socketAddress(const std::string &address)
{
    const std::size_t colon = address.find(':');
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> query;
    const std::size_t begin = target.find('?');
    if (begin == std::string::npos) {
        return query;
    }
    std::istringstream pairs(target.substr(begin + 1));
    std::string pair;
    while (std::getline(pairs, pair, '&')) {
        const std::size_t equals = pair.find('=');
        query[pair.substr(0, equals)] = equals == std::string::npos ? "" : pair.substr(equals + 1);
    }
    return query;
}

std::uint64_t numberOf(const std::map<std::string, std::string> &query, const std::string &name)
{
    const auto found = query.find(name);
    return found == query.end() || found->second.empty() ? 0 : std::stoull(found->second);
}

std::string bigEndian(std::uint64_t value, std::size_t bytes)
{
    std::string result(bytes, '\0');
    for (std::size_t index = 0; index < bytes; ++index) {
        result[bytes - 1 - index] = static_cast<char>(value >> (8 * index));
    }
    return result;
}

std::string base64(const std::string &data)
{
    constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < data.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t index = 0; index < 3; ++index) {
            group = group << 8 | (at + index < data.size() ? static_cast<unsigned char>(data[at + index]) : 0U);
        }
        for (std::size_t index = 0; index < 4; ++index) {
            const bool isData = at + index <= data.size();
            text += isData ? digits[group >> (18 - 6 * index) & 63U] : '=';
        }
    }
    return text;
}

std::string httpAnswer(int status, const std::string &body, const std::string &type = "application/json")
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\nContent-Type: " + type
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void replaceAll(std::string &text, const std::string &from, const std::string &to)
{
    for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
}

std::size_t residentMegabytes(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("VmRSS:")) {
            return std::stoul(line.substr(6)) / 1024;
        }
    }
    return 0;
}

std::string printable(const std::string &text)
{
    std::string result;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (byte >= 32 && byte < 127) {
            result += character;
        } else {
            constexpr std::string_view digits = "0123456789abcdef";
            result += "\\x";
            result += digits[byte >> 4U];
            result += digits[byte & 15U];
        }
    }
    return result;
}

} // namespace

std::string message::value(std::string_view name) const
{
    for (const auto &[key, value] : headers) {
        if (lowerCase(key) == lowerCase(name)) {
            return value;
        }
    }
    return {};
}

bool message::has(std::string_view name) const
{
    return std::any_of(
        headers.begin(), headers.end(), [name](const auto &each) { return lowerCase(each.first) == lowerCase(name); });
}

connection::connection(int socket)
    : m_socket(socket)
{
    const int enabled = 1;
    ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

connection::~connection()
{
    ::close(m_socket);
}

std::unique_ptr<connection> connection::open(const std::string &address)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in target = socketAddress(address);
    const int flags = ::fcntl(socket, F_GETFL);
    ::fcntl(socket, F_SETFL, flags | O_NONBLOCK);
    int error = 0;
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
        pollfd waiting{socket, POLLOUT, 0};
        socklen_t size = sizeof error;
        if (errno != EINPROGRESS || ::poll(&waiting, 1, 1000) != 1
            || ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0) {
            error = ETIMEDOUT;
        }
    }
    if (error != 0) {
        ::close(socket);
        return nullptr;
    }
    ::fcntl(socket, F_SETFL, flags);
    return std::make_unique<connection>(socket);
}

bool connection::fill(steady_clock::time_point deadline)
{
    if (m_position > 0) {
        m_buffer.erase(0, m_position);
        m_position = 0;
    }
    pollfd waiting{m_socket, POLLIN, 0};
    if (::poll(&waiting, 1, millisecondsUntil(deadline)) != 1) {
        return false;
    }
    std::vector<char> block(blockBytes);
    const ssize_t size = ::recv(m_socket, block.data(), block.size(), 0);
    if (size <= 0) {
        return false;
    }
    m_buffer.append(block.data(), static_cast<std::size_t>(size));
    return true;
}

bool connection::readLine(std::string &line, steady_clock::time_point deadline)
{
    while (true) {
        const std::size_t end = m_buffer.find('\n', m_position);
        if (end != std::string::npos) {
            line = m_buffer.substr(m_position, end - m_position);
            m_position = end + 1;
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            return true;
        }
        if (m_buffer.size() - m_position > maximumHeadBytes || !fill(deadline)) {
            return false;
        }
    }
}

bool connection::readHead(message &into, steady_clock::time_point deadline)
{
    std::string line;
    if (!readLine(line, deadline)) {
        return false;
    }
    std::istringstream words(line);
    std::string first;
    std::string second;
    words >> first >> second;
    if (first.starts_with("HTTP/")) {
        into.status = std::atoi(second.c_str());
    } else {
        into.method = first;
        into.target = second;
    }
    while (readLine(line, deadline)) {
        if (line.empty()) {
            return true;
        }
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            const std::size_t begin = line.find_first_not_of(" \t", colon + 1);
            into.headers.emplace_back(line.substr(0, colon),
                                      begin == std::string::npos ? std::string() : line.substr(begin));
        }
    }
    return false;
}

bool connection::readBytes(std::size_t count,
                           steady_clock::time_point deadline,
                           const std::function<bool(std::string_view)> &onData)
{
    while (count > 0) {
        if (m_position == m_buffer.size() && !fill(deadline)) {
            return false;
        }
        const std::size_t taken = std::min(count, m_buffer.size() - m_position);
        if (!onData(std::string_view(m_buffer).substr(m_position, taken))) {
            return false;
        }
        m_position += taken;
        count -= taken;
    }
    return true;
}

bool connection::readBody(const message &head,
                          steady_clock::time_point deadline,
                          const std::function<bool(std::string_view)> &onData)
{
    if (lowerCase(head.value("Transfer-Encoding")) != "chunked") {
        const std::string length = head.value("Content-Length");
        return length.empty() ? head.status == 0 : readBytes(std::stoull(length), deadline, onData);
    }
    std::string line;
    while (readLine(line, deadline)) {
        const std::size_t size = std::stoul(line, nullptr, 16);
        if (size == 0) {
            return readLine(line, deadline);
        }
        if (!readBytes(size, deadline, onData) || !readLine(line, deadline)) {
            return false;
        }
    }
    return false;
}

bool connection::write(std::string_view data)
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

bool connection::isClosed()
{
    char next = 0;
    const ssize_t size = ::recv(m_socket, &next, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EINTR);
}

void connection::reset()
{
    const linger none{1, 0};
    ::setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &none, sizeof none);
    sockaddr nobody{};
    nobody.sa_family = AF_UNSPEC;
    std::ignore = ::connect(m_socket, &nobody, sizeof nobody);
}

void connection::shutDown()
{
    ::shutdown(m_socket, SHUT_RDWR);
}

std::string freeAddress()
{
    static std::set<unsigned> given;
    static std::mutex mutex;
    static std::mt19937 random(std::random_device{}());
    const std::lock_guard lock(mutex);
    // Below the ports that the system gives to outgoing connections.
    constexpr unsigned firstPort = 12000;
    constexpr unsigned portCount = 18000;
    for (int attempt = 0; attempt < 1000; ++attempt) {
        const unsigned port = firstPort + random() % portCount;
        std::string address = "127.0.0.1:" + std::to_string(port);
        const sockaddr_in target = socketAddress(address);
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const bool isFree = ::bind(socket, reinterpret_cast<const sockaddr *>(&target), sizeof target) == 0;
        ::close(socket);
        if (isFree && given.insert(port).second) {
            return address;
        }
    }
    throw std::runtime_error("no free port");
}

listener::listener(handler handle, const std::string &address)
    : m_handle(std::move(handle))
    , m_address(address.empty() ? freeAddress() : address)
{
    m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    ::setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    const sockaddr_in target = socketAddress(m_address);
    if (::bind(m_socket, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0
        || ::listen(m_socket, SOMAXCONN) != 0) {
        throw std::runtime_error("cannot listen on " + m_address);
    }
    m_acceptThread = std::thread([this] { accept(); });
}

listener::~listener()
{
    stop();
}

const std::string &listener::address() const
{
    return m_address;
}

void listener::accept()
{
    while (!m_isStopping) {
        const int socket = ::accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            continue;
        }
        auto accepted = std::make_shared<connection>(socket);
        const std::lock_guard lock(m_mutex);
        if (m_isStopping) {
            return;
        }
        m_connections.push_back(accepted);
        m_threads.emplace_back([this, accepted]() mutable {
            m_handle(*accepted);
            const std::lock_guard ended(m_mutex);
            std::erase(m_connections, accepted);
            // Closes the connection here, after it was taken from the list.
            accepted.reset();
        });
    }
}

void listener::stop()
{
    if (m_isStopping.exchange(true)) {
        return;
    }
    ::shutdown(m_socket, SHUT_RDWR);
    m_acceptThread.join();
    ::close(m_socket);
    std::vector<std::thread> threads;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &open : m_connections) {
            open->shutDown();
        }
        threads = std::move(m_threads);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
}

void listener::resetConnections()
{
    const std::lock_guard lock(m_mutex);
    for (const auto &open : m_connections) {
        open->reset();
    }
}

recorder::recorder(const std::string &path)
    : m_file(path)
{
}

void recorder::write(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    const auto time = std::chrono::duration_cast<milliseconds>(steady_clock::now() - m_start).count();
    m_file << time << " ms: " << line << std::endl;
}

store::store(recorder &record)
    : m_record(record)
{
    m_listener = std::make_unique<listener>([this](connection &peer) { handle(peer); });
}

const std::string &store::address() const
{
    return m_listener->address();
}

void store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    m_topics[topic].push_back({key, value});
    m_appended.notify_all();
}

void store::remove(const std::string &topic, const std::string &key)
{
    put(topic, key, {});
}

std::string store::newest(const std::string &topic, const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    const auto &records = m_topics[topic];
    const auto found =
        std::find_if(records.rbegin(), records.rend(), [&key](const auto &each) { return each.key == key; });
    return found == records.rend() ? std::string() : found->value;
}

void store::handle(connection &peer)
{
    while (true) {
        message request;
        const auto deadline = steady_clock::now() + usualTimeout;
        if (!peer.readHead(request, deadline) || !peer.readBody(request, deadline, [&request](std::string_view data) {
                request.body += data;
                return true;
            })) {
            return;
        }
        if (!peer.write(answer(request))) {
            return;
        }
    }
}

std::string store::answer(const message &request)
{
    const std::map<std::string, std::string> query = queryOf(request.target);
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path == "/log-append") {
        return appendRecords(request, query);
    }
    if (path == "/log-read") {
        return readRecords(query);
    }
    return path == "/log-newest" ? listNewest(query) : httpAnswer(404, "{}");
}

std::string store::appendRecords(const message &request, const std::map<std::string, std::string> &query)
{
    const std::string &topic = query.at("topic");
    if (topic == "keyed.op" || topic == "keyed.servers") {
        return httpAnswer(403, "{}");
    }
    const std::lock_guard lock(m_mutex);
    std::vector<stored_record> &records = m_topics[topic];
    if (query.contains("at") && numberOf(query, "at") != records.size()) {
        m_record.write("store: append to " + topic + " at " + query.at("at") + " answered 412, the end is "
                       + std::to_string(records.size()));
        return httpAnswer(412, "{\"end_offset\":" + std::to_string(records.size()) + "}");
    }
    const std::size_t offset = records.size();
    std::string_view rest = request.body;
    while (rest.size() > 5) {
        std::size_t size = 0;
        for (std::size_t index = 0; index < 4; ++index) {
            size = size << 8U | static_cast<unsigned char>(rest[index]);
        }
        const std::string_view content = rest.substr(4, size);
        const std::size_t keySize = static_cast<unsigned char>(content[0]);
        records.push_back({std::string(content.substr(1, keySize)), std::string(content.substr(1 + keySize))});
        if (topic == "keyed.status") {
            m_record.write("store: " + records.back().key + " is now " + records.back().value);
        }
        rest.remove_prefix(4 + size);
    }
    m_appended.notify_all();
    return httpAnswer(
        200, "{\"offset\":" + std::to_string(offset) + ",\"end_offset\":" + std::to_string(records.size()) + "}");
}

std::string store::readRecords(const std::map<std::string, std::string> &query)
{
    std::unique_lock lock(m_mutex);
    const std::string &topic = query.at("topic");
    const std::uint64_t from = numberOf(query, "from");
    m_appended.wait_for(lock, milliseconds(numberOf(query, "wait_ms")), [&] { return m_topics[topic].size() > from; });
    const std::vector<stored_record> &records = m_topics[topic];
    std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
    for (std::size_t offset = from; offset < records.size() && body.size() < 1024UL * 1024UL; ++offset) {
        const stored_record &each = records[offset];
        body += bigEndian(1 + each.key.size() + each.value.size(), 4) + bigEndian(each.key.size(), 1) + each.key
            + each.value;
    }
    return httpAnswer(200, body, "application/octet-stream");
}

std::string store::listNewest(const std::map<std::string, std::string> &query)
{
    const std::lock_guard lock(m_mutex);
    const std::vector<stored_record> &records = m_topics[query.at("topic")];
    std::map<std::string, std::size_t> offsets;
    for (std::size_t offset = 0; offset < records.size(); ++offset) {
        offsets[records[offset].key] = offset;
    }
    std::string entries;
    for (const auto &[key, offset] : offsets) {
        if (!records[offset].value.empty()) {
            entries += (entries.empty() ? "" : ",") + std::string("{\"key\":\"") + key + "\",\"value\":\""
                + base64(records[offset].value) + "\",\"offset\":" + std::to_string(offset) + "}";
        }
    }
    return httpAnswer(200,
                      "{\"entries\":[" + entries
                          + "],\"has_more\":false,\"end_offset\":" + std::to_string(records.size()) + "}");
}

runner::runner(std::string id, std::string service, std::string version, store &registry, recorder &record)
    : m_id(std::move(id))
    , m_service(std::move(service))
    , m_version(std::move(version))
    , m_registry(registry)
    , m_record(record)
    , m_answer([](runner &self, const message &request, connection &peer) { self.answerPlainly(request, peer); })
{
    m_listener = std::make_unique<listener>([this](connection &peer) { handle(peer); });
}

runner::~runner()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
        m_stopped.notify_all();
    }
    if (m_heartbeat.joinable()) {
        m_heartbeat.join();
    }
    m_listener->stop();
}

const std::string &runner::id() const
{
    return m_id;
}

const std::string &runner::address() const
{
    return m_listener->address();
}

const std::string &runner::version() const
{
    return m_version;
}

void runner::setAnswer(answer_function answer)
{
    m_answer = std::move(answer);
}

std::string runner::entry() const
{
    return "{\"service\":\"" + m_service + "\",\"address\":\"" + address() + "\",\"zone\":\"zone-a\",\"version\":\""
        + m_version + "\",\"slots\":64,\"state\":\"" + m_state
        + "\",\"cold_left_ms\":0,\"sequence\":1,\"born\":1700000000000}";
}

void runner::announce(const std::string &state)
{
    std::unique_lock lock(m_mutex);
    m_state = state;
    m_registry.put("keyed.servers", m_id, entry());
    if (!m_heartbeat.joinable()) {
        m_heartbeat = std::thread([this] {
            std::unique_lock running(m_mutex);
            while (!m_stopped.wait_for(running, heartbeatInterval, [this] { return m_isStopping; })) {
                if (!m_state.empty()) {
                    m_registry.put("keyed.servers", m_id, entry());
                }
            }
        });
    }
}

void runner::withdraw()
{
    const std::lock_guard lock(m_mutex);
    m_state.clear();
    m_registry.remove("keyed.servers", m_id);
}

void runner::handle(connection &peer)
{
    while (true) {
        message request;
        const auto deadline = steady_clock::now() + usualTimeout;
        if (!peer.readHead(request, deadline) || !peer.readBody(request, deadline, [&request](std::string_view data) {
                request.body += data;
                return true;
            })) {
            return;
        }
        const std::string attempt = request.value("X-Attempt-Id");
        const std::string expected = request.value("X-Expect-Instance");
        if (!expected.empty() && expected != m_id) {
            m_record.write("runner " + m_id + ": answered 421 to " + printable(attempt));
            peer.write("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + m_id + "\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        m_record.write("runner " + m_id + " (" + m_version + "): ran " + printable(attempt) + " " + request.target);
        m_answer(*this, request, peer);
    }
}

std::string runner::successHead(const message &request) const
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.value("X-Attempt-Id") + "\r\nX-Server-Stamp: " + m_id
        + ".1\r\n";
}

void runner::answerPlainly(const message &request, connection &peer) const
{
    const std::string body = "answer of " + m_id + "\n";
    peer.write(successHead(request) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

void runner::answerAsStream(const message &request, connection &peer, unsigned events, milliseconds interval) const
{
    peer.write(successHead(request) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string last = request.value("Last-Event-Id");
    for (unsigned number = last.empty() ? 1 : std::stoul(last) + 1; number <= events; ++number) {
        std::this_thread::sleep_for(interval);
        const std::string event = "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + "\n\n";
        std::ostringstream chunk;
        chunk << std::hex << event.size() << "\r\n" << event << "\r\n";
        if (peer.isClosed() || !peer.write(chunk.str())) {
            return;
        }
    }
    peer.write("0\r\n\r\n");
}

router_process::router_process(options given, recorder &record)
    : m_options(std::move(given))
    , m_record(record)
    , m_front(freeAddress())
    , m_ready(freeAddress())
    , m_control(freeAddress())
    , m_directory(freeAddress())
{
}

router_process::~router_process()
{
    const pid_t pid = m_pid;
    if (isRunning()) {
        ::kill(pid, SIGKILL);
    }
    if (m_watcher.joinable()) {
        m_watcher.join();
    }
}

const std::string &router_process::frontAddress() const
{
    return m_front;
}

const std::string &router_process::node() const
{
    return m_options.node;
}

void router_process::start()
{
    if (m_watcher.joinable()) {
        m_watcher.join();
    }
    std::ifstream templateFile(m_options.settingsTemplate);
    std::ostringstream content;
    content << templateFile.rdbuf();
    std::string settings = content.str();
    // The section of the zones.
    const std::size_t begin = settings.find("{{#zones}}");
    const std::size_t end = settings.find("{{/zones}}");
    if (begin != std::string::npos && end != std::string::npos) {
        settings.replace(begin, end + std::string("{{/zones}}").size() - begin, "zone-a:region-a,zone-b:region-b");
    }
    const std::map<std::string, std::string> values = {{"node_name", m_options.node},
                                                       {"zone", "zone-a"},
                                                       {"region", "region-a"},
                                                       {"listen.front", m_front},
                                                       {"listen.ready", m_ready},
                                                       {"listen.control", m_control},
                                                       {"listen.directory", m_directory},
                                                       {"platform.address", m_options.storeAddress},
                                                       {"heartbeat_ms", "1200"},
                                                       {"bounds.grace_s", "8"},
                                                       {"limits.link_mbps", "1000.0"},
                                                       {"bounds.ttl_max_s", "5"},
                                                       {"bounds.retry_ratio", "0.9"},
                                                       {"bounds.retry_slack", "52"},
                                                       {"bounds.retry_window_s", "10"},
                                                       {"bounds.exposure_share", "0.15"},
                                                       {"bounds.exposure_slack", "30"}};
    for (const auto &[name, value] : values) {
        replaceAll(settings, "{{" + name + "}}", value);
    }
    const std::string settingsPath = m_options.folder + "/" + m_options.node + ".ini";
    const std::string outputPath = m_options.folder + "/" + m_options.node + ".log";
    std::ofstream(settingsPath) << settings;

    std::vector<std::string> words;
    std::istringstream command(m_options.command);
    for (std::string word; command >> word;) {
        words.push_back(word);
    }
    std::vector<char *> arguments;
    arguments.reserve(words.size() + 1);
    for (std::string &word : words) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    std::string settingsVariable = "CROCUSLANE_SETTINGS=" + settingsPath;
    std::string pathVariable = "PATH=/usr/bin:/bin";
    std::vector<char *> environment = {settingsVariable.data(), pathVariable.data(), nullptr};

    const int output = ::open(outputPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const pid_t pid = ::fork();
    if (pid == 0) {
        ::dup2(output, 1);
        ::dup2(output, 2);
        ::execve(arguments[0], arguments.data(), environment.data());
        ::_exit(127);
    }
    ::close(output);
    {
        const std::lock_guard lock(m_mutex);
        m_end.clear();
    }
    m_pid = pid;
    m_record.write("platform: started " + m_options.node);
    m_watcher = std::thread([this, pid] { watch(pid); });
}

void router_process::watch(pid_t pid)
{
    int status = 0;
    bool isOverLimit = false;
    while (::waitpid(pid, &status, WNOHANG) == 0) {
        const std::size_t used = residentMegabytes(pid);
        m_peakMegabytes = std::max(m_peakMegabytes.load(), used);
        if (m_options.memoryMegabytes > 0 && used > m_options.memoryMegabytes && !isOverLimit) {
            isOverLimit = true;
            m_record.write("platform: " + m_options.node + " uses " + std::to_string(used) + " MB and is killed");
            ::kill(pid, SIGKILL);
        }
        std::this_thread::sleep_for(milliseconds(10));
    }
    std::string end = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                          : "exit status " + std::to_string(WEXITSTATUS(status));
    if (isOverLimit) {
        end += ", memory over the limit";
    }
    m_record.write("platform: " + m_options.node + " ended, " + end);
    const std::lock_guard lock(m_mutex);
    m_end = end;
    m_pid = -1;
    m_ended.notify_all();
}

void router_process::signal(int number)
{
    const pid_t pid = m_pid;
    if (pid > 0) {
        m_record.write("platform: signal " + std::to_string(number) + " to " + m_options.node);
        ::kill(pid, number);
    }
}

bool router_process::isRunning()
{
    return m_pid > 0;
}

bool router_process::waitForEnd(milliseconds limit)
{
    std::unique_lock lock(m_mutex);
    return m_ended.wait_for(lock, limit, [this] { return !m_end.empty(); });
}

std::string router_process::end()
{
    const std::lock_guard lock(m_mutex);
    return m_end;
}

std::size_t router_process::peakMegabytes() const
{
    return m_peakMegabytes;
}

bool router_process::isReady() const
{
    const auto probe = connection::open(m_ready);
    message answer;
    return probe && probe->write("GET /readyz HTTP/1.1\r\nHost: " + m_ready + "\r\n\r\n")
        && probe->readHead(answer, steady_clock::now() + std::chrono::seconds(1)) && answer.status == 200;
}

client_result send(const client_request &request, recorder &record, connection *kept)
{
    client_result result;
    const auto start = steady_clock::now();
    const auto deadline = start + request.deadline;
    std::unique_ptr<connection> opened = kept == nullptr ? connection::open(request.address) : nullptr;
    connection *used = kept == nullptr ? opened.get() : kept;
    std::string text = request.method + " " + request.path + " HTTP/1.1\r\nHost: review.example\r\nX-Attempt-Id: "
        + request.attemptId + "\r\nX-Deadline-Ms: " + std::to_string(request.deadline.count()) + "\r\n";
    if (!request.key.empty()) {
        text += "Authorization: Bearer " + request.key + "\r\n";
    }
    for (const auto &[name, value] : request.headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    if (request.method != "GET" || !request.body.empty()) {
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    text += "\r\n" + request.body;
    record.write("client: sent " + printable(request.attemptId) + " " + request.method + " " + request.path);
    result.isConnected = used != nullptr && used->write(text);
    if (result.isConnected && used->readHead(result.head, deadline)) {
        result.status = result.head.status;
        result.isComplete = used->readBody(result.head, deadline, [&](std::string_view data) {
            result.bodyBytes += data.size();
            if (result.body.size() + data.size() <= request.keptBytes) {
                result.body += data;
            }
            return true;
        });
    }
    result.time = std::chrono::duration_cast<milliseconds>(steady_clock::now() - start);
    std::string outcome = result.status == 0 ? "no answer" : "status " + std::to_string(result.status);
    if (result.status != 0 && !result.isComplete) {
        outcome += ", broken off";
    }
    record.write("client: " + printable(request.attemptId) + " ended after " + std::to_string(result.time.count())
                 + " ms: " + outcome + ", " + std::to_string(result.bodyBytes) + " bytes");
    return result;
}

void passed_attempts::add(const std::string &attempt)
{
    const std::lock_guard lock(m_mutex);
    m_attempts.insert(attempt);
}

bool passed_attempts::contains(const std::string &attempt)
{
    const std::lock_guard lock(m_mutex);
    return m_attempts.contains(attempt);
}

order_clients::order_clients(int count, const std::string &address, passed_attempts &passed, recorder &record)
    : m_address(address)
    , m_passed(passed)
    , m_record(record)
{
    m_threads.reserve(static_cast<std::size_t>(count));
    for (int client = 0; client < count; ++client) {
        m_threads.emplace_back([this, client] { run(client); });
    }
}

void order_clients::run(int client)
{
    const std::unique_ptr<connection> kept = connection::open(m_address);
    for (int number = 0; kept != nullptr && !m_isOver; ++number) {
        client_request request;
        request.address = m_address;
        // The first request makes the connection a kept one.
        request.method = number == 0 ? "GET" : "POST";
        request.path = number == 0 ? "/look/1" : "/order/1";
        request.attemptId = "order-" + std::to_string(client) + "-" + std::to_string(number);
        const client_result result = send(request, m_record, kept.get());
        if (result.status == 0) {
            const bool isClosed = result.time < request.deadline;
            m_lost += number > 0 && isClosed && m_passed.contains(request.attemptId) ? 1 : 0;
            return;
        }
    }
}

int order_clients::finish()
{
    m_isOver = true;
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
    return m_lost;
}

bool waitFor(const std::function<bool()> &condition, milliseconds limit)
{
    const auto deadline = steady_clock::now() + limit;
    while (!condition()) {
        if (steady_clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(20));
    }
    return true;
}

router_process::options scenario_options::process(const std::string &node, const store &platform) const
{
    router_process::options result;
    result.command = command;
    result.settingsTemplate = settingsTemplate;
    result.folder = folder;
    result.node = node;
    result.storeAddress = platform.address();
    return result;
}

std::optional<scenario_options> readOptions(int argumentCount, char **arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    scenario_options options;
    for (int index = 1; index + 1 < argumentCount; index += 2) {
        const std::string name = arguments[index];
        const std::string value = arguments[index + 1];
        if (name == "--command") {
            options.command = value;
        } else if (name == "--template") {
            options.settingsTemplate = value;
        } else if (name == "--folder") {
            options.folder = value;
        } else if (name == "--record") {
            options.recordPath = value;
        }
    }
    const char *trouble = std::getenv("TROUBLE");
    options.hasTrouble = trouble == nullptr || std::string(trouble) != "0";
    if (options.command.empty() || options.settingsTemplate.empty() || options.folder.empty()
        || options.recordPath.empty()) {
        std::cerr << "usage: scenario --command TEXT --template FILE --folder DIR --record FILE\n";
        return std::nullopt;
    }
    return options;
}

} // namespace standin

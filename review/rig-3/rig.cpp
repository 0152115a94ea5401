#include "rig.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>

namespace rig {

namespace {

constexpr int statusCannotRun = 2;
constexpr std::size_t blockBytes = 65536;
constexpr int backlog = 1024;

const steady::time_point programStart = steady::now();

[[noreturn]] void cannotRun(const std::string &reason)
{
    std::fprintf(stderr, "cannot run: %s\n", reason.c_str());
    std::_Exit(statusCannotRun);
}

sockaddr_in parseAddress(const std::string &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    const std::size_t colon = address.find(':');
    const std::string host = address.substr(0, colon);
    if (colon != std::string::npos) {
        result.sin_port = htons(static_cast<std::uint16_t>(std::strtoul(address.c_str() + colon + 1, nullptr, 10)));
    }
    if (::inet_pton(AF_INET, host.c_str(), &result.sin_addr) != 1) {
        cannotRun("bad address " + address);
    }
    return result;
}

const sockaddr *plain(const sockaddr_in &address)
{
    return reinterpret_cast<const sockaddr *>(&address);
}

int listenOn(const std::string &address)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    const sockaddr_in parsed = parseAddress(address);
    if (::bind(socket, plain(parsed), sizeof parsed) != 0 || ::listen(socket, backlog) != 0) {
        ::close(socket);
        return -1;
    }
    return socket;
}

void setReset(int socket)
{
    const linger immediate{1, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &immediate, sizeof immediate);
}

std::string base64(const std::string &text)
{
    constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    std::uint32_t bits = 0;
    int count = 0;
    for (const unsigned char byte : text) {
        bits = (bits << 8U) | byte;
        count += 8;
        while (count >= 6) {
            count -= 6;
            result += digits[(bits >> static_cast<unsigned>(count)) & 63U];
        }
    }
    if (count > 0) {
        result += digits[(bits << static_cast<unsigned>(6 - count)) & 63U];
    }
    while (result.size() % 4 != 0) {
        result += '=';
    }
    return result;
}

std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string result;
    for (int index = bytes - 1; index >= 0; --index) {
        result += static_cast<char>((value >> (8U * static_cast<unsigned>(index))) & 255U);
    }
    return result;
}

std::map<std::string, std::string> parseQuery(const std::string &target)
{
    std::map<std::string, std::string> result;
    const std::size_t mark = target.find('?');
    std::string_view rest = mark == std::string::npos ? std::string_view() : std::string_view(target).substr(mark + 1);
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('&'), rest.size());
        const std::string_view pair = rest.substr(0, end);
        const std::size_t equals = std::min(pair.find('='), pair.size());
        result[std::string(pair.substr(0, equals))] =
            equals == pair.size() ? std::string() : std::string(pair.substr(equals + 1));
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return result;
}

std::string httpAnswer(const std::string &status, const std::string &type, const std::string &body, std::size_t era)
{
    return "HTTP/1.1 " + status + "\r\nContent-Type: " + type + "\r\nStore-Era: " + std::to_string(era)
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

std::int64_t nowMs()
{
    return std::chrono::duration_cast<milliseconds>(steady::now() - programStart).count();
}

void sleepUntilMs(std::int64_t time)
{
    std::this_thread::sleep_until(programStart + milliseconds(time));
}

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](unsigned char one, unsigned char other) {
        return std::tolower(one) == std::tolower(other);
    });
}

std::string message::field(std::string_view name) const
{
    for (const auto &[key, value] : fields) {
        if (equalsIgnoringCase(key, name)) {
            return value;
        }
    }
    return {};
}

bool message::has(std::string_view name) const
{
    return std::any_of(
        fields.begin(), fields.end(), [name](const auto &each) { return equalsIgnoringCase(each.first, name); });
}

std::string message::method() const
{
    return startLine.substr(0, startLine.find(' '));
}

std::string message::target() const
{
    const std::size_t begin = startLine.find(' ');
    const std::size_t end = startLine.rfind(' ');
    return begin == std::string::npos || end <= begin ? std::string() : startLine.substr(begin + 1, end - begin - 1);
}

int message::status() const
{
    const std::size_t begin = startLine.find(' ');
    return begin == std::string::npos ? 0 : static_cast<int>(std::strtol(startLine.c_str() + begin, nullptr, 10));
}

connection::connection(int socket)
    : m_socket(socket)
{
    const int enabled = 1;
    ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

connection::~connection()
{
    close();
}

std::unique_ptr<connection> connection::open(const std::string &address, const std::string &source)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (!source.empty()) {
        const sockaddr_in from = parseAddress(source);
        if (::bind(socket, plain(from), sizeof from) != 0) {
            ::close(socket);
            return nullptr;
        }
    }
    const sockaddr_in parsed = parseAddress(address);
    if (::connect(socket, plain(parsed), sizeof parsed) != 0) {
        ::close(socket);
        return nullptr;
    }
    return std::make_unique<connection>(socket);
}

bool connection::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool connection::fill(std::int64_t untilMs)
{
    if (m_socket < 0) {
        return false;
    }
    pollfd waited{m_socket, POLLIN, 0};
    const std::int64_t left = untilMs - nowMs();
    if (left <= 0 || ::poll(&waited, 1, static_cast<int>(left)) <= 0) {
        return false;
    }
    std::vector<char> block(blockBytes);
    const ssize_t size = ::recv(m_socket, block.data(), block.size(), 0);
    if (size <= 0) {
        m_hasEnded = true;
        return false;
    }
    m_buffer.append(block.data(), static_cast<std::size_t>(size));
    return true;
}

bool connection::readLine(std::string &line, std::int64_t untilMs)
{
    std::size_t end = m_buffer.find('\n');
    while (end == std::string::npos) {
        if (!fill(untilMs)) {
            return false;
        }
        end = m_buffer.find('\n');
    }
    line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 1);
    if (!line.empty() && line.back() == '\r') {
        line.pop_back();
    }
    return true;
}

bool connection::readHead(message &read, std::int64_t untilMs)
{
    read = {};
    if (!readLine(read.startLine, untilMs)) {
        return false;
    }
    std::string line;
    while (readLine(line, untilMs)) {
        if (line.empty()) {
            return true;
        }
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            read.fields.emplace_back(line.substr(0, colon),
                                     value == std::string::npos ? std::string() : line.substr(value));
        }
    }
    return false;
}

bool connection::readBody(message &read, std::int64_t untilMs)
{
    if (equalsIgnoringCase(read.field("Transfer-Encoding"), "chunked")) {
        std::string line;
        while (readLine(line, untilMs)) {
            const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
            while (m_buffer.size() < size + 2) {
                if (!fill(untilMs)) {
                    read.body += m_buffer.substr(0, size);
                    return false;
                }
            }
            read.body += m_buffer.substr(0, size);
            m_buffer.erase(0, size + 2);
            if (size == 0) {
                return true;
            }
        }
        return false;
    }
    const std::size_t size = std::strtoul(read.field("Content-Length").c_str(), nullptr, 10);
    while (m_buffer.size() < size) {
        if (!fill(untilMs)) {
            read.body = m_buffer;
            return false;
        }
    }
    read.body = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    return true;
}

bool connection::readToEnd(std::string &bytes, std::int64_t untilMs)
{
    while (fill(untilMs)) { }
    bytes = m_buffer;
    m_buffer.clear();
    return m_hasEnded && errno == 0;
}

bool connection::waitForClose(std::int64_t untilMs)
{
    while (fill(untilMs)) { }
    return m_hasEnded;
}

void connection::reset()
{
    setReset(m_socket);
    close();
}

void connection::close()
{
    if (m_socket >= 0) {
        ::close(m_socket);
        m_socket = -1;
    }
    m_hasEnded = true;
}

bool connection::hasEnded() const
{
    return m_hasEnded;
}

struct listener::shared_data {
    std::mutex mutex;
    std::set<int> open;
    handler handle;
    int socket = -1;
    bool isStopped = false;
};

listener::listener(const std::string &address, handler handle)
    : m_shared(std::make_shared<shared_data>())
{
    m_shared->handle = std::move(handle);
    m_shared->socket = listenOn(address);
    if (m_shared->socket < 0) {
        cannotRun("can't listen on " + address);
    }
    m_thread = std::thread([shared = m_shared] {
        while (true) {
            const int accepted = ::accept4(shared->socket, nullptr, nullptr, SOCK_CLOEXEC);
            const std::lock_guard lock(shared->mutex);
            if (accepted < 0 || shared->isStopped) {
                if (accepted >= 0) {
                    setReset(accepted);
                    ::close(accepted);
                }
                return;
            }
            shared->open.insert(accepted);
            std::thread([shared, accepted] {
                connection client(::dup(accepted));
                shared->handle(client);
                client.close();
                const std::lock_guard lock(shared->mutex);
                shared->open.erase(accepted);
                ::close(accepted);
            }).detach();
        }
    });
}

listener::~listener()
{
    stop();
}

void listener::stop()
{
    {
        const std::lock_guard lock(m_shared->mutex);
        if (m_shared->isStopped) {
            return;
        }
        m_shared->isStopped = true;
        ::shutdown(m_shared->socket, SHUT_RDWR);
        for (const int socket : m_shared->open) {
            setReset(socket);
            ::shutdown(socket, SHUT_RDWR);
        }
    }
    m_thread.join();
    ::close(m_shared->socket);
}

store::store(std::vector<std::string> addresses)
    : m_isCut(addresses.size(), false)
    , m_isRejected(addresses.size(), false)
{
    for (std::size_t vm = 0; vm < addresses.size(); ++vm) {
        m_listeners.push_back(
            std::make_unique<listener>(addresses[vm], [this, vm](connection &client) { serve(client, vm); }));
    }
}

std::uint64_t store::append(const std::string &topic, const std::string &key, const std::optional<std::string> &value)
{
    const std::lock_guard lock(m_mutex);
    m_topics[topic].push_back({key, value});
    m_changed.notify_all();
    return m_topics[topic].size() - 1;
}

void store::setCut(std::size_t vm, bool isCut)
{
    const std::lock_guard lock(m_mutex);
    m_isCut[vm] = isCut;
    m_changed.notify_all();
}

void store::setRejected(std::size_t vm, bool isRejected)
{
    const std::lock_guard lock(m_mutex);
    m_isRejected[vm] = isRejected;
    m_changed.notify_all();
}

std::optional<std::size_t> store::lastReader() const
{
    const std::lock_guard lock(m_mutex);
    return m_lastReader;
}

std::map<std::string, std::size_t> store::sizes() const
{
    const std::lock_guard lock(m_mutex);
    std::map<std::string, std::size_t> result;
    for (const auto &[topic, records] : m_topics) {
        result[topic] = records.size();
    }
    return result;
}

void store::restore(const std::map<std::string, std::size_t> &sizes)
{
    const std::lock_guard lock(m_mutex);
    for (auto &[topic, records] : m_topics) {
        const auto found = sizes.find(topic);
        records.resize(std::min(records.size(), found == sizes.end() ? 0 : found->second));
    }
    ++m_era;
    m_changed.notify_all();
}

void store::setDown(bool isDown)
{
    const std::lock_guard lock(m_mutex);
    m_isDown = isDown;
    m_changed.notify_all();
}

void store::serve(connection &client, std::size_t vm)
{
    constexpr std::int64_t idleMs = 60'000;
    message request;
    while (client.readHead(request, nowMs() + idleMs) && client.readBody(request, nowMs() + idleMs)) {
        std::size_t era = 0;
        {
            const std::lock_guard lock(m_mutex);
            era = m_era;
        }
        const std::optional<std::string> text = answer(request, vm, era);
        const auto isSilent = [this, vm] {
            const std::lock_guard lock(m_mutex);
            return m_isCut[vm];
        };
        if (!text || isSilent()) {
            client.waitForClose(nowMs() + idleMs);
            return;
        }
        if (!client.write(*text)) {
            return;
        }
    }
}

std::optional<std::string> store::answer(const message &request, std::size_t vm, std::size_t era)
{
    const std::string target = request.target();
    const std::map<std::string, std::string> query = parseQuery(target);
    const std::string path = target.substr(0, target.find('?'));
    {
        const std::lock_guard lock(m_mutex);
        if (m_isCut[vm]) {
            return std::nullopt;
        }
        if (m_isDown || m_isRejected[vm]) {
            return httpAnswer("503 Service Unavailable", "text/plain", "", era);
        }
    }
    const auto valueOf = [&query](const char *name) {
        const auto found = query.find(name);
        return found == query.end() ? std::string() : found->second;
    };
    if (path == "/log-newest") {
        return httpAnswer("200 OK", "application/json", readNewest(valueOf("topic")), era);
    }
    if (path == "/log-read") {
        const std::optional<std::string> body = read(query, vm);
        return body ? httpAnswer("200 OK", "application/octet-stream", *body, era)
                    : httpAnswer("410 Gone", "application/json", "{\"first_offset\":0}", era);
    }
    if (path == "/log-append") {
        const std::string body = appendRecord(query, request.body);
        return httpAnswer(body.find("\"offset\"") == std::string::npos ? "412 Precondition Failed" : "200 OK",
                          "application/json",
                          body,
                          era);
    }
    return httpAnswer("404 Not Found", "text/plain", "", era);
}

std::string store::readNewest(const std::string &topic)
{
    const std::lock_guard lock(m_mutex);
    std::map<std::string, std::pair<std::size_t, std::string>> newest;
    const std::vector<record> &records = m_topics[topic];
    for (std::size_t offset = 0; offset < records.size(); ++offset) {
        if (records[offset].value) {
            newest[records[offset].key] = {offset, *records[offset].value};
        } else {
            newest.erase(records[offset].key);
        }
    }
    std::string entries;
    for (const auto &[key, entry] : newest) {
        entries += entries.empty() ? "" : ",";
        entries += R"({"key":")" + key + R"(","value":")" + base64(entry.second) + R"(","offset":)"
            + std::to_string(entry.first) + "}";
    }
    return "{\"entries\":[" + entries + R"(],"has_more":false,"end_offset":)" + std::to_string(records.size()) + "}";
}

std::optional<std::string> store::read(const std::map<std::string, std::string> &query, std::size_t vm)
{
    const auto numberOf = [&query](const char *name) {
        const auto found = query.find(name);
        return found == query.end() ? 0UL : std::strtoul(found->second.c_str(), nullptr, 10);
    };
    const std::string topic = query.contains("topic") ? query.at("topic") : std::string();
    const std::size_t from = numberOf("from");
    std::unique_lock lock(m_mutex);
    const std::size_t era = m_era;
    m_changed.wait_for(lock, milliseconds(numberOf("wait_ms")), [&] {
        return m_topics[topic].size() > from || m_isCut[vm] || m_isRejected[vm] || m_era != era;
    });
    const std::vector<record> &records = m_topics[topic];
    if (from > records.size()) {
        return std::nullopt;
    }
    if (topic == "keyed.servers" && !m_isCut[vm]) {
        m_lastReader = vm;
    }
    std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
    for (std::size_t offset = from; offset < records.size(); ++offset) {
        const std::string &key = records[offset].key;
        const std::string content = static_cast<char>(key.size()) + key + records[offset].value.value_or(std::string());
        body += bigEndian(content.size(), 4) + content;
    }
    return body;
}

std::string store::appendRecord(const std::map<std::string, std::string> &query, const std::string &body)
{
    const std::lock_guard lock(m_mutex);
    std::vector<record> &records = m_topics[query.contains("topic") ? query.at("topic") : std::string()];
    const auto expected = query.find("at");
    if (expected != query.end() && std::strtoul(expected->second.c_str(), nullptr, 10) != records.size()) {
        return "{\"end_offset\":" + std::to_string(records.size()) + "}";
    }
    const std::size_t first = records.size();
    std::string_view rest = body;
    while (rest.size() > 4) {
        std::size_t size = 0;
        for (const unsigned char byte : rest.substr(0, 4)) {
            size = (size << 8U) | byte;
        }
        const std::string_view content = rest.substr(4, size);
        rest.remove_prefix(std::min(rest.size(), 4 + size));
        const std::size_t keySize = content.empty() ? 0 : static_cast<unsigned char>(content.front());
        record added{std::string(content.substr(1, keySize)), std::nullopt};
        if (content.size() > 1 + keySize) {
            added.value = std::string(content.substr(1 + keySize));
        }
        records.push_back(std::move(added));
    }
    m_changed.notify_all();
    return "{\"offset\":" + std::to_string(first) + ",\"end_offset\":" + std::to_string(records.size()) + "}";
}

record_file::record_file()
    : m_file(std::getenv("RIG_RECORD") == nullptr ? "record.txt" : std::getenv("RIG_RECORD"))
{
}

void record_file::line(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    std::string time = std::to_string(nowMs());
    time.insert(0, 7 - std::min<std::size_t>(time.size(), 7), ' ');
    m_file << time << ' ' << text << std::endl;
}

vm_process::vm_process(options options, std::string folder)
    : m_options(std::move(options))
    , m_folder(std::move(folder))
{
}

vm_process::~vm_process()
{
    kill();
}

void vm_process::start()
{
    const std::string path = m_folder + "/" + m_options.id + ".ini";
    std::ofstream file(path);
    const std::string &ip = m_options.ip;
    file << "[node]\nid = " << m_options.id << "\navailability_zone = " << m_options.zone
         << "\nregion = " << m_options.region << "\nregions = " << m_options.regions << "\ncaller_address = " << ip
         << ":21827\nreadiness_address = " << ip << ":21820\npeer_address = " << ip
         << ":21829\ndirectory_address = " << ip << ":21824\n[store]\naddress = " << m_options.storeAddress
         << "\n[security]\npeer_key = replace-for-each-deployment\n[runners]\nheartbeat_ms = 1200\n[limits]\ngrace_s = "
         << m_options.graceSeconds << "\nlink_mbps = 1000.0\nmemory_mb = " << m_options.memoryMb
         << "\ndirectory_ttl_s = 5\nrepeat_share = 0.9\nrepeat_allowance = 52\nrepeat_window_s = 10\n"
            "exposure_share = 0.15\nexposure_allowance = 30\n";
    file.close();
    const std::string log = m_folder + "/" + m_options.id + ".log";
    const int child = ::fork();
    if (child == 0) {
        // The process ends with this program, also when that is killed.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::setenv("CROCUSLANE_SETTINGS", path.c_str(), 1);
        ::execl("target/src/apps/crocuslaned/crocuslaned", "crocuslaned", "--ports", "platform", nullptr);
        std::_Exit(statusCannotRun);
    }
    m_pid = child;
}

void vm_process::signal(int number)
{
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

void vm_process::kill()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = 0;
    }
}

bool vm_process::hasEnded()
{
    if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
        m_pid = 0;
    }
    return m_pid == 0;
}

long vm_process::memoryKb() const
{
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("RssAnon:")) {
            return std::strtol(line.c_str() + 8, nullptr, 10);
        }
    }
    return 0;
}

std::string vm_process::front() const
{
    return m_options.ip + ":21827";
}

std::string vm_process::ready() const
{
    return m_options.ip + ":21820";
}

int vm_process::pid() const
{
    return m_pid;
}

const std::string &vm_process::id() const
{
    return m_options.id;
}

deployment::deployment(std::size_t vmCount, const std::string &zones, int memoryMb)
{
    std::signal(SIGPIPE, SIG_IGN);
    const char *temporary = std::getenv("RIG_FOLDER");
    folder = temporary == nullptr ? "/tmp" : temporary;
    // The networks 127.64 to 127.250; a used one has a listener on its first address.
    for (int tried = 0; tried < 180 && network == 0; ++tried) {
        const int candidate = 64 + (::getpid() + tried * 7) % 187;
        const int probe = listenOn("127." + std::to_string(candidate) + ".0.1:21999");
        if (probe >= 0) {
            network = candidate;
        }
    }
    if (network == 0) {
        cannotRun("no free loopback network");
    }
    std::vector<std::string> storeAddresses;
    for (std::size_t index = 0; index < vmCount; ++index) {
        const int host = static_cast<int>(index);
        storeAddresses.push_back(ip(200 + host) + ":21823");
        vm_process::options options;
        options.id = "edge-derry-a-" + std::to_string(index + 1);
        options.ip = ip(10 + host);
        options.storeAddress = storeAddresses.back();
        options.memoryMb = memoryMb;
        if (zones == "two" && index % 2 == 1) {
            options.zone = "north-b";
        }
        vms.push_back(std::make_unique<vm_process>(options, folder));
    }
    platform = std::make_unique<store>(storeAddresses);
}

std::string deployment::ip(int host) const
{
    return "127." + std::to_string(network) + ".1." + std::to_string(host);
}

void deployment::startVms()
{
    for (const auto &vm : vms) {
        vm->start();
    }
}

bool deployment::waitUntilReady(std::int64_t untilMs)
{
    for (const auto &vm : vms) {
        bool isReady = false;
        while (!isReady && nowMs() < untilMs) {
            isReady = call(vm->ready(), "GET /readyz HTTP/1.1\r\nHost: probe\r\n\r\n", 500).content.status() == 200;
            if (!isReady) {
                std::this_thread::sleep_for(milliseconds(50));
            }
        }
        if (!isReady) {
            return false;
        }
    }
    return true;
}

std::string runnerEntry(const std::string &service,
                        const std::string &address,
                        const std::string &zone,
                        unsigned slots,
                        const std::string &state,
                        std::uint64_t sequence,
                        std::int64_t born)
{
    return R"({"service":")" + service + R"(","address":")" + address + R"(","zone":")" + zone
        + R"(","version":"v1","slots":)" + std::to_string(slots) + R"(,"state":")" + state
        + R"(","cold_left_ms":0,"sequence":)" + std::to_string(sequence) + R"(,"born":)" + std::to_string(born) + "}";
}

std::string configurationOf(const std::string &path, const std::string &kind, const std::string &extra)
{
    return R"({"version":3,"routes":[{"name":"r1","host":"desk.example","path_prefix":"/)" + path
        + R"(/","route_kind":")" + kind + R"(","timeout_ms":6000,"slo_ms":400,"priority":2,"service":"desk",)" + extra
        + R"("max_attempts":3,"anonymous":false}],"services":[{"name":"desk","health_path":"/healthz",)"
        + R"("max_conns":96,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,)"
        + R"("max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
        + R"("tenants":[{"name":"kitchen","api_keys":["k1"]}]})";
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::strcmp(value, "0") != 0;
}

answer call(const std::string &address, const std::string &request, std::int64_t timeoutMs)
{
    answer result;
    result.sentAt = nowMs();
    const std::int64_t until = result.sentAt + timeoutMs;
    if (const std::unique_ptr<connection> client = connection::open(address)) {
        if (client->write(request) && client->readHead(result.content, until)) {
            result.hasHead = true;
            result.isComplete = client->readBody(result.content, until);
        }
    }
    result.endedAt = nowMs();
    return result;
}

std::string requestText(const std::string &method,
                        const std::string &path,
                        const std::string &attempt,
                        const std::string &key,
                        std::int64_t deadlineMs,
                        const std::vector<std::string> &fields,
                        const std::string &body)
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " + attempt
        + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\nAuthorization: Bearer " + key + "\r\n";
    for (const std::string &field : fields) {
        text += field + "\r\n";
    }
    if (!body.empty() || method != "GET") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

} // namespace rig

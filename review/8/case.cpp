// Orders whose heads are inside the limits and consist of many short fields, on kept connections, in calm.

#include "../rig/deployment.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <set>
#include <stdexcept>

namespace {

using namespace rig; // NOLINT(google-build-using-namespace): one file

constexpr int firstCount = 432;
constexpr int lastCount = 446;
constexpr std::size_t fieldBytes = 9;
// LOST is broken by more than three.
constexpr int allowedCloses = 3;
constexpr std::size_t maximumHeaderBytes = 16384;

/// Fields of 9 bytes each, line ends included.
fields shortFields(int count)
{
    fields list;
    for (int number = 0; number < count; ++number) {
        const std::string name = "n" + std::to_string(100 + number);
        list.emplace_back(name, "v");
    }
    return list;
}

/// Four fields with as many bytes as @p count short ones.
fields longFields(int count)
{
    fields list;
    for (int number = 0; number < 4; ++number) {
        list.emplace_back("x-note-" + std::to_string(number), std::string(fieldBytes * count / 4 - 12, 'v'));
    }
    return list;
}

bool play()
{
    store registry("127.0.0.1");
    publishConfiguration(registry, nlohmann::json::array({plainRoute("dispatch", "/dispatch/", "non_idempotent")}));
    std::mutex mutex;
    std::set<std::string> ran;
    const auto serve = [&](runner &self, connection &from, const http_message &request) {
        const std::string id = request.field("X-Attempt-Id");
        record("runner " + self.id() + " runs " + id);
        {
            const std::lock_guard lock(mutex);
            ran.insert(id);
        }
        sleepMs(20);
        return from.send(plainAnswer(request,
                                     self.nextSignature(),
                                     std::string(800, 'b'),
                                     {{"X-Instance-Load", "1,0,6"}, {"Content-Type", "application/json"}}));
    };
    runner first(registry, "i-1", "field-ops", "muscat-a", "127.0.0.1", serve);
    runner second(registry, "i-2", "field-ops", "muscat-b", "127.0.0.1", serve);
    node left("edge-muscat-a-1", "127.0.0.1", "muscat-a", "muscat", registry.address());
    node right("edge-muscat-b-1", "127.0.0.1", "muscat-b", "muscat", registry.address());
    left.start();
    right.start();
    if (!waitUntilReady({&left, &right}, 10'000)) {
        throw std::runtime_error("the processes are not ready");
    }
    // Longer than contact_ms: all machines are in touch.
    sleepMs(6000);
    int closedAfterRun = 0;
    int answered = 0;
    for (int number = 2 * firstCount; number < 2 * lastCount + 2; ++number) {
        const int count = number / 2;
        node &asked = number % 2 == 0 ? left : right;
        const std::unique_ptr<connection> kept = connectTo(asked.caller(), 1000);
        if (!kept) {
            throw std::runtime_error("no connection to " + asked.id());
        }
        order usual;
        usual.id = "usual-" + std::to_string(number);
        kept->send(requestText(usual, 6000));
        const std::optional<http_message> usualAnswer = readAnswer(*kept, 7000);
        if (!usualAnswer || usualAnswer->second != "200") {
            throw std::runtime_error("a usual request was not served");
        }
        order noted;
        noted.id = "noted-" + std::to_string(number);
        noted.more = isWithoutTrouble() ? longFields(count) : shortFields(count);
        const std::string text = requestText(noted, 6000);
        const std::size_t headBytes = text.find("\r\n\r\n") + 4;
        if (headBytes > maximumHeaderBytes) {
            throw std::runtime_error("the head is over the limit");
        }
        kept->send(text);
        const std::optional<http_message> answer = readAnswer(*kept, 7000);
        const bool isClosed = !answer && kept->isClosed();
        const std::lock_guard lock(mutex);
        const bool hasRun = ran.contains(noted.id);
        closedAfterRun += isClosed && hasRun ? 1 : 0;
        answered += answer ? 1 : 0;
        record(asked.id() + " " + noted.id + ": head of " + std::to_string(headBytes) + " bytes, "
               + std::to_string(noted.more.size() + 5) + " fields; ran: " + (hasRun ? "yes" : "no") + "; client: "
               + (answer         ? answer->second
                      : isClosed ? "connection closed, no answer"
                                 : "no answer"));
    }
    record("answered " + std::to_string(answered) + ", run and closed without an answer "
           + std::to_string(closedAfterRun));
    left.signal(SIGTERM);
    right.signal(SIGTERM);
    left.waitForEnd(9000);
    right.waitForEnd(9000);
    return closedAfterRun > allowedCloses;
}

} // namespace

int main(int count, char **arguments)
{
    return count == 2 ? rig::runCase(arguments[1], play) : 2;
}

#include "http/standin.h"

#include <boost/program_options.hpp>
#include <fmt/core.h>
#include <nlohmann/json.hpp>

#include <sstream>

namespace crocuslane {

namespace options = boost::program_options;
using nlohmann::json;

standin_server::standin_server(standin_loop &loop, const std::string &address, std::uint16_t port, standin &served)
    : m_loop(loop)
    , m_standin(served)
    , m_listener(
          loop.listen(address, port, [this](const std::shared_ptr<standin_exchange> &exchange) { handle(exchange); }))
{
}

void standin_server::handle(const std::shared_ptr<standin_exchange> &exchange)
{
    const standin_request &request = exchange->request();
    if (request.path == "/faults") {
        handleFaults(*exchange);
        return;
    }
    if (m_isDown) {
        exchange->drop();
        return;
    }
    if (request.path == "/healthz") {
        exchange->answer(200, "ok\n", "text/plain");
        return;
    }
    const bool losesAnswer = m_answersToLose > 0 && request.method == "POST";
    if (losesAnswer) {
        --m_answersToLose;
    }
    const auto forwardToStandin = [this, exchange, losesAnswer] {
        if (losesAnswer) {
            exchange->loseAnswer();
        }
        m_standin.handle(exchange);
    };
    if (m_delayMilliseconds > 0) {
        const auto delay = std::chrono::milliseconds(m_delayMilliseconds);
        m_loop.callAt(std::chrono::steady_clock::now() + delay, forwardToStandin);
        return;
    }
    forwardToStandin();
}

void standin_server::handleFaults(standin_exchange &exchange)
{
    if (exchange.request().method == "POST") {
        const json faults = json::parse(exchange.request().body, nullptr, false);
        if (!faults.is_object()) {
            answerError(exchange, 400, "bad_request", "the body is not a JSON object");
            return;
        }
        try {
            setFaults(faults);
        } catch (const std::exception &error) {
            answerError(exchange, 400, "bad_request", error.what());
            return;
        }
    }
    json state{{"down", m_isDown}, {"delay_ms", m_delayMilliseconds}, {"lose_answers", m_answersToLose}};
    m_standin.describeFaults(state);
    exchange.answer(200, state.dump() + "\n");
}

void standin_server::setFaults(const json &faults)
{
    ++m_faultGeneration;
    if (faults.value("reset", false)) {
        clearFaults();
    }
    for (const auto &[key, value] : faults.items()) {
        if (key == "reset" || key == "for_ms") {
            continue;
        }
        if (!setCommonFault(key, value) && !m_standin.setFault(key, value)) {
            throw std::invalid_argument("unknown fault: " + key);
        }
    }
    if (faults.contains("for_ms")) {
        const auto period = std::chrono::milliseconds(faults.at("for_ms").get<std::uint32_t>());
        m_loop.callAt(std::chrono::steady_clock::now() + period, [this, generation = m_faultGeneration] {
            if (generation == m_faultGeneration) {
                clearFaults();
            }
        });
    }
}

bool standin_server::setCommonFault(const std::string &key, const json &value)
{
    if (key == "down") {
        m_isDown = value.get<bool>();
    } else if (key == "delay_ms") {
        m_delayMilliseconds = value.get<std::uint32_t>();
    } else if (key == "lose_answers") {
        m_answersToLose = value.get<std::uint32_t>();
    } else if (key == "silence_connections") {
        if (value.get<bool>()) {
            m_listener.silenceConnections();
        }
    } else {
        return false;
    }
    return true;
}

void standin_server::clearFaults()
{
    m_isDown = false;
    m_delayMilliseconds = 0;
    m_answersToLose = 0;
    m_standin.clearFaults();
}

void answerError(standin_exchange &exchange, unsigned status, const std::string &code, const std::string &message)
{
    const json body{{"error", {{"code", code}, {"message", message}}}};
    exchange.answer(status, body.dump() + "\n");
}

bool readArguments(int argumentCount,
                   char **arguments,
                   const std::string &description,
                   std::uint16_t defaultPort,
                   options::options_description &optionList,
                   options::variables_map &values,
                   standin_arguments &common,
                   int &exitCode)
{
    optionList.add_options()("help", "show this text and exit")(
        "address", options::value(&common.address)->default_value("127.0.0.1"), "address to listen on")(
        "port", options::value(&common.port)->default_value(defaultPort), "port to listen on");
    try {
        options::store(options::parse_command_line(argumentCount, arguments, optionList), values);
        if (values.count("help") > 0) {
            std::ostringstream text;
            text << optionList;
            fmt::print("{}\n\n{}", description, text.str());
            return false;
        }
        options::notify(values);
    } catch (const options::error &error) {
        fmt::print(stderr, "{}: {}\n", arguments[0], error.what());
        exitCode = 2;
        return false;
    }
    return true;
}

} // namespace crocuslane

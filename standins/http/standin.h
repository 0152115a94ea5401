#pragma once

#include "http/standin_loop.h"

#include <nlohmann/json_fwd.hpp>

namespace boost::program_options {
class options_description;
class variables_map;
} // namespace boost::program_options

namespace crocuslane {

/// One system of the platform, on one port.
class standin
{
public:
    virtual ~standin() = default;
    virtual void handle(const std::shared_ptr<standin_exchange> &exchange) = 0;
    /// Takes one key of a fault; false when it isn't known. Throws nlohmann::json::exception for a wrong type.
    virtual bool setFault(const std::string &key, const nlohmann::json &value) = 0;
    virtual void clearFaults() = 0;
    virtual void describeFaults(nlohmann::json &faults) const = 0;
};

/// Serves a stand-in with `POST /faults`, `GET /healthz` and the faults that all have in common:
/// `down` (connections close without an answer), `delay_ms` (before a request is handled), `lose_answers` (number of
/// POST requests that take effect and whose answer is lost), `silence_connections` (open ones go silent), `reset`,
/// `for_ms` (clears all faults after this time).
class standin_server
{
public:
    standin_server(standin_loop &loop, const std::string &address, std::uint16_t port, standin &served);

private:
    void handle(const std::shared_ptr<standin_exchange> &exchange);
    void handleFaults(standin_exchange &exchange);
    void setFaults(const nlohmann::json &faults);
    bool setCommonFault(const std::string &key, const nlohmann::json &value);
    void clearFaults();

    standin_loop &m_loop;
    standin &m_served;
    standin_listener &m_listener;
    bool m_isDown = false;
    std::uint32_t m_delayMilliseconds = 0;
    std::uint32_t m_lostAnswers = 0;
    /// Distinguishes the posts of faults, so that an old one's for_ms doesn't end a newer one.
    std::uint64_t m_faultGeneration = 0;
};

/// Sends `{"error": {"code": …, "message": …}}`.
void answerError(standin_exchange &exchange, unsigned status, const std::string &code, const std::string &message);

/// Options that all programs have: --help, --address, --port.
struct standin_arguments {
    std::string address;
    std::uint16_t port = 0;
};

/// Reads the command line. False when the program must exit with @p exitCode, after --help or an error.
bool readArguments(int argumentCount,
                   char **arguments,
                   const std::string &description,
                   std::uint16_t defaultPort,
                   boost::program_options::options_description &options,
                   boost::program_options::variables_map &values,
                   standin_arguments &common,
                   int &exitCode);

} // namespace crocuslane

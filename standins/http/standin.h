#pragma once

#include "http/standin_loop.h"

#include <nlohmann/json_fwd.hpp>

namespace boost::program_options {
class options_description;
class variables_map;
} // namespace boost::program_options

namespace crocuslane {

/// Replacement of an outside system, served by a standin_server.
class standin
{
public:
    virtual ~standin() = default;
    virtual void handle(const std::shared_ptr<standin_exchange> &exchange) = 0;
    /// Sets the fault named @p key; returns false when the stand-in has no such fault. Throws nlohmann::json::exception
    /// when @p value has a wrong type.
    virtual bool setFault(const std::string &key, const nlohmann::json &value) = 0;
    virtual void clearFaults() = 0;
    virtual void describeFaults(nlohmann::json &faults) const = 0;
};

/// Serves a stand-in, and adds `GET` and `POST /faults`, `GET /healthz` and the faults that all stand-ins have:
/// `down` (closes connections without an answer), `delay_ms` (delay before a request is handled), `lose_answers`
/// (number of the next POST requests that are handled but not answered), `silence_connections` (see
/// standin_listener::silenceConnections()). `reset` clears all faults first, `for_ms` clears them after this time.
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
    standin &m_standin;
    standin_listener &m_listener;
    bool m_isDown = false;
    std::uint32_t m_delayMilliseconds = 0;
    std::uint32_t m_answersToLose = 0;
    /// Incremented by each `POST /faults`, so that for_ms of an earlier request doesn't clear the faults of a later
    /// one.
    std::uint64_t m_faultGeneration = 0;
};

/// Sends `{"error": {"code": …, "message": …}}`.
void answerError(standin_exchange &exchange, unsigned status, const std::string &code, const std::string &message);

/// Values of the options that all stand-in programs have, besides --help.
struct standin_arguments {
    std::string address;
    std::uint16_t port = 0;
};

/// Reads the command line. Returns false after --help or an error, when the program must exit with @p exitCode.
bool readArguments(int argumentCount,
                   char **arguments,
                   const std::string &description,
                   std::uint16_t defaultPort,
                   boost::program_options::options_description &options,
                   boost::program_options::variables_map &values,
                   standin_arguments &common,
                   int &exitCode);

} // namespace crocuslane

#pragma once

#include "base/digest.h"
#include "command.h"
#include "fake_vm.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <fstream>
#include <iterator>
#include <mutex>
#include <sstream>

namespace crocuslane {

/// Three entry VMs of one deployment behind the operators' HTTP interface, and an environment for commands.
class fake_deployment
{
public:
    /// Effect of one publication and answer to it. Without an answer, the connection is closed.
    enum class simulated_outcome {
        accepted,
        accepted_without_answer,
        dropped_without_answer,
        /// Another operator's text is accepted first.
        superseded_without_answer,
        conflict,
        log_unavailable,
    };

    fake_deployment()
    {
        std::ifstream file(CROCUSLANE_SOURCE_FOLDER "/examples/rimal.ini");
        m_text = {std::istreambuf_iterator<char>(file), {}};
        for (std::size_t index = 0; index < 3; ++index) {
            m_versions.push_back(m_version);
            m_vms.push_back(std::make_unique<fake_vm>(
                [this, index](const fake_request &request) { return reply(index, request); }));
        }
    }

    ~fake_deployment()
    {
        for (const auto &vm : m_vms) {
            vm->stop();
        }
    }

    fake_deployment(const fake_deployment &) = delete;
    fake_deployment &operator=(const fake_deployment &) = delete;

    /// Runs a command with connection options; the clock moves only while the command sleeps.
    exit_code run(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.end(), {"--key", "dev-operator"});
        for (const auto &vm : m_vms) {
            arguments.insert(arguments.end(), {"--entry", vm->address()});
        }
        return runPlain(arguments);
    }

    exit_code runPlain(const std::vector<std::string> &arguments)
    {
        m_out.str({});
        m_err.str({});
        command_environment environment{
            m_out, m_err, m_clock, [this](duration time) { m_clock.advance(time); }, false, {}, makeCurlTransport};
        return runCommandLine(arguments, environment);
    }

    std::string out() const
    {
        return m_out.str();
    }

    std::string err() const
    {
        return m_err.str();
    }

    fake_vm &vm(std::size_t index)
    {
        return *m_vms.at(index);
    }

    /// Writes a text to a file of the test's folder and returns its name.
    static std::string write(const std::string &name, const std::string &text)
    {
        std::ofstream(name, std::ios::binary) << text;
        return name;
    }

    std::string m_text;
    std::uint64_t m_version = 7;
    /// Configuration version of each VM; a publication changes those of m_updatedVms.
    std::vector<std::uint64_t> m_versions;
    std::vector<std::size_t> m_updatedVms = {0, 1, 2};
    std::deque<simulated_outcome> m_simulatedOutcomes;
    int m_publicationCount = 0;
    /// Whether the status of each VM contains the versions of the others instead of 0.
    bool m_reportsAllVersions = false;
    /// VM whose readiness check fails.
    std::optional<std::size_t> m_unreadyVm;
    std::map<std::size_t, int> m_requestCounts;
    std::string m_drainedVm;
    std::map<std::size_t, nlohmann::json> m_groups;
    std::map<std::size_t, nlohmann::json> m_events;

private:
    static fake_reply error(std::uint32_t status, const std::string &code, const std::string &execution)
    {
        const nlohmann::json content = {
            {"code", code}, {"message", "refused by the fake deployment"}, {"execution", execution}};
        return {status, nlohmann::json({{"error", content}}).dump(), false};
    }

    void accept(const std::string &text)
    {
        m_text = text;
        ++m_version;
        for (const std::size_t updatedVm : m_updatedVms) {
            m_versions[updatedVm] = m_version;
        }
    }

    fake_reply publish(const fake_request &request)
    {
        ++m_publicationCount;
        simulated_outcome outcome = simulated_outcome::accepted;
        if (!m_simulatedOutcomes.empty()) {
            outcome = m_simulatedOutcomes.front();
            m_simulatedOutcomes.pop_front();
        }
        if (request.query.at("replaces") != std::to_string(m_version) || outcome == simulated_outcome::conflict) {
            return error(409, "publication_conflict", "not_run");
        }
        switch (outcome) {
        case simulated_outcome::log_unavailable:
            return error(503, "log_unavailable", "not_run");
        case simulated_outcome::dropped_without_answer:
            return {0, {}, true};
        case simulated_outcome::superseded_without_answer:
            accept(m_text + "# by another operator\n");
            return {0, {}, true};
        case simulated_outcome::accepted_without_answer:
            accept(request.body);
            return {0, {}, true};
        default:
            accept(request.body);
            return {200, nlohmann::json({{"accepted", true}, {"version", m_version}}).dump(), false};
        }
    }

    nlohmann::json status(std::size_t answeringVm) const
    {
        nlohmann::json members = nlohmann::json::array();
        for (std::size_t index = 0; index < m_versions.size(); ++index) {
            members.push_back(
                {{"id", "vm-" + std::to_string(index)},
                 {"availability_zone", index < 2 ? "muscat-a" : "dhofar-a"},
                 {"region", index < 2 ? "muscat" : "dhofar"},
                 {"address", m_vms[index]->address()},
                 {"last_heard_age_s", index == answeringVm ? nlohmann::json(0.1) : nlohmann::json(nullptr)},
                 {"configuration_version", index == answeringVm || m_reportsAllVersions ? m_versions[index] : 0},
                 {"stopping", false},
                 {"self", index == answeringVm}});
        }
        return {{"node", {{"id", "vm-" + std::to_string(answeringVm)}, {"availability_zone", "a"}, {"region", "r"}}},
                {"configuration", {{"version", m_versions[answeringVm]}, {"fresh", true}}},
                {"members", std::move(members)},
                {"plugins", nlohmann::json::object()}};
    }

    fake_reply reply(std::size_t answeringVm, const fake_request &request)
    {
        const std::scoped_lock lock(m_mutex);
        ++m_requestCounts[answeringVm];
        if (request.path == "/readyz") {
            return {answeringVm == m_unreadyVm ? 503U : 200U, "", false};
        }
        if (request.authorization != "Bearer dev-operator") {
            return error(401, "unauthenticated", "not_run");
        }
        const std::string endpoint = request.method + ' ' + request.path;
        if (endpoint == "POST /admin/publish") {
            return publish(request);
        }
        if (endpoint == "POST /admin/drain") {
            m_drainedVm = "vm-" + std::to_string(answeringVm);
            return {200, R"({"stopping":true})", false};
        }
        if (endpoint == "GET /admin/configuration") {
            const nlohmann::json body = {{"version", m_version}, {"hash", sha256Hex(m_text)}, {"text", m_text}};
            return {200, body.dump(), false};
        }
        if (endpoint == "GET /admin/status") {
            return {200, status(answeringVm).dump(), false};
        }
        if (endpoint == "GET /admin/groups") {
            return {200, nlohmann::json({{"groups", m_groups[answeringVm]}}).dump(), false};
        }
        if (endpoint == "GET /admin/timeline") {
            return {200, nlohmann::json({{"events", m_events[answeringVm]}}).dump(), false};
        }
        if (endpoint == "GET /admin/bills") {
            return {
                200,
                R"({"bills":[{"request":"r1"}],"totals":[{"organisation":"al-ansab","requests":2,"cost":1500000}]})",
                false};
        }
        return error(404, "bad_request", "not_run");
    }

    std::mutex m_mutex;
    std::vector<std::unique_ptr<fake_vm>> m_vms;
    manual_clock m_clock;
    std::ostringstream m_out;
    std::ostringstream m_err;
};

} // namespace crocuslane

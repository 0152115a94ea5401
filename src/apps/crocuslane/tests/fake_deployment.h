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
    /// What becomes of one publication.
    enum class publication_fate {
        accepted,
        accepted_but_lost,
        dropped_and_lost,
        overtaken_and_lost,
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
    /// Configuration version of each VM; a publication sets those of m_followers.
    std::vector<std::uint64_t> m_versions;
    std::vector<std::size_t> m_followers = {0, 1, 2};
    std::deque<publication_fate> m_fates;
    int m_publications = 0;
    /// Whether each VM heard the versions of the others.
    bool m_isHeard = false;
    std::optional<std::size_t> m_staleVm;
    std::map<std::size_t, int> m_requests;
    std::string m_drained;
    std::map<std::size_t, nlohmann::json> m_groups;
    std::map<std::size_t, nlohmann::json> m_events;

private:
    static fake_reply error(std::uint32_t status, const std::string &code, const std::string &execution)
    {
        const nlohmann::json content = {{"code", code}, {"message", "told by the fake"}, {"execution", execution}};
        return {status, nlohmann::json({{"error", content}}).dump(), false};
    }

    void accept(const std::string &text)
    {
        m_text = text;
        ++m_version;
        for (const std::size_t follower : m_followers) {
            m_versions[follower] = m_version;
        }
    }

    fake_reply publish(const fake_request &request)
    {
        ++m_publications;
        publication_fate fate = publication_fate::accepted;
        if (!m_fates.empty()) {
            fate = m_fates.front();
            m_fates.pop_front();
        }
        if (request.query.at("replaces") != std::to_string(m_version) || fate == publication_fate::conflict) {
            return error(409, "publication_conflict", "not_run");
        }
        switch (fate) {
        case publication_fate::log_unavailable:
            return error(503, "log_unavailable", "not_run");
        case publication_fate::dropped_and_lost:
            return {0, {}, true};
        case publication_fate::overtaken_and_lost:
            accept(m_text + "# by another operator\n");
            return {0, {}, true};
        case publication_fate::accepted_but_lost:
            accept(request.body);
            return {0, {}, true};
        default:
            accept(request.body);
            return {200, nlohmann::json({{"accepted", true}, {"version", m_version}}).dump(), false};
        }
    }

    nlohmann::json status(std::size_t self) const
    {
        nlohmann::json members = nlohmann::json::array();
        for (std::size_t index = 0; index < m_versions.size(); ++index) {
            members.push_back({{"id", "vm-" + std::to_string(index)},
                               {"availability_zone", index < 2 ? "muscat-a" : "dhofar-a"},
                               {"region", index < 2 ? "muscat" : "dhofar"},
                               {"address", m_vms[index]->address()},
                               {"last_heard_age_s", index == self ? nlohmann::json(0.1) : nlohmann::json(nullptr)},
                               {"configuration_version", index == self || m_isHeard ? m_versions[index] : 0},
                               {"stopping", false},
                               {"self", index == self}});
        }
        return {{"node", {{"id", "vm-" + std::to_string(self)}, {"availability_zone", "a"}, {"region", "r"}}},
                {"configuration", {{"version", m_versions[self]}, {"fresh", true}}},
                {"members", std::move(members)},
                {"plugins", nlohmann::json::object()}};
    }

    fake_reply reply(std::size_t self, const fake_request &request)
    {
        const std::scoped_lock lock(m_mutex);
        ++m_requests[self];
        if (request.path == "/readyz") {
            return {self == m_staleVm ? 503U : 200U, "", false};
        }
        if (request.authorization != "Bearer dev-operator") {
            return error(401, "unauthenticated", "not_run");
        }
        const std::string what = request.method + ' ' + request.path;
        if (what == "POST /admin/publish") {
            return publish(request);
        }
        if (what == "POST /admin/drain") {
            m_drained = "vm-" + std::to_string(self);
            return {200, R"({"stopping":true})", false};
        }
        if (what == "GET /admin/configuration") {
            const nlohmann::json body = {{"version", m_version}, {"hash", sha256Hex(m_text)}, {"text", m_text}};
            return {200, body.dump(), false};
        }
        if (what == "GET /admin/status") {
            return {200, status(self).dump(), false};
        }
        if (what == "GET /admin/groups") {
            return {200, nlohmann::json({{"groups", m_groups[self]}}).dump(), false};
        }
        if (what == "GET /admin/timeline") {
            return {200, nlohmann::json({{"events", m_events[self]}}).dump(), false};
        }
        if (what == "GET /admin/bills") {
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

#include "net/event_loop.h"
#include "net/http_server.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <curl/curl.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <cstdio>
#include <filesystem>
#include <fstream>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace crocuslane;
namespace errors = boost::leaf;

namespace {

constexpr std::size_t bodyLimit = 1'000'000;
constexpr long validitySeconds = 600;

/// HTTPS server on a loopback address with a self-signed certificate in a temporary folder, and requests by libcurl in
/// the same loop.
class https_fixture : public http_handler
{
public:
    https_fixture()
        : m_server(m_loop, *this, {bodyLimit, 100})
    {
        std::string name = (std::filesystem::temp_directory_path() / "crocuslane-https.XXXXXX").string();
        REQUIRE(::mkdtemp(name.data()) != nullptr);
        m_folder = name;
        m_files = makeIdentity("server");
        curl_global_init(CURL_GLOBAL_DEFAULT);
    }

    ~https_fixture() override
    {
        curl_global_cleanup();
        std::filesystem::remove_all(m_folder);
    }

    https_fixture(const https_fixture &) = delete;
    https_fixture &operator=(const https_fixture &) = delete;

    void handleRequest(const std::shared_ptr<http_exchange> &exchange) override
    {
        if (exchange->request().path == "/echo") {
            exchange->respond(200, {}, exchange->request().body);
            return;
        }
        exchange->begin(200, {});
        sendNext(exchange, 0);
    }

    void handleAbandoned(const http_exchange & /*exchange*/) override
    {
    }

protected:
    void sendNext(const std::shared_ptr<http_exchange> &exchange, int index)
    {
        if (index == 3) {
            exchange->finish();
            m_server.flush();
            return;
        }
        exchange->send("part" + std::to_string(index) + ";");
        m_server.flush();
        m_loop.schedule(std::chrono::milliseconds(5), [this, exchange, index] { sendNext(exchange, index + 1); });
    }

    std::string write(const std::string &name, const std::string &text) const
    {
        std::string path = m_folder + "/" + name;
        std::ofstream(path, std::ios::binary) << text;
        return path;
    }

    /// Creates the files of a new key and a self-signed certificate for 127.0.0.1.
    tls_files makeIdentity(const std::string &name, const char *passphrase = nullptr) const
    {
        tls_files files{m_folder + "/" + name + "-certificate.pem", m_folder + "/" + name + "-key.pem"};
        EVP_PKEY *key = EVP_EC_gen("P-256");
        X509 *certificate = X509_new();
        X509_set_version(certificate, X509_VERSION_3);
        ASN1_INTEGER_set(X509_get_serialNumber(certificate), 1);
        X509_gmtime_adj(X509_getm_notBefore(certificate), -validitySeconds);
        X509_gmtime_adj(X509_getm_notAfter(certificate), validitySeconds);
        X509_NAME *subject = X509_get_subject_name(certificate);
        const auto *commonName = reinterpret_cast<const unsigned char *>("127.0.0.1");
        X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC, commonName, -1, -1, 0);
        X509_set_issuer_name(certificate, subject);
        X509_EXTENSION *names = X509V3_EXT_conf_nid(nullptr, nullptr, NID_subject_alt_name, "IP:127.0.0.1");
        X509_add_ext(certificate, names, -1);
        X509_EXTENSION_free(names);
        X509_set_pubkey(certificate, key);
        REQUIRE(X509_sign(certificate, key, EVP_sha256()) > 0);
        std::FILE *file = std::fopen(files.certificate.c_str(), "w");
        PEM_write_X509(file, certificate);
        std::fclose(file);
        file = std::fopen(files.privateKey.c_str(), "w");
        PEM_write_PrivateKey(file,
                             key,
                             passphrase == nullptr ? nullptr : EVP_aes_256_cbc(),
                             nullptr,
                             0,
                             nullptr,
                             const_cast<char *>(passphrase));
        std::fclose(file);
        X509_free(certificate);
        EVP_PKEY_free(key);
        return files;
    }

    /// Returns the detail of the net_error, or an empty text without an error.
    std::string listen(http_server &server, const std::string &address, const tls_files &files)
    {
        return errors::try_handle_all(
            [&]() -> errors::result<std::string> {
                BOOST_LEAF_CHECK(server.listen(address, files));
                return std::string();
            },
            [this](const net_error &error) {
                m_errorCode = error.code;
                return error.detail;
            },
            [] { return std::string("no error object"); });
    }

    /// The system chooses the port, so that concurrent test runs use different ones.
    static std::string freeAddress()
    {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        REQUIRE(::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), size) == 0);
        REQUIRE(::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size) == 0);
        ::close(descriptor);
        return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    }

    void listenWithTls()
    {
        m_address = freeAddress();
        REQUIRE(listen(m_server, m_address, m_files).empty());
    }

    /// Checks that the files are refused, and returns the detail of the error.
    std::string refusalDetail(const tls_files &files)
    {
        http_server server(m_loop, *this, {bodyLimit, 100});
        m_errorCode = net_error_code::address_invalid;
        std::string detail = listen(server, freeAddress(), files);
        CHECK(m_errorCode == net_error_code::tls_file_invalid);
        return detail;
    }

    CURLcode request(const std::string &url, const std::string &authority, const std::string &body = {})
    {
        m_body.clear();
        CURL *handle = curl_easy_init();
        curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
        curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
        curl_easy_setopt(handle, CURLOPT_CAINFO, authority.c_str());
        curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &appendBody);
        curl_easy_setopt(handle, CURLOPT_WRITEDATA, &m_body);
        if (!body.empty()) {
            curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
            curl_easy_setopt(handle, CURLOPT_POSTFIELDS, body.c_str());
        }
        m_multi = curl_multi_init();
        curl_multi_add_handle(m_multi, handle);
        perform();
        m_loop.run();
        curl_multi_remove_handle(m_multi, handle);
        curl_multi_cleanup(m_multi);
        curl_easy_cleanup(handle);
        return m_result;
    }

    void perform()
    {
        int running = 0;
        curl_multi_perform(m_multi, &running);
        int messagesLeft = 0;
        if (const CURLMsg *message = curl_multi_info_read(m_multi, &messagesLeft)) {
            m_result = message->data.result;
            m_loop.stop();
            return;
        }
        m_loop.schedule(std::chrono::milliseconds(1), [this] { perform(); });
    }

    static std::size_t appendBody(const char *data, std::size_t size, std::size_t count, void *target)
    {
        static_cast<std::string *>(target)->append(data, size * count);
        return size * count;
    }

    event_loop m_loop;
    http_server m_server;
    std::string m_folder;
    tls_files m_files;
    std::string m_address;
    net_error_code m_errorCode = net_error_code::address_invalid;
    CURLM *m_multi = nullptr;
    CURLcode m_result = CURLE_OK;
    std::string m_body;
};

} // namespace

// Guards against a body that is lost or cut between TLS records, and against a stream that stalls after a pause.
TEST_CASE_METHOD(https_fixture, "https server, requests, are answered whole", "[net]")
{
    listenWithTls();
    const std::string large(300'000, 'x');
    CHECK(request("https://" + m_address + "/echo", m_files.certificate, large) == CURLE_OK);
    CHECK(m_body == large);
    CHECK(request("https://" + m_address + "/stream", m_files.certificate) == CURLE_OK);
    CHECK(m_body == "part0;part1;part2;");
}

// Guards against a server that answers without TLS although a certificate is set, and against a client that accepts the
// certificate of another authority.
TEST_CASE_METHOD(https_fixture, "https server, plain request or other authority, gets no answer", "[net]")
{
    listenWithTls();
    CHECK(request("http://" + m_address + "/echo", m_files.certificate, "hello") != CURLE_OK);
    CHECK(m_body.empty());
    const tls_files other = makeIdentity("other");
    CHECK(request("https://" + m_address + "/echo", other.certificate, "hello") == CURLE_PEER_FAILED_VERIFICATION);
    CHECK(m_body.empty());
}

// Guards against a start without TLS, or with an error that doesn't name the file, when a certificate or key is wrong,
// and against a start that waits for a passphrase on the terminal.
TEST_CASE_METHOD(https_fixture, "https server, wrong files, are refused with the name of the file", "[net]")
{
    const std::string faulty = write("faulty.pem", "no PEM\n");
    const std::string missing = m_folder + "/missing.pem";
    const tls_files other = makeIdentity("other");
    for (const std::string &wrong : {faulty, missing, write("empty.pem", "")}) {
        CHECK(refusalDetail({wrong, m_files.privateKey}).find("certificate file " + wrong) == 0);
        CHECK(refusalDetail({m_files.certificate, wrong}).find("private key file " + wrong) == 0);
    }
    CHECK(refusalDetail({m_files.certificate, other.privateKey}).find("private key file " + other.privateKey) == 0);
    const tls_files encrypted = makeIdentity("encrypted", "passphrase");
    CHECK(refusalDetail(encrypted).find("private key file " + encrypted.privateKey) == 0);
}

// Guards against a request with a long head that is refused, because its head is counted twice where it can't be told
// how much has been read beyond it.
TEST_CASE_METHOD(https_fixture, "https server, long head, is served", "[net]")
{
    listenWithTls();
    const std::string target = "/echo?q=" + std::string(14'500, 'q');
    CHECK(request("https://" + m_address + target, m_files.certificate, "hello") == CURLE_OK);
    CHECK(m_body == "hello");
}

#include "net/tls_identity.h"

#include <boost/leaf/error.hpp>
#include <openssl/err.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

#include <fstream>
#include <iterator>
#include <memory>

namespace crocuslane {

namespace leaf = boost::leaf;

namespace {

struct openssl_deleter {
    void operator()(BIO *bio) const
    {
        BIO_free(bio);
    }

    void operator()(X509 *certificate) const
    {
        X509_free(certificate);
    }

    void operator()(EVP_PKEY *key) const
    {
        EVP_PKEY_free(key);
    }
};

using bio_pointer = std::unique_ptr<BIO, openssl_deleter>;
using certificate_pointer = std::unique_ptr<X509, openssl_deleter>;
using key_pointer = std::unique_ptr<EVP_PKEY, openssl_deleter>;

leaf::result<std::string> readPemFile(std::string_view role, const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::string text{std::istreambuf_iterator<char>(file), {}};
    if (!file.is_open() || text.empty()) {
        return leaf::new_error(tlsFileError(role, path, "not readable or empty"));
    }
    return text;
}

bio_pointer makeBio(const std::string &text)
{
    return bio_pointer(BIO_new_mem_buf(text.data(), static_cast<int>(text.size())));
}

// Without a callback, libcrypto would block the start and prompt for the passphrase of an encrypted key on the
// terminal.
int refusePassphrase(char * /*buffer*/, int /*size*/, int /*isWrite*/, void * /*data*/)
{
    return -1;
}

} // namespace

net_error tlsFileError(std::string_view role, const std::string &path, std::string_view cause)
{
    return {net_error_code::tls_file_invalid, std::string(role) + " file " + path + ": " + std::string(cause)};
}

// Checks the files before MHD_start_daemon, which doesn't report the faulty one.
leaf::result<tls_identity> readTlsIdentity(const tls_files &files)
{
    tls_identity identity;
    BOOST_LEAF_ASSIGN(identity.certificate, readPemFile("certificate", files.certificate));
    BOOST_LEAF_ASSIGN(identity.privateKey, readPemFile("private key", files.privateKey));
    const certificate_pointer certificate(
        PEM_read_bio_X509(makeBio(identity.certificate).get(), nullptr, &refusePassphrase, nullptr));
    const key_pointer key(
        PEM_read_bio_PrivateKey(makeBio(identity.privateKey).get(), nullptr, &refusePassphrase, nullptr));
    const bool isMatching = certificate && key && X509_check_private_key(certificate.get(), key.get()) == 1;
    ERR_clear_error();
    if (!certificate) {
        return leaf::new_error(tlsFileError("certificate", files.certificate, "no certificate in PEM format"));
    }
    if (!key) {
        return leaf::new_error(
            tlsFileError("private key", files.privateKey, "no unencrypted private key in PEM format"));
    }
    if (!isMatching) {
        return leaf::new_error(
            tlsFileError("private key", files.privateKey, "does not match the certificate " + files.certificate));
    }
    return identity;
}

} // namespace crocuslane

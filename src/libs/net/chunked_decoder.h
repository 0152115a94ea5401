#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace crocuslane {

/// Takes the data out of a body in chunks (RFC 9112, section 7.1), with bounds on everything that is not data: sizes,
/// extensions and the trailer. Used in place of libcurl's own decoding, which reads an extension without end.
class chunked_decoder
{
public:
    /// @p maximumTrailerBytes bounds the trailer.
    explicit chunked_decoder(std::size_t maximumTrailerBytes);

    /// Appends the data in the next bytes of the body to @p data. False when the body is malformed or exceeds a bound;
    /// further bytes are not read then. Bytes after the end of the body are ignored.
    bool decode(std::string_view bytes, std::string &data);
    /// The last chunk and the trailer have been read.
    bool isComplete() const;

private:
    enum class state {
        size,
        extension,
        data,
        data_end,
        trailer,
        complete,
        malformed,
    };

    bool readSize(char character);
    bool readExtension(char character);
    bool readDataEnd(char character);
    bool readTrailer(char character);
    void endSizeLine();
    std::size_t takeData(std::string_view bytes, std::string &data);

    std::size_t m_maximumTrailerBytes;
    state m_state = state::size;
    /// Size of the current chunk, and later what is left of it.
    std::uint64_t m_size = 0;
    unsigned m_digits = 0;
    std::uint64_t m_dataBytes = 0;
    std::uint64_t m_extensionBytes = 0;
    std::size_t m_trailerBytes = 0;
    /// Of the line end after the data of a chunk.
    bool m_hasReturn = false;
    /// Whether the current line of the trailer has no characters but a carriage return.
    bool m_isLineEmpty = true;
};

} // namespace crocuslane

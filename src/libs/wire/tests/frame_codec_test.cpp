#include "wire/frame_codec.h"

#include <catch2/catch.hpp>

using namespace crocuslane;

namespace {

class frame_fixture
{
protected:
    std::optional<std::string> nextFrame()
    {
        return leaf::try_handle_all([this] { return m_decoder.next(); },
                                    [this](const wire_error &error) {
                                        m_fault = error.fault;
                                        return std::optional<std::string>();
                                    },
                                    [] { return std::optional<std::string>("untyped error"); });
    }

    frame_decoder m_decoder;
    std::optional<wire_fault> m_fault;
};

} // namespace

// Guards against frames that are lost or merged when the network splits the stream at arbitrary bytes.
TEST_CASE_METHOD(frame_fixture, "frame decoder, bytes one by one, returns each frame once", "[wire]")
{
    const std::string bytes = encodeFrame("first").value() + encodeFrame(std::string(300, 'x')).value();
    std::vector<std::string> frames;
    for (const char byte : bytes) {
        m_decoder.append(std::string_view(&byte, 1));
        while (const std::optional<std::string> frame = nextFrame()) {
            frames.push_back(*frame);
        }
    }
    CHECK(frames == std::vector<std::string>{"first", std::string(300, 'x')});
    CHECK(m_decoder.pendingBytes() == 0);
}

// Guards against allocating memory for an invalid length, and against decoding further frames from a wrong position.
TEST_CASE_METHOD(frame_fixture, "frame decoder, length over the limit, fails at once and permanently", "[wire]")
{
    m_decoder.append(std::string("\x01\x00\x10\x00", frameHeaderBytes));
    CHECK_FALSE(nextFrame());
    CHECK(m_fault == wire_fault::frame_too_large);
    m_fault.reset();
    m_decoder.append(encodeFrame("next").value());
    CHECK_FALSE(nextFrame());
    CHECK(m_fault == wire_fault::frame_too_large);
}

// Guards against sending frames that every receiver rejects.
TEST_CASE_METHOD(frame_fixture, "frame encoder, payload empty or too large, fails", "[wire]")
{
    CHECK_FALSE(encodeFrame(""));
    CHECK(encodeFrame(std::string(maximumFrameBytes, 'x')));
    CHECK_FALSE(encodeFrame(std::string(maximumFrameBytes + 1, 'x')));
    m_decoder.append(std::string(frameHeaderBytes, '\0'));
    CHECK_FALSE(nextFrame());
    CHECK(m_fault == wire_fault::frame_empty);
}

/** @file Fuzzes the frame decoder with bytes from a peer: it decodes or rejects them and never reads out of bounds. */

#include <wire/wire.h>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace chivelock;
    const std::span bytes(data, size);
    const auto decodedFrame = decodePayload(bytes);
    if (decodedFrame) {
        // A decoded message must survive encoding and decoding.
        const std::string frame = encodeFrame(decodedFrame->from, decodedFrame->message);
        const std::span encodedFrame(reinterpret_cast<const std::uint8_t *>(frame.data()), frame.size());
        require(decodePayload(encodedFrame.subspan(framePrefixBytes)).has_value(),
                "a decoded message can be encoded and decoded again");
    }
    frame_reader reader;
    reader.append(bytes);
    for (auto payload = reader.next(); payload && *payload; payload = reader.next()) {
        (void)decodePayload(**payload);
    }
    return 0;
}

/** @file A publication: whatever it is, it is refused with reasons, or accepted and written back the same. */

#include <catalogue/catalogue.h>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace chivelock;
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const auto document = readCatalogue(text);
    if (document) {
        const auto again = readCatalogue(writeCatalogue(*document));
        require(again.has_value() && again->kinds == document->kinds, "what was accepted reads back the same");
    } else {
        require(!document.error().problems.empty(), "a refusal has a reason");
    }
    (void)readDelta(text);
    return 0;
}

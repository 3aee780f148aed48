/** @file Fuzzes the catalogue reader: input is rejected with reasons, or accepted and read back equal after writing. */

#include <catalogue/catalogue.h>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace chivelock;
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const auto document = readCatalogue(text);
    if (document) {
        const auto again = readCatalogue(writeCatalogue(*document));
        require(again.has_value() && again->kinds == document->kinds,
                "an accepted catalogue reads back equal after writing");
    } else {
        require(!document.error().problems.empty(), "a rejected catalogue has a reason");
    }
    (void)readDelta(text);
    return 0;
}

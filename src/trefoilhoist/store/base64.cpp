#include "trefoilhoist/store/base64.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>

#include <exception>

namespace Trefoilhoist {

namespace {

namespace Iterators = boost::archive::iterators;

constexpr std::size_t quantumBytes = 3;
constexpr std::size_t quantumChars = 4;

} // namespace

std::string base64Encode(std::string_view bytes)
{
    using Encoder = Iterators::base64_from_binary<Iterators::transform_width<const char *, 6, 8>>;
    std::string text(Encoder(bytes.data()), Encoder(bytes.data() + bytes.size()));
    while (text.size() % quantumChars != 0) {
        text += '=';
    }
    return text;
}

std::optional<std::string> base64Decode(std::string_view text)
{
    using Decoder = Iterators::transform_width<Iterators::binary_from_base64<const char *>, 8, 6>;
    if (text.size() % quantumChars != 0) {
        return std::nullopt;
    }
    if (text.empty()) {
        return std::string();
    }
    const std::size_t chars = text.find('=') == std::string_view::npos ? text.size() : text.find('=');
    if (text.size() - chars >= quantumBytes) {
        return std::nullopt;
    }
    try {
        // Padding decodes as zero bits, which are cut off again.
        std::string padded(text);
        padded.replace(chars, std::string::npos, text.size() - chars, 'A');
        std::string bytes(Decoder(padded.data()), Decoder(padded.data() + padded.size()));
        bytes.resize(text.size() / quantumChars * quantumBytes - (text.size() - chars));
        return bytes;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace Trefoilhoist

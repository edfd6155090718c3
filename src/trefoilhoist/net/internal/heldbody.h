#pragma once

#include "trefoilhoist/net/memorybudget.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/system/error_code.hpp>

#include <cstdint>
#include <string>

namespace Trefoilhoist::Detail {

/// About what a header field takes beside the bytes of its name and value.
inline constexpr std::size_t fieldOverheadBytes = 128;

template <typename Fields>
[[nodiscard]] std::size_t bytesOfFields(const Fields &fields)
{
    std::size_t bytes = 0;
    for (const auto &field : fields) {
        bytes += field.name_string().size() + field.value().size() + fieldOverheadBytes;
    }
    return bytes;
}

/// A body for Beast's parser that reserves what arrives in a budget. Fails with not_enough_memory when there is no
/// room. Nothing is reserved or allocated for a length that is only announced.
struct HeldBody {
    struct Value {
        std::string text;
        /// Set before the parser is used.
        MemoryBudget::Reservation *reservation = nullptr;
    };

    class Reader
    {
    public:
        template <bool isRequest, typename Fields>
        Reader(boost::beast::http::header<isRequest, Fields> &, Value &body) : m_body(body)
        {
        }

        void init(const boost::optional<std::uint64_t> &, boost::system::error_code &ec)
        {
            ec = {};
        }

        template <typename Buffers>
        std::size_t put(const Buffers &buffers, boost::system::error_code &ec)
        {
            if (!m_body.reservation->tryGrow(boost::beast::buffer_bytes(buffers))) {
                ec = make_error_code(boost::system::errc::not_enough_memory);
                return 0;
            }
            ec = {};
            std::size_t n = 0;
            for (const auto buf : boost::beast::buffers_range_ref(buffers)) {
                m_body.text.append(static_cast<const char *>(buf.data()), buf.size());
                n += buf.size();
            }
            return n;
        }

        void finish(boost::system::error_code &ec)
        {
            ec = {};
        }

    private:
        Value &m_body;
    };

    // Beast prescribes these names.
    using value_type = Value; // NOLINT(readability-identifier-naming)
    using reader = Reader; // NOLINT(readability-identifier-naming)
};

} // namespace Trefoilhoist::Detail

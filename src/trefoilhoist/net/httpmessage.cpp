#include "trefoilhoist/net/httpmessage.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace Trefoilhoist {

namespace {

bool sameName(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](unsigned char a, unsigned char b) {
        return std::tolower(a) == std::tolower(b);
    });
}

int hexDigit(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    if (c >= 'A' && c <= 'F') {
        return c - 'A' + 10;
    }
    return -1;
}

// Finds `name` in the query part of a target. The result's flag is false when it is absent.
std::pair<bool, std::string> findQuery(std::string_view target, std::string_view name)
{
    const auto mark = target.find('?');
    std::string_view rest = mark == std::string_view::npos ? std::string_view() : target.substr(mark + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const auto pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        if (urlDecode(pair.substr(0, equals)) == name) {
            return {true, equals == std::string_view::npos ? std::string() : urlDecode(pair.substr(equals + 1))};
        }
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    }
    return {false, {}};
}

} // namespace

void HttpHeaders::set(std::string_view name, std::string value)
{
    erase(name);
    m_fields.emplace_back(std::string(name), std::move(value));
}

void HttpHeaders::add(std::string_view name, std::string value)
{
    m_fields.emplace_back(std::string(name), std::move(value));
}

std::string HttpHeaders::get(std::string_view name) const
{
    for (const auto &[key, value] : m_fields) {
        if (sameName(key, name)) {
            return value;
        }
    }
    return {};
}

bool HttpHeaders::has(std::string_view name) const
{
    return std::any_of(
        m_fields.begin(), m_fields.end(), [&](const Field &field) { return sameName(field.first, name); });
}

void HttpHeaders::erase(std::string_view name)
{
    std::erase_if(m_fields, [&](const Field &field) { return sameName(field.first, name); });
}

const std::vector<HttpHeaders::Field> &HttpHeaders::fields() const
{
    return m_fields;
}

std::string HttpRequest::path() const
{
    return target.substr(0, target.find('?'));
}

std::string HttpRequest::query(std::string_view name) const
{
    return findQuery(target, name).second;
}

bool HttpRequest::hasQuery(std::string_view name) const
{
    return findQuery(target, name).first;
}

HttpResponse textResponse(int status, std::string body)
{
    HttpResponse response;
    response.status = status;
    response.headers.set("Content-Type", "text/plain; charset=utf-8");
    response.body = std::move(body);
    return response;
}

HttpResponse jsonResponse(int status, std::string body)
{
    HttpResponse response;
    response.status = status;
    response.headers.set("Content-Type", "application/json");
    response.body = std::move(body);
    return response;
}

std::string urlEncode(std::string_view text)
{
    static constexpr std::string_view digits = "0123456789ABCDEF";
    std::string out;
    for (const unsigned char c : text) {
        if (std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == '~') {
            out += static_cast<char>(c);
        } else {
            out += '%';
            out += digits[c >> 4U];
            out += digits[c & 15U];
        }
    }
    return out;
}

std::string urlDecode(std::string_view text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size() && hexDigit(text[i + 1]) >= 0 && hexDigit(text[i + 2]) >= 0) {
            out += static_cast<char>(hexDigit(text[i + 1]) * 16 + hexDigit(text[i + 2]));
            i += 2;
        } else if (text[i] == '+') {
            out += ' ';
        } else {
            out += text[i];
        }
    }
    return out;
}

} // namespace Trefoilhoist

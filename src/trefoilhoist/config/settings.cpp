#include "trefoilhoist/config/settings.h"

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>

namespace Trefoilhoist {

namespace {

std::string pointerOf(const valijson::ValidationResults::Error &error)
{
    std::string pointer;
    for (const auto &part : error.context) {
        if (part == "<root>") {
            continue;
        }
        // valijson writes each step as [name] or ["name"].
        for (const char c : part) {
            if (c == '[') {
                pointer += '/';
            } else if (c != ']' && c != '"') {
                pointer += c;
            }
        }
    }
    return pointer.empty() ? "/" : pointer;
}

} // namespace

namespace {

// Schemas are few and constant; each is parsed once for the life of the process.
std::shared_ptr<const valijson::Schema> parsedSchema(const std::string &text)
{
    static std::mutex mutex;
    static std::map<std::string, std::shared_ptr<const valijson::Schema>> known;
    std::lock_guard lock(mutex);
    auto &found = known[text];
    if (!found) {
        const auto json = nlohmann::json::parse(text, nullptr, true, true);
        auto schema = std::make_shared<valijson::Schema>();
        valijson::SchemaParser().populateSchema(valijson::adapters::NlohmannJsonAdapter(json), *schema);
        found = schema;
    }
    return found;
}

} // namespace

std::string SettingsError::str() const
{
    return file + ": " + place + ": " + reason;
}

tl::expected<nlohmann::json, SettingsError>
checkSettings(const std::string &text, const std::string &schema, const std::string &file)
{
    nlohmann::json settings;
    try {
        settings = nlohmann::json::parse(text, nullptr, true, true);
    } catch (const nlohmann::json::exception &e) {
        return tl::unexpected(SettingsError{file, "/", e.what()});
    }

    const auto parsed = parsedSchema(schema);
    valijson::ValidationResults results;
    valijson::Validator validator;
    if (!validator.validate(*parsed, valijson::adapters::NlohmannJsonAdapter(settings), &results)) {
        // The last error is the innermost only for nested objects; all are joined so that none is lost.
        SettingsError error{file, "/", "does not match the schema"};
        valijson::ValidationResults::Error found;
        if (results.popError(found)) {
            error.place = pointerOf(found);
            error.reason = found.description;
        }
        return tl::unexpected(error);
    }
    return settings;
}

tl::expected<nlohmann::json, SettingsError> loadSettings(const std::string &file, const std::string &schema)
{
    std::ifstream in(file);
    if (!in) {
        return tl::unexpected(SettingsError{file, "/", "cannot open the file"});
    }
    std::ostringstream buf;
    buf << in.rdbuf();
    return checkSettings(buf.str(), schema, file);
}

} // namespace Trefoilhoist

#include "ctloptions.h"

#include "trefoilhoist/net/tool.h"

#include <tclap/CmdLine.h>

#include <cstdlib>

namespace Trefoilhoist::Ctl {

namespace {

std::string defaultAuthor()
{
    const char *user = std::getenv("USER");
    return user == nullptr ? "operator" : user;
}

std::vector<Endpoint> parseEndpoints(const std::vector<std::string> &texts)
{
    std::vector<Endpoint> endpoints;
    endpoints.reserve(texts.size());
    for (const auto &text : texts) {
        endpoints.push_back(endpointFromText(text));
    }
    return endpoints;
}

} // namespace

Options parseOptions(int argc, char **argv)
{
    TCLAP::CmdLine line("Changes and shows the operators' labels and selectors", ' ', TREFOILHOIST_VERSION);
    TCLAP::MultiArg<std::string> store("s", "store", "Address of the store", false, "host:port", line);
    TCLAP::MultiArg<std::string> process("p", "process", "HTTP address of a process", false, "host:port", line);
    TCLAP::ValueArg<std::string> author(
        "a", "author", "Author stored with a change", false, defaultAuthor(), "name", line);
    TCLAP::ValueArg<std::string> writeId("w", "write-id", "Id of an unsettled change to repeat", false, "", "id", line);
    TCLAP::ValueArg<std::int64_t> seen("", "seen", "Version the change is based on", false, -1, "version", line);
    TCLAP::ValueArg<double> timeout("t", "timeout", "Seconds to wait for an outcome", false, 15, "seconds", line);
    TCLAP::SwitchArg json("j", "json", "Prints JSON", line);
    TCLAP::SwitchArg wait("", "wait", "Waits until the change is in force in all processes", line);
    TCLAP::SwitchArg force("", "force", "Writes a selector that no known worker matches", line);
    TCLAP::UnlabeledMultiArg<std::string> words(
        "command", "get, label, select, diff, history, status, wait, jobs, owners, keys", true, "command", line);
    parseCommandLine(line, argc, argv);

    Options options;
    options.stores = parseEndpoints(store.getValue());
    options.processes = parseEndpoints(process.getValue());
    options.author = author.getValue();
    options.writeId = writeId.getValue();
    if (seen.isSet()) {
        options.seenVersion = seen.getValue();
    }
    options.timeout = Duration(static_cast<std::int64_t>(timeout.getValue() * 1e6));
    options.json = json.getValue();
    options.wait = wait.getValue();
    options.force = force.getValue();
    options.command = words.getValue().front();
    options.arguments.assign(words.getValue().begin() + 1, words.getValue().end());
    return options;
}

tl::expected<ObjectName, std::string> parseObjectName(const std::string &text)
{
    const auto slash = text.find('/');
    const auto kind = objectKindFromName(text.substr(0, slash));
    if (!kind) {
        return tl::unexpected("\"" + text + "\": the kind is not one of service, class, worker, minion, team, caller");
    }
    return ObjectName{*kind, slash == std::string::npos ? std::string() : text.substr(slash + 1)};
}

tl::expected<LabelEdits, std::string> parseLabelEdits(const std::vector<std::string> &words)
{
    LabelEdits edits;
    for (const auto &word : words) {
        const auto equals = word.find('=');
        if (equals == std::string::npos && word.size() > 1 && word.back() == '-') {
            edits[word.substr(0, word.size() - 1)] = std::nullopt;
        } else if (equals == std::string::npos || equals == 0) {
            return tl::unexpected("\"" + word + "\" is neither key=value nor key-");
        } else {
            edits[word.substr(0, equals)] = word.substr(equals + 1);
        }
    }
    if (edits.empty()) {
        return tl::unexpected(std::string("no labels given, expected key=value or key-"));
    }
    return edits;
}

} // namespace Trefoilhoist::Ctl

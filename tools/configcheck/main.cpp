#include "platform/callers.h"
#include "trefoilhoist/jobs/configcheck.h"
#include "trefoilhoist/net/tool.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <optional>
#include <stdexcept>
#include <string>

namespace {

using namespace Trefoilhoist;
using Jobs::FindingSeverity;

const std::string standardInput = "-";
/// A dispatcher reads no longer answer of the store.
constexpr std::size_t maxInputBytes = std::size_t{8} << 20U;

struct Options {
    std::string file;
    /// Empty: no comparison.
    std::string inForce;
};

Options parseOptions(int argc, char **argv)
{
    TCLAP::CmdLine command("Checks a configuration before it is written to the store", ' ', TREFOILHOIST_VERSION);
    TCLAP::ValueArg<std::string> inForce(
        "i", "in-force", "Show differences from this configuration", false, "", "file", command);
    TCLAP::UnlabeledValueArg<std::string> file(
        "file", "Configuration to check; - for standard input", true, "", "file", command);
    parseCommandLine(command, argc, argv);
    if (file.getValue() == standardInput && inForce.getValue() == standardInput) {
        throw std::invalid_argument("only one of the two files can be standard input");
    }
    return {file.getValue(), inForce.getValue()};
}

// Throws std::invalid_argument when the file can't be read or is too large.
std::string readInput(const std::string &file)
{
    std::ifstream opened;
    if (file != standardInput) {
        opened.open(file);
    }
    auto &in = file == standardInput ? std::cin : opened;
    std::string text(maxInputBytes + 1, '\0');
    in.read(text.data(), static_cast<std::streamsize>(text.size()));
    // Only a read that met the end of the input sets eof: a file that can't be opened, or a folder, doesn't.
    if (!in && !in.eof()) {
        throw std::invalid_argument(file + ": cannot read the file");
    }
    text.resize(static_cast<std::size_t>(in.gcount()));
    if (text.size() > maxInputBytes) {
        throw std::invalid_argument(file + ": larger than " + std::to_string(maxInputBytes) + " bytes");
    }
    return text;
}

// Throws std::invalid_argument when any part of the configuration is unreadable.
Jobs::ConfigDocument readInForce(const std::string &file)
{
    auto document = Platform::Configuration().document(readInput(file));
    if (!document) {
        throw std::invalid_argument(file + ": " + document.error());
    }
    if (!document->unreadable.empty()) {
        const auto &first = document->unreadable.front();
        throw std::invalid_argument(file + ": " + first.path + ": " + first.reason);
    }
    return std::move(*document);
}

// Names in the configuration may contain line breaks and control sequences of terminals.
std::string withoutControls(std::string text)
{
    std::replace_if(
        text.begin(), text.end(), [](unsigned char it) { return it < 0x20 || it == 0x7f; }, '?');
    return text;
}

int report(const std::vector<Jobs::ConfigFinding> &findings)
{
    for (const auto &it : findings) {
        std::cout << Jobs::severityName(it.severity) << ' ' << it.path << ": " << withoutControls(it.text) << '\n';
    }
    const bool failed = !findings.empty() && findings.front().severity == FindingSeverity::Error;
    return failed ? exitFailed : exitOk;
}

int check(const Options &options)
{
    std::optional<Jobs::ConfigDocument> inForce;
    if (!options.inForce.empty()) {
        inForce = readInForce(options.inForce);
    }
    const auto document = Platform::Configuration().document(readInput(options.file));
    if (!document) {
        return report({{FindingSeverity::Error, "/", document.error()}});
    }
    return report(Jobs::checkConfiguration(*document, inForce ? &*inForce : nullptr));
}

} // namespace

int main(int argc, char **argv)
{
    return runTool("trefoilhoist-configcheck", [&] { return check(parseOptions(argc, argv)); });
}

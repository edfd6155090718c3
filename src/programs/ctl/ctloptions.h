#pragma once

#include "trefoilhoist/config/configsegment.h"
#include "trefoilhoist/world/world.h"

#include <tl/expected.hpp>

#include <optional>
#include <string>
#include <vector>

namespace Trefoilhoist::Ctl {

/// What the operator asked for.
struct Options {
    std::vector<Endpoint> stores;
    /// HTTP addresses of processes, for status, wait, diff, jobs and owners.
    std::vector<Endpoint> processes;
    std::string author;
    std::string writeId;
    std::optional<std::int64_t> seenVersion;
    Duration timeout = seconds(15);
    bool json = false;
    /// After an accepted change, waits until it is in force in all processes.
    bool wait = false;
    /// Writes a selector that no known worker matches.
    bool force = false;
    std::string command;
    std::vector<std::string> arguments;
};

/// An object as named on the command line, "service/counter"; the name is empty for "service" alone.
struct ObjectName {
    ObjectKind kind = ObjectKind::Service;
    std::string name;
};

/// Reads the command line; throws TCLAP's exceptions and std::invalid_argument.
[[nodiscard]] Options parseOptions(int argc, char **argv);

[[nodiscard]] tl::expected<ObjectName, std::string> parseObjectName(const std::string &text);

/// Reads "key=value" (set) and "key-" (remove).
[[nodiscard]] tl::expected<LabelEdits, std::string> parseLabelEdits(const std::vector<std::string> &words);

} // namespace Trefoilhoist::Ctl

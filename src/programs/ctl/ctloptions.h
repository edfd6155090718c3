#pragma once

#include "trefoilhoist/config/configsegment.h"
#include "trefoilhoist/world/world.h"

#include <tl/expected.hpp>

#include <optional>
#include <string>
#include <vector>

namespace Trefoilhoist::Ctl {

/// The parsed command line.
struct Options {
    std::vector<Endpoint> stores;
    /// HTTP addresses of processes, for status, wait, diff, jobs and owners.
    std::vector<Endpoint> processes;
    /// Stored with a change.
    std::string author;
    /// Id of an earlier change to repeat; empty for a new change.
    std::string writeId;
    /// The version that the change is based on.
    std::optional<std::int64_t> seenVersion;
    /// Limits the time for a write, and for a wait.
    Duration timeout = seconds(15);
    bool json = false;
    /// After an accepted change, waits until it is in force in all processes.
    bool wait = false;
    /// Writes a selector even if no known worker matches it.
    bool force = false;
    std::string command;
    std::vector<std::string> arguments;
};

/// An object as named on the command line, "service/counter"; the name is empty for "service" alone.
struct ObjectName {
    ObjectKind kind = ObjectKind::Service;
    std::string name;
};

/// Parses the command line; throws TCLAP's exceptions and std::invalid_argument.
[[nodiscard]] Options parseOptions(int argc, char **argv);

[[nodiscard]] tl::expected<ObjectName, std::string> parseObjectName(const std::string &text);

/// Parses label edits: "key=value" sets a label, "key-" removes it.
[[nodiscard]] tl::expected<LabelEdits, std::string> parseLabelEdits(const std::vector<std::string> &words);

} // namespace Trefoilhoist::Ctl

#include "entry.h"

#include <stdexcept>

using namespace Trefoilhoist;

int main(int argc, char **argv)
{
    const ProgramInfo info{
        "trefoilhoist-entry", "Takes callers' requests and answers them by minions.", entrySettingsSchema()};
    return runProgram(argc, argv, info, [](Runtime &runtime) {
        try {
            auto *entry = new Entry(runtime, entrySettingsFrom(runtime.settings()));
            entry->start();
        } catch (const std::invalid_argument &e) {
            runtime.failStart("settings", e.what());
        }
    });
}

#include "entry.h"

using namespace Trefoilhoist;

int main(int argc, char **argv)
{
    const ProgramInfo info{
        "trefoilhoist-entry", "Routes callers' requests to minions and returns their answers.", entrySettingsSchema()};
    return runProgram(argc, argv, info, [](Runtime &runtime) {
        auto *entry = new Entry(runtime, entrySettingsFrom(runtime.settings()));
        entry->start();
    });
}

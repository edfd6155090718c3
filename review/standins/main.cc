// The cases of the review that are scripts. Usage: standins CASE RECORD, started in the root of the repository.
// Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
#include "cases.h"

#include <cstdlib>
#include <iostream>

int main(int argc, char **argv)
{
    using namespace Review;
    std::signal(SIGPIPE, SIG_IGN);
    if (argc != 3) {
        std::cerr << "usage: standins CASE RECORD\n";
        return couldNotRun;
    }
    const auto *trouble = std::getenv("TROUBLE");
    const bool troubled = trouble == nullptr || std::string(trouble) != "0";
    const std::string name = argv[1];
    Record record(argv[2]);
    const auto found = cases().find(name);
    if (found == cases().end()) {
        std::cerr << "no such case: " << name << '\n';
        return couldNotRun;
    }
    int result = couldNotRun;
    try {
        result = found->second(record, troubled);
    } catch (const std::exception &e) {
        record.add("case", std::string("could not run: ") + e.what());
    }
    record.add("case", result == broken ? "the rule was broken" : result == held ? "the rule held" : "could not run");
    std::cout << name << (troubled ? "" : " without its disruption") << ": exit " << result << std::endl;
    return result;
}

#include "harness/batchsite.h"

#include <gtest/gtest.h>

using namespace Trefoilhoist::Testing;

namespace {

nlohmann::json parseOutput(const Finished &finished)
{
    EXPECT_EQ(finished.code, 0) << finished.output << finished.errors;
    return nlohmann::json::parse(finished.output, nullptr, false);
}

} // namespace

TEST(CtlBatch, runningCell_jobsAndOwnersListItsTasksAndLease)
{
    BatchSite site(2, 2);
    ASSERT_TRUE(site.waitForWorkers(2));
    site.submit("grading", 3, 8000);
    ASSERT_TRUE(eventually([&] { return parseOutput(site.ctl({"--json", "jobs"})).size() == 3; }));
    const auto tasks = parseOutput(site.ctl({"--json", "jobs"}));
    for (const auto &task : tasks) {
        EXPECT_EQ(task.at("job"), "grading");
    }
    const auto owners = parseOutput(site.ctl({"--json", "owners", "c1", "c9"}));
    ASSERT_EQ(owners.size(), 2);
    EXPECT_EQ(owners.at(0).at("state"), "owned");
    EXPECT_GT(owners.at(0).at("epoch"), 0);
    EXPECT_EQ(owners.at(1).at("state"), "never owned");
    EXPECT_EQ(site.ctl({"owners"}).code, 2);
}

TEST(CtlBatch, whereSelectorWithoutMatchingWorker_isRefusedUnlessForced)
{
    BatchSite site(1, 2);
    ASSERT_TRUE(site.waitForWorkers(2));
    const auto refused = site.ctl({"select", "class/grade", "where", "rack=no-such-rack"});
    EXPECT_EQ(refused.code, 2);
    EXPECT_NE((refused.output + refused.errors).find("--force"), std::string::npos) << refused.output << refused.errors;
    EXPECT_EQ(site.ctl({"--force", "select", "class/grade", "where", "rack=no-such-rack"}).code, 0);
}

#include "trefoilhoist/placement/jobstore.h"

#include <gtest/gtest.h>

namespace Trefoilhoist::Testing {

class JobRequest : public testing::Test
{
};

TEST_F(JobRequest, invalidBody_isRefusedWithReasonAndPlace)
{
    const std::pair<std::string, std::string> cases[]{
        {"{", "parse error"},
        {R"({"tasks": [{"id": "t"}]})", "id"},
        {R"({"id": "j", "tasks": []})", "/tasks"},
        {R"({"id": "j", "tasks": [{"id": "t"}, {"id": "t"}]})", "named twice"},
        {R"({"id": "j", "tasks": [{"id": "t", "milliCpu": -1}]})", "negative"},
        {R"({"id": "j", "where": "a in (", "tasks": [{"id": "t"}]})", "/where, column"},
        {R"({"id": "j", "beside": "a=1, a=2", "tasks": [{"id": "t"}]})", "/beside can never match"},
    };
    for (const auto &[body, reason] : cases) {
        const auto job = jobFromRequest(body);
        ASSERT_FALSE(job) << body;
        EXPECT_NE(job.error().find(reason), std::string::npos) << body << ": " << job.error();
    }
}

TEST_F(JobRequest, storedAndReadBack_isTheSameJob)
{
    const auto job = jobFromRequest(R"({"id": "j", "team": "a", "class": "c", "urgent": true, "labels": {"k": "v"},
        "where": "zone=z1", "tasks": [{"id": "t", "milliCpu": 100, "memoryMb": 5, "runTimeMs": 70}]})");
    ASSERT_TRUE(job) << job.error();
    EXPECT_EQ(job->tasks.front().id, TaskId("j/t"));
    const auto segment = jobSegmentFromJson(jobSegmentToJson({{job->id, {*job, "n", true}}}, "w1"));
    ASSERT_TRUE(segment) << segment.error();
    const auto &stored = segment->at(job->id);
    EXPECT_TRUE(isSameJob(stored.job, *job));
    EXPECT_TRUE(stored.cancelled);
    EXPECT_EQ(stored.nonce, "n");
}

} // namespace Trefoilhoist::Testing

#include "trefoilhoist/config/configsegment.h"
#include "trefoilhoist/config/configtable.h"
#include "trefoilhoist/config/routes.h"
#include "trefoilhoist/config/selector.h"
#include "trefoilhoist/store/base64.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace Trefoilhoist;

namespace {

// A segment after `changes` edits of one object.
ConfigSegment segmentAt(int changes)
{
    ConfigSegment segment;
    for (int i = 1; i <= changes; ++i) {
        ConfigRecord record;
        record.writeId = "w" + std::to_string(i);
        record.edit.name = "counter";
        record.edit.labels["n"] = std::to_string(i);
        segment.apply(record);
    }
    return segment;
}

const int counterSegment = configSegmentOf(ObjectKind::Service, "counter");

struct BadSelector {
    const char *text;
    std::size_t column;
    const char *reason;
};

class SelectorErrors : public testing::TestWithParam<BadSelector>
{
};

struct SelectorMatch {
    const char *text;
    Labels labels;
    bool matches;
};

class SelectorMatches : public testing::TestWithParam<SelectorMatch>
{
};

} // namespace

TEST_P(SelectorErrors, badText_isRefusedWithColumnAndReason)
{
    const auto result = Selector::parse(GetParam().text);
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().column, GetParam().column);
    EXPECT_NE(result.error().reason.find(GetParam().reason), std::string::npos) << result.error().reason;
}

INSTANTIATE_TEST_SUITE_P(Table,
                         SelectorErrors,
                         testing::Values(BadSelector{"=a", 1, "label key"},
                                         BadSelector{"a=", 3, "label value"},
                                         BadSelector{"a = b c", 7, "\",\""},
                                         BadSelector{"a,", 3, "label key"},
                                         BadSelector{"a in b", 6, "\"(\""},
                                         BadSelector{"a in (b", 8, "\")\""},
                                         BadSelector{"a in ()", 7, "label value"},
                                         BadSelector{"a within (b)", 3, "\"notin\""},
                                         BadSelector{"a ! b", 4, "\"=\""},
                                         BadSelector{"a=b; c", 4, "\",\""}));

TEST_P(SelectorMatches, labels_areJudged)
{
    const auto selector = Selector::parse(GetParam().text);
    ASSERT_TRUE(selector) << selector.error().reason;
    EXPECT_EQ(selector->matches(GetParam().labels), GetParam().matches);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         SelectorMatches,
                         testing::Values(SelectorMatch{"", {}, true},
                                         SelectorMatch{"rack=r1, zone in (a, b), !old, gpu",
                                                       {{"rack", "r1"}, {"zone", "b"}, {"gpu", "1"}},
                                                       true},
                                         SelectorMatch{"rack=r1, !old", {{"rack", "r1"}, {"old", ""}}, false},
                                         SelectorMatch{"zone notin (a)", {}, true},
                                         SelectorMatch{"zone notin (a)", {{"zone", "a"}}, false},
                                         SelectorMatch{"zone != a", {{"zone", "b"}}, true},
                                         SelectorMatch{"zone == a", {{"zone", "a"}}, true},
                                         SelectorMatch{"gpu", {}, false}));

TEST(Selector_contradiction, isFoundExactlyWhenNoLabelsMatch)
{
    // Over two keys with two values each, every possible set of labels can be tried.
    EXPECT_TRUE(rc::check("contradiction() agrees with trying everything", [] {
        const std::vector<std::string> parts{"a", "!a", "a=1", "a!=1", "a in (1,2)", "a notin (2)", "b=2", "!b", "b"};
        std::string text;
        for (int i = *rc::gen::inRange(1, 5); i > 0; --i) {
            text += (text.empty() ? "" : ", ") + *rc::gen::elementOf(parts);
        }
        const auto selector = Selector::parse(text);
        RC_ASSERT(selector.has_value());
        bool possible = false;
        for (const std::string a : {"", "1", "2", "3"}) {
            for (const std::string b : {"", "1", "2", "3"}) {
                Labels labels;
                if (!a.empty()) {
                    labels["a"] = a;
                }
                if (!b.empty()) {
                    labels["b"] = b;
                }
                possible = possible || selector->matches(labels);
            }
        }
        RC_ASSERT(selector->contradiction().empty() == possible);
    }));
}

TEST(Selector_anyText, isReadOrRefusedWithinTheText)
{
    EXPECT_TRUE(rc::check("parse() ends and points into the text", [] {
        const auto text
            = *rc::gen::container<std::string>(rc::gen::elementOf(std::string("ab1 ,=!()innotin\t\"\\\0\xff", 21)));
        const auto result = Selector::parse(text);
        RC_ASSERT(result.has_value() || (result.error().column >= 1 && result.error().column <= text.size() + 1));
    }));
}

TEST(Base64_anyBytes, readBackAsThemselves)
{
    EXPECT_TRUE(rc::check("decode(encode(x)) == x",
                          [](const std::string &bytes) { RC_ASSERT(base64Decode(base64Encode(bytes)) == bytes); }));
    EXPECT_FALSE(base64Decode("abc"));
    EXPECT_FALSE(base64Decode("a==="));
    EXPECT_FALSE(base64Decode("a*=="));
}

TEST(ConfigTable_olderOrBrokenSegment, isNotApplied)
{
    ConfigTable table;
    EXPECT_TRUE(table.apply(counterSegment, 5, segmentAt(5).text()));
    EXPECT_FALSE(table.apply(counterSegment, 4, segmentAt(4).text()));
    EXPECT_FALSE(table.apply(counterSegment, 9, "{"));
    EXPECT_FALSE(table.apply(counterSegment, 9, segmentAt(6).text()));
    EXPECT_FALSE(table.apply(-1, 9, segmentAt(9).text()));
    EXPECT_EQ(table.label(ObjectKind::Service, "counter", "n", "none"), "5");
    EXPECT_EQ(table.label(ObjectKind::Service, "other", "n", "none"), "none");
}

TEST(ConfigTable_withoutTheVersionCheck, endsTheProcessAtTheInvariant)
{
    ConfigTable table(ConfigTableGuards{false});
    ASSERT_TRUE(table.apply(counterSegment, 5, segmentAt(5).text()));
    EXPECT_DEATH((void)table.apply(counterSegment, 4, segmentAt(4).text()), "P9");
}

TEST(ConfigSegment_manyChanges, keepTheLastRecordsAndReadBack)
{
    const auto segment = segmentAt(100);
    const auto read = ConfigSegment::parse(segment.text());
    ASSERT_TRUE(read);
    EXPECT_EQ(read->text(), segment.text());
    EXPECT_EQ(read->version, 100);
    EXPECT_EQ(read->history.size(), configHistoryLength);
    EXPECT_EQ(read->history.front().version, 100 - static_cast<std::int64_t>(configHistoryLength) + 1);
}

TEST(Routes_texts, areReadOrRefusedWithTheirColumn)
{
    struct Case {
        const char *text;
        std::size_t routes;
        std::size_t column;
    };
    for (const Case &it : {Case{"PUT:/lots", 1, 0},
                           Case{"PUT:/lots,POST:/quotes/", 2, 0},
                           Case{"", 0, 1},
                           Case{"put:/lots", 0, 1},
                           Case{"PUT:/lots,POST", 0, 11},
                           Case{"PUT:lots", 0, 5},
                           Case{"PUT:/a?b", 0, 5}}) {
        const auto routes = parseRoutes(it.text);
        EXPECT_EQ(routes ? routes->size() : 0, it.routes) << it.text;
        EXPECT_EQ(routes ? 0 : routes.error().column, it.column) << it.text;
    }
}

TEST(Routes_paths, matchAtWholeSegments)
{
    const auto routes = parseRoutes("PUT:/lots,POST:/quotes/");
    ASSERT_TRUE(routes);
    EXPECT_TRUE(routes->at(0).matches("PUT", "/lots"));
    EXPECT_TRUE(routes->at(0).matches("PUT", "/lots/7"));
    EXPECT_FALSE(routes->at(0).matches("PUT", "/lotsOfThem"));
    EXPECT_FALSE(routes->at(0).matches("POST", "/lots"));
    EXPECT_TRUE(routes->at(1).matches("POST", "/quotes/1"));
    EXPECT_FALSE(routes->at(1).matches("POST", "/quotes"));
}

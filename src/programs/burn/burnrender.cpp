#include "burnrender.h"

#include <cmath>
#include <iomanip>
#include <sstream>

namespace Trefoilhoist {

namespace {

constexpr std::array<const char *, burnWindowSeconds.size()> windowNames{"5m", "1h", "6h", "24h"};
constexpr std::array<const char *, burnWindowSeconds.size()> windowColours{"#4477aa", "#66ccee", "#ccbb44", "#aa3377"};
constexpr std::size_t maxSources = 5;

std::string percent(double share)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(1) << share * 100 << '%';
    return out.str();
}

std::string hoursText(const BurnRow &row)
{
    if (row.budgetLeft <= 0) {
        return "spent";
    }
    if (!row.hoursLeft) {
        return "-";
    }
    std::ostringstream out;
    out << std::fixed << std::setprecision(1) << *row.hoursLeft << " h";
    return out.str();
}

std::string escapeXml(const std::string &text)
{
    std::string out;
    for (const char c : text) {
        switch (c) {
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '&':
            out += "&amp;";
            break;
        default:
            out += c;
        }
    }
    return out;
}

// Geometry of the chart in pixels, and the ends of its scale of burn rate.
constexpr int labelWidth = 260;
constexpr int chartWidth = 520;
constexpr int barHeight = 9;
constexpr int rowGap = 14;
constexpr int topMargin = 60;
constexpr double minRate = 0.1;
constexpr double maxRate = 100;

double barLength(double rate)
{
    if (rate <= minRate) {
        return rate > 0 ? 2 : 0;
    }
    return chartWidth * std::log(std::min(rate, maxRate) / minRate) / std::log(maxRate / minRate);
}

void drawThreshold(std::ostream &out, double rate, const std::string &name, int height)
{
    const double x = labelWidth + barLength(rate);
    out << "<line x1=\"" << x << "\" y1=\"" << topMargin - 8 << "\" x2=\"" << x << "\" y2=\"" << height - 20
        << R"(" stroke="#888" stroke-dasharray="4 3"/>)"
        << "<text x=\"" << x << "\" y=\"" << topMargin - 12 << "\" text-anchor=\"middle\" font-size=\"11\">" << name
        << "</text>\n";
}

void drawRow(std::ostream &out, const BurnRow &row, int y)
{
    const char *colour = row.level == BurnLevel::Fast ? "#cc3311" : row.level == BurnLevel::Slow ? "#ee7733" : "#222";
    out << "<text x=\"8\" y=\"" << y + 2 * barHeight << "\" font-size=\"12\" fill=\"" << colour << "\">"
        << escapeXml(row.service.str() + " / " + row.caller.str() + " / " + std::string(burnKindName(row.kind)))
        << "</text>\n";
    for (std::size_t i = 0; i < row.rates.size(); ++i) {
        out << "<rect x=\"" << labelWidth << "\" y=\"" << y + static_cast<int>(i) * barHeight << "\" width=\""
            << barLength(row.rates[i]) << "\" height=\"" << barHeight - 2 << "\" fill=\"" << windowColours[i]
            << "\"/>\n";
    }
}

} // namespace

std::string burnText(const BurnReport &report)
{
    std::ostringstream out;
    out << std::left << std::setw(20) << "service" << std::setw(20) << "caller" << std::setw(9) << "promise"
        << std::right << std::setw(9) << "requests" << std::setw(7) << "bad";
    for (const char *name : windowNames) {
        out << std::setw(9) << (std::string("x ") + name);
    }
    out << std::setw(9) << "left" << std::setw(9) << "runs out" << std::setw(7) << "burn" << '\n';
    for (const auto &row : report.rows()) {
        const auto &day = row.counts.back();
        out << std::left << std::setw(20) << row.service.str() << std::setw(20) << row.caller.str() << std::setw(9)
            << burnKindName(row.kind) << std::right << std::setw(9) << day.total << std::setw(7)
            << (row.kind == BurnKind::Answers ? day.failed : day.slow) << std::fixed << std::setprecision(2);
        for (const double rate : row.rates) {
            out << std::setw(9) << rate;
        }
        out << std::setw(9) << percent(row.budgetLeft) << std::setw(9) << hoursText(row) << std::setw(7)
            << burnLevelName(row.level) << '\n';
    }
    const auto sources = report.sources();
    for (std::size_t i = 0; i < std::min(sources.size(), maxSources); ++i) {
        const auto &source = sources[i];
        out << "burned by " << source.minion << " (" << source.service << "): " << source.bad << " of its "
            << source.total << " requests in the last hour, " << percent(source.share)
            << " of the service's bad ones\n";
    }
    out << "worst: " << burnLevelName(report.worstLevel()) << '\n';
    return out.str();
}

std::string burnJson(const BurnReport &report)
{
    auto rows = nlohmann::json::array();
    for (const auto &row : report.rows()) {
        nlohmann::json rates;
        for (std::size_t i = 0; i < row.rates.size(); ++i) {
            rates[windowNames[i]] = row.rates[i];
        }
        rows.push_back({{"service", row.service.str()},
                        {"caller", row.caller.str()},
                        {"promise", burnKindName(row.kind)},
                        {"objective", row.objective},
                        {"burnRates", rates},
                        {"budgetLeft", row.budgetLeft},
                        {"hoursLeft", row.hoursLeft ? nlohmann::json(*row.hoursLeft) : nlohmann::json()},
                        {"level", burnLevelName(row.level)}});
    }
    auto sources = nlohmann::json::array();
    for (const auto &source : report.sources()) {
        sources.push_back({{"service", source.service.str()},
                           {"minion", source.minion.str()},
                           {"bad", source.bad},
                           {"total", source.total},
                           {"share", source.share}});
    }
    return nlohmann::json{{"rows", rows}, {"sources", sources}, {"worst", burnLevelName(report.worstLevel())}}.dump(2);
}

std::string burnSvg(const BurnReport &report)
{
    const auto rows = report.rows();
    const int rowHeight = barHeight * static_cast<int>(burnWindowSeconds.size()) + rowGap;
    const int height = topMargin + rowHeight * static_cast<int>(rows.size()) + 30;
    std::ostringstream out;
    out << R"(<svg xmlns="http://www.w3.org/2000/svg" font-family="sans-serif" width=")" << labelWidth + chartWidth + 40
        << "\" height=\"" << height << "\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
        << "<text x=\"8\" y=\"20\" font-size=\"15\">Service-level burn rate (logarithmic; 1 is allowed)</text>\n";
    for (std::size_t i = 0; i < windowNames.size(); ++i) {
        const auto x = labelWidth + chartWidth - 200 + static_cast<int>(i) * 52;
        out << "<rect x=\"" << x << "\" y=\"12\" width=\"10\" height=\"10\" fill=\"" << windowColours[i]
            << "\"/><text x=\"" << x + 14 << "\" y=\"21\" font-size=\"11\">" << windowNames[i] << "</text>\n";
    }
    drawThreshold(out, 1, "allowed", height);
    drawThreshold(out, 6, "slow", height);
    drawThreshold(out, 14.4, "fast", height);
    int y = topMargin;
    for (const auto &row : rows) {
        drawRow(out, row, y);
        y += rowHeight;
    }
    out << "</svg>\n";
    return out.str();
}

} // namespace Trefoilhoist

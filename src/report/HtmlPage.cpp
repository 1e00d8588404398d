#include "report/HtmlPage.h"

#include "observability/LatencyHistogram.h"

#include <algorithm>
#include <boost/algorithm/string/replace.hpp>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace magnoliadrum {

namespace {

constexpr double kPlotWidth = 640;
constexpr double kPlotHeight = 160;
constexpr double kPercent = 100;

const char* const kStyle =
  "body{font:15px sans-serif;margin:2em auto;max-width:52em;color:#222}"
  "table{border-collapse:collapse}td,th{padding:.3em .8em;text-align:right;border-bottom:1px solid "
  "#ddd}"
  "svg{background:#f7f7f7;display:block;margin:.5em 0 1em}.bad{color:#b00020}";

std::string
fixed(double aValue, int aDigits)
{
  std::ostringstream out;
  out << std::fixed << std::setprecision(aDigits) << aValue;
  return out.str();
}

std::string
svgOpen(const std::string& aLabel)
{
  return "<svg role=\"img\" aria-label=\"" + aLabel + "\" viewBox=\"0 0 " + fixed(kPlotWidth, 0) +
         " " + fixed(kPlotHeight, 0) + "\" width=\"" + fixed(kPlotWidth, 0) + "\">";
}

/** Plots the burn rate per minute, with a line at 1 where the budget is used up exactly. */
std::string
burnPlot(const std::vector<BurnPoint>& aPoints)
{
  double highest = 2;
  for (const BurnPoint& point : aPoints) {
    highest = std::max(highest, point.mBurnRate);
  }
  const std::int64_t first = aPoints.empty() ? 0 : aPoints.front().mMinute;
  const std::int64_t last = aPoints.empty() ? 1 : aPoints.back().mMinute;
  const double minutes = static_cast<double>(std::max<std::int64_t>(1, last - first + 1));
  std::string svg = svgOpen("burn rate per minute");
  for (const BurnPoint& point : aPoints) {
    const double x = static_cast<double>(point.mMinute - first) / minutes * kPlotWidth;
    const double height = point.mBurnRate / highest * kPlotHeight;
    svg += "<rect x=\"" + fixed(x, 1) + "\" y=\"" + fixed(kPlotHeight - height, 1) + "\" width=\"" +
           fixed(std::max(1.0, kPlotWidth / minutes - 1), 1) + "\" height=\"" + fixed(height, 1) +
           "\" fill=\"#1565c0\"/>";
  }
  const double line = kPlotHeight - kPlotHeight / highest;
  svg += "<line x1=\"0\" x2=\"" + fixed(kPlotWidth, 0) + "\" y1=\"" + fixed(line, 1) + "\" y2=\"" +
         fixed(line, 1) + "\" stroke=\"#b00020\" stroke-dasharray=\"4\"/>";
  return svg + "</svg>";
}

/** Plots the latency histogram over logarithmic buckets, with a line at the objective. */
std::string
latencyPlot(const EntryBurn& aEntry)
{
  const std::vector<std::int64_t>& counts = aEntry.mLatencyCounts;
  std::int64_t highest = 1;
  for (const std::int64_t count : counts) {
    highest = std::max(highest, count);
  }
  const double width = kPlotWidth / static_cast<double>(counts.size());
  std::string svg = svgOpen("latency distribution, logarithmic from 0.05 ms to 10 minutes");
  for (std::size_t index = 0; index < counts.size(); index++) {
    if (counts[index] == 0) {
      continue;
    }
    const double height =
      static_cast<double>(counts[index]) / static_cast<double>(highest) * kPlotHeight;
    svg += "<rect x=\"" + fixed(static_cast<double>(index) * width, 1) + "\" y=\"" +
           fixed(kPlotHeight - height, 1) + "\" width=\"" + fixed(width - 0.5, 1) + "\" height=\"" +
           fixed(height, 1) + "\" fill=\"#2e7d32\"/>";
  }
  const double position =
    std::log(static_cast<double>(aEntry.mLatencyObjectiveMs) / kLatencyLowestMs) /
    std::log(kLatencyHighestMs / kLatencyLowestMs) * kPlotWidth;
  svg += "<line x1=\"" + fixed(position, 1) + "\" x2=\"" + fixed(position, 1) +
         "\" y1=\"0\" y2=\"" + fixed(kPlotHeight, 0) +
         "\" stroke=\"#b00020\" stroke-dasharray=\"4\"/>";
  return svg + "</svg>";
}

std::string
cell(const std::string& aText)
{
  return "<td>" + aText + "</td>";
}

} // namespace

std::string
escapeHtml(const std::string& aText)
{
  std::string text = aText;
  boost::algorithm::replace_all(text, "&", "&amp;");
  boost::algorithm::replace_all(text, "<", "&lt;");
  boost::algorithm::replace_all(text, ">", "&gt;");
  boost::algorithm::replace_all(text, "\"", "&quot;");
  return text;
}

HtmlPage::HtmlPage(const std::string& aTitle)
{
  mBody = "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>" +
          escapeHtml(aTitle) + "</title><style>" + kStyle + "</style></head><body><h1>" +
          escapeHtml(aTitle) + "</h1>";
}

void
HtmlPage::addEntry(const EntryBurn& aEntry)
{
  const std::string budgetClass = aEntry.mBudgetUsed > 1 ? " class=\"bad\"" : "";
  mBody += "<h2>" + escapeHtml(aEntry.mEntryName) +
           "</h2><p>Objective: " + fixed(aEntry.mShareObjective * kPercent, 2) +
           "% of requests within " + std::to_string(aEntry.mLatencyObjectiveMs) + " ms.</p>";
  mBody +=
    "<table><tr><th>requests</th><th>good</th><th>refused</th><th>unknown</th><th>budget "
    "used</th><th>burn 5 min</th><th>burn 60 min</th><th>p50 ms</th><th>p99 ms</th><th>p99.9 "
    "ms</th></tr><tr>";
  mBody += cell(std::to_string(aEntry.mWhole.mTotal)) + cell(std::to_string(aEntry.mWhole.mGood)) +
           cell(std::to_string(aEntry.mRefused)) + cell(std::to_string(aEntry.mUnknown));
  mBody += "<td" + budgetClass + ">" + fixed(aEntry.mBudgetUsed * kPercent, 1) + "%</td>";
  mBody += cell(fixed(aEntry.mShortBurnRate, 2)) + cell(fixed(aEntry.mLongBurnRate, 2)) +
           cell(fixed(aEntry.mP50Ms, 2)) + cell(fixed(aEntry.mP99Ms, 2)) +
           cell(fixed(aEntry.mP999Ms, 2));
  mBody += "</tr></table><p>Burn rate per minute</p>" + burnPlot(aEntry.mPoints) +
           "<p>Latency distribution</p>" + latencyPlot(aEntry);
}

void
HtmlPage::addList(const std::string& aHeading, const std::vector<std::string>& aItems)
{
  mBody += "<h2>" + escapeHtml(aHeading) + "</h2>";
  if (aItems.empty()) {
    mBody += "<p>None.</p>";
    return;
  }
  mBody += "<ul>";
  for (const std::string& item : aItems) {
    mBody += "<li class=\"bad\">" + escapeHtml(item) + "</li>";
  }
  mBody += "</ul>";
}

std::string
HtmlPage::text() const
{
  return mBody + "</body></html>\n";
}

} // namespace magnoliadrum

#pragma once

#include "report/BurnReport.h"

#include <string>
#include <vector>

namespace magnoliadrum {

/** Writes the HTML form of a burn report, with plots as inline SVG. */
class HtmlPage
{
public:
  explicit HtmlPage(const std::string& aTitle);

  void addEntry(const EntryBurn& aEntry);
  void addList(const std::string& aHeading, const std::vector<std::string>& aItems);

  /** The whole page. */
  std::string text() const;

private:
  std::string mBody;
};

/** Replaces the characters that have a meaning in HTML. */
std::string
escapeHtml(const std::string& aText);

} // namespace magnoliadrum

// docs/configuration.md must list every setting with the type, default and
// meaning in the code.

#include <gtest/gtest.h>

#include <string>

#include "settings/instance_settings.h"
#include "settings/node_settings.h"
#include "settings/schema.h"

namespace hickorywood::settings {
namespace {

std::string Row(const setting_info& info) {
  const std::string fallback = info.default_text == nullptr ? "required"
                               : std::string(info.default_text).empty()
                                   ? "empty"
                                   : "`" + std::string(info.default_text) + "`";
  return "| `" + std::string(info.path) + "` | " + TypeName(info.type) + " | " +
         fallback + " |";
}

TEST(DocumentationTest, EverySettingIsDocumented) {
  const auto page =
      ReadTextFile(std::string(SOURCE_FOLDER) + "/docs/configuration.md");
  ASSERT_TRUE(page);
  for (const auto* schema :
       {&InstanceSchema(), &NodeSchema(), &FleetSchema()}) {
    for (const setting_info& info : *schema) {
      EXPECT_NE(page->find(Row(info)), std::string::npos) << Row(info);
      EXPECT_NE(page->find(info.meaning), std::string::npos) << info.meaning;
    }
  }
}

}  // namespace
}  // namespace hickorywood::settings

// Shared places of a plain service in a deployment of real processes.

#include <gtest/gtest.h>

#include <string>

#include "support/deployment.h"

namespace hickorywood::testing {
namespace {

using nlohmann::json;

class SharedPlacesTest : public ::testing::Test {
 protected:
  // Returns once a holder leases places.
  bool Start() {
    fleet_.customers = json::array({{{"name", "first"}, {"api_keys", {"k1"}}}});
    fleet_.caller_key = "k1";
    fleet_.extra_settings = "admission: {shared_places: true}\n";
    return fleet_.Start() && WaitUntil([this] {
             return fleet_.HasLogged(fleet_.ControlLeader(), "HK5014");
           });
  }

  // The number of answers with status 200 to requests at both entries.
  int Serve(int requests) {
    int served = 0;
    for (int i = 0; i < requests; ++i) {
      const std::string entry = i % 2 == 0 ? "e1" : "e2";
      const std::string id = "request-" + std::to_string(++sent_);
      served += fleet_.Plain(entry, id).status == 200 ? 1 : 0;
    }
    return served;
  }

  deployment fleet_;
  int sent_ = 0;
};

// Guards against places that are leased and never returned: there are fewer of
// them than requests.
TEST_F(SharedPlacesTest, PlacesAreReturnedAndLeasedAgain) {
  ASSERT_TRUE(Start());
  EXPECT_EQ(Serve(200), 200);
}

// Guards against requests that are refused because the holder of the places is
// lost, and while its successor can't know which places are in use.
TEST_F(SharedPlacesTest, LostHolderCausesNoRefusals) {
  ASSERT_TRUE(Start());
  fleet_.KillNode(fleet_.ControlLeader());
  EXPECT_EQ(Serve(200), 200);
  EXPECT_TRUE(fleet_.HasLogged("e1", "HK5011") ||
              fleet_.HasLogged("e2", "HK5011"));
}

}  // namespace
}  // namespace hickorywood::testing

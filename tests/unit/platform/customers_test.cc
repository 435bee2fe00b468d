// The customers of requests and configurations, and the reports about them, in
// the format of the platform.

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "platform/protocol.h"

namespace hickorywood::platform {
namespace {

class CustomersTest : public ::testing::Test {
 protected:
  static net::request Post(const std::string& target, const std::string& body) {
    net::request input;
    input.target = target;
    input.body = body;
    return input;
  }

  const std::unique_ptr<fleet::protocol> wire_ = MakeProtocol();
};

// Guards against a caller that states its customer itself, and against keys
// that endpoints get to see.
TEST_F(CustomersTest, CustomerOfADispatchIsOursAlone) {
  net::request input = Post("/p/1", "body");
  input.headers = {{"Host", "h"},
                   {"authorization", "bearer  key-1 "},
                   {"x-tenant", "forged"},
                   {"X-Tenant", "forged again"}};
  EXPECT_EQ(wire_->CallerKey(input), "key-1");
  fleet::dispatch_terms terms;
  net::request output = wire_->EncodeDispatch(input, terms);
  EXPECT_TRUE(net::Has(output.headers, "Authorization"));
  for (const char* customer : {"first", ""}) {
    terms.customer = customer;
    output = wire_->EncodeDispatch(input, terms);
    EXPECT_FALSE(net::Has(output.headers, "Authorization"));
    EXPECT_EQ(net::Find(output.headers, "X-Tenant"), customer);
    const bool has_header = net::Has(output.headers, "X-Tenant");
    EXPECT_EQ(has_header, terms.customer != "");
  }
}

TEST_F(CustomersTest, OtherSchemesContainNoKey) {
  for (const char* value : {"", "key-1", "Basic key-1", "Bearer", "Bearer "}) {
    net::request input = Post("/p/1", "");
    input.headers = {{"Authorization", value}};
    EXPECT_EQ(wire_->CallerKey(input), "") << value;
  }
}

TEST_F(CustomersTest, CustomersOfAConfiguration) {
  const auto call = wire_->DecodeControlCall(
      Post("/v1/config/put", R"({"version":7,"routes":[{"name":"r","host":"h",
        "path_prefix":"/p/","kind":"safe","timeout_ms":9,"service":"s",
        "public":true}],"services":[{"name":"s"}],"tenants":[
        {"name":"a","api_keys":["1","2"],"priority":1},
        {"name":"b","api_keys":[]}]})"));
  const auto* put = std::get_if<fleet::put_configuration_call>(&call);
  ASSERT_NE(put, nullptr);
  EXPECT_TRUE(put->config.needs_keys);
  EXPECT_TRUE(put->config.routes[0].is_public);
  ASSERT_EQ(put->config.customers.size(), 2U);
  EXPECT_EQ(put->config.customers[0].keys,
            (std::vector<std::string>{"1", "2"}));
  EXPECT_EQ(put->config.customers[0].priority, 1);
  EXPECT_EQ(put->config.customers[1].priority, -1);
}

TEST_F(CustomersTest, CustomerWithAnEmptyKeyIsRefused) {
  const auto call = wire_->DecodeControlCall(
      Post("/v1/config/put", R"({"version":7,"routes":[],"services":[],
        "tenants":[{"name":"a","api_keys":[""]}]})"));
  EXPECT_TRUE(std::holds_alternative<fleet::malformed_call>(call));
}

TEST_F(CustomersTest, ServiceWithServersToOrder) {
  const auto call = wire_->DecodeControlCall(
      Post("/v1/config/put", R"({"version":7,"routes":[],"services":[
        {"name":"s","scaling":{"min":1,"max":32,"startup_s":4.0,
         "spot_price":0.18,"zone_prices":{"za":1.0,"zb":0.8}}}]})"));
  const auto* put = std::get_if<fleet::put_configuration_call>(&call);
  ASSERT_NE(put, nullptr);
  const fleet::service& item = put->config.services[0];
  ASSERT_TRUE(item.has_scaling);
  EXPECT_EQ(item.scaling.max, 32);
  EXPECT_EQ(item.scaling.zone_prices.at("zb"), 0.8);
}

TEST_F(CustomersTest, ServerOrder) {
  fleet::server_order order;
  order.service = "s";
  order.zone = "za";
  order.count = 6;
  order.holder = "c1";
  order.fencing_token = 12;
  net::request output = wire_->EncodeServerOrder(order);
  EXPECT_EQ(output.target, "/scale");
  EXPECT_EQ(net::Find(output.headers, "X-Fence-Token"), "12");
  EXPECT_EQ(output.body, R"({"service":"s","target_groups":6,"zone":"za"})");
  order.is_spot = true;
  output = wire_->EncodeServerOrder(order);
  EXPECT_NE(output.body.Text().find(R"("spot":true)"), std::string::npos);
  EXPECT_EQ(wire_->DecodeServerOrderAnswer(409),
            fleet::server_order_outcome::kUnavailable);
}

TEST_F(CustomersTest, UsageReport) {
  fleet::usage_report report;
  report.usage = {353445120, {{"a", 412}}};
  report.holder = "c1";
  report.fencing_token = 12;
  const net::request output = wire_->EncodeUsageReport(report);
  EXPECT_EQ(output.method, "POST");
  EXPECT_EQ(output.target, "/usage");
  EXPECT_EQ(net::Find(output.headers, "X-Duty-Holder"), "c1");
  EXPECT_EQ(net::Find(output.headers, "X-Fence-Token"), "12");
  EXPECT_EQ(output.body, R"({"counts":{"a":412},"window_id":353445120})");
  EXPECT_EQ(wire_->DecodeUsageAnswer(200), fleet::report_outcome::kAccepted);
  EXPECT_EQ(wire_->DecodeUsageAnswer(409), fleet::report_outcome::kFenced);
  EXPECT_EQ(wire_->DecodeUsageAnswer(429), fleet::report_outcome::kRejected);
}

}  // namespace
}  // namespace hickorywood::platform

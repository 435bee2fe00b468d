#ifndef HICKORYWOOD_TESTS_SUPPORT_WEB_H_
#define HICKORYWOOD_TESTS_SUPPORT_WEB_H_

#include <chrono>
#include <future>
#include <string>
#include <vector>

#include "core/json.h"
#include "transport/http_client.h"

namespace hickorywood::testing {

// Sends the requests of a test with one shared HTTP client.
class web {
 public:
  web() { client_.Start(); }

  transport::http_response Send(transport::http_request request);
  std::future<transport::http_response> SendLater(
      transport::http_request request);

  // Sends a POST request with a JSON body to "IP:PORT".
  transport::http_response Post(
      const std::string& address, const std::string& path,
      const nlohmann::json& body,
      const std::vector<transport::http_header>& headers = {});
  std::future<transport::http_response> PostLater(
      const std::string& address, const std::string& path,
      const nlohmann::json& body,
      const std::vector<transport::http_header>& headers = {});
  transport::http_response Get(
      const std::string& address, const std::string& path,
      const std::vector<transport::http_header>& headers = {});

  // Returns the JSON body of a GET; null if the request failed.
  nlohmann::json GetJson(const std::string& address, const std::string& path);

 private:
  transport::http_client client_;
};

// Returns the body as JSON; null if it is not JSON.
nlohmann::json BodyOf(const transport::http_response& response);

}  // namespace hickorywood::testing

#endif  // HICKORYWOOD_TESTS_SUPPORT_WEB_H_

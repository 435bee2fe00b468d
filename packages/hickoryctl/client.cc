#include "hickoryctl/client.h"

#include <future>
#include <utility>

#include "transport/http_client.h"

namespace hickorywood::hickoryctl {

reply SendRequest(const server& target, const std::string& method,
                  const std::string& path, const std::string& body,
                  std::chrono::milliseconds timeout) {
  transport::http_client client;
  client.Start();
  transport::http_request request;
  request.method = method;
  request.url = "http://" + target.address + path;
  request.body = body;
  request.total_timeout = timeout;
  request.headers = {{"Content-Type", "application/json"}};
  if (!target.token.empty()) {
    request.headers.push_back({"Authorization", "Bearer " + target.token});
  }
  std::promise<transport::http_response> promise;
  client.Send(std::move(request),
              [&promise](transport::http_response response) {
                promise.set_value(std::move(response));
              });
  const transport::http_response response = promise.get_future().get();
  client.Stop();
  return {response.how == transport::delivery::kAnswered, response.status,
          response.body, response.error};
}

}  // namespace hickorywood::hickoryctl

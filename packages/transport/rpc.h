#ifndef HICKORYWOOD_TRANSPORT_RPC_H_
#define HICKORYWOOD_TRANSPORT_RPC_H_

// JSON-RPC 2.0 between hickoryd instances. The server side is libjson-rpc-cpp
// mounted on the peer listener: the HTTP server of the library can't be bound
// to one address, so it would listen on all of them. Clients send the encoded
// call with http_client, because the client of the library blocks its thread. A
// call carries one typed message as JSON text in the parameter "payload".

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace hickorywood::transport {

// Handles one call on the thread of the listener. Returns nothing and sets
// the last reason if the call failed.
using rpc_method =
    std::function<std::optional<std::string>(const std::string& payload)>;

class rpc_dispatcher {
 public:
  explicit rpc_dispatcher(const std::map<std::string, rpc_method>& methods);
  ~rpc_dispatcher();
  rpc_dispatcher(const rpc_dispatcher&) = delete;
  rpc_dispatcher& operator=(const rpc_dispatcher&) = delete;

  // Returns the JSON-RPC response to a JSON-RPC request. The response to a
  // malformed request is an error of the protocol.
  std::string Handle(const std::string& request);

  struct impl;

 private:
  std::unique_ptr<impl> impl_;
};

std::string EncodeRpcCall(const std::string& method,
                          const std::string& payload);

// Returns the payload of a response. Returns nothing and sets the last reason
// if the response is an error or malformed.
std::optional<std::string> DecodeRpcAnswer(const std::string& answer);

}  // namespace hickorywood::transport

#endif  // HICKORYWOOD_TRANSPORT_RPC_H_

#ifndef HICKORYWOOD_TRANSPORT_ACCESS_H_
#define HICKORYWOOD_TRANSPORT_ACCESS_H_

#include <string>

namespace hickorywood::transport {

enum class access_result { kGranted, kMissing, kWrong };

// Checks "Authorization: Bearer TOKEN" against `expected`. An empty `expected`
// grants access to all requests.
access_result CheckBearer(const std::string& authorization,
                          const std::string& expected);

}  // namespace hickorywood::transport

#endif  // HICKORYWOOD_TRANSPORT_ACCESS_H_

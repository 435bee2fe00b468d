#include "transport/access.h"

#include "core/ids.h"

namespace hickorywood::transport {

access_result CheckBearer(const std::string& authorization,
                          const std::string& expected) {
  constexpr char kScheme[] = "Bearer ";
  if (expected.empty()) return access_result::kGranted;
  if (authorization.rfind(kScheme, 0) != 0) return access_result::kMissing;
  const std::string token = authorization.substr(sizeof(kScheme) - 1);
  return core::EqualConstantTime(token, expected) ? access_result::kGranted
                                                  : access_result::kWrong;
}

}  // namespace hickorywood::transport

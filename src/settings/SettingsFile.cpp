#include "settings/SettingsFile.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <vector>

namespace magnoliadrum {

namespace {

constexpr const char* kStep = "read settings";

/** A lease must outlast several lost heartbeats. */
constexpr std::int64_t kHeartbeatsPerLease = 3;

using Faults = std::vector<std::string>;

void
checkAddress(const std::string& aAddress, const std::string& aPath, Faults& aFaults)
{
  const std::size_t colon = aAddress.rfind(':');
  const bool hasPort = colon != std::string::npos && colon > 0 && colon + 1 < aAddress.size();
  if (!hasPort || aAddress.find_first_not_of("0123456789", colon + 1) != std::string::npos) {
    aFaults.push_back(aPath + ": '" + aAddress + "' is not IP:port");
  }
}

void
checkOptionalAddress(const std::string& aAddress, const std::string& aPath, Faults& aFaults)
{
  if (!aAddress.empty()) {
    checkAddress(aAddress, aPath, aFaults);
  }
}

void
checkAddresses(const std::vector<std::string>& aAddresses,
               const std::string& aPath,
               Faults& aFaults)
{
  for (std::size_t index = 0; index < aAddresses.size(); index++) {
    checkAddress(aAddresses[index], aPath + "[" + std::to_string(index) + "]", aFaults);
  }
}

/** Control replicas are named by their addresses, or by seeds and a port. */
template<typename Settings>
void
checkControl(const Settings& aSettings, Faults& aFaults)
{
  checkAddresses(aSettings.controlAddresses(), "controlAddresses", aFaults);
  checkAddresses(aSettings.controlSeeds(), "controlSeeds", aFaults);
  if (!aSettings.controlAddresses().empty() && !aSettings.controlSeeds().empty()) {
    aFaults.push_back("controlAddresses, controlSeeds: only one of them is allowed");
  }
  if (!aSettings.controlSeeds().empty() && aSettings.controlPort() == 0) {
    aFaults.push_back("controlPort: is needed with controlSeeds");
  }
}

void
checkLease(const LeaseSettings& aLease, Faults& aFaults)
{
  if (aLease.heartbeatMs() * kHeartbeatsPerLease > aLease.leaseMs()) {
    aFaults.push_back("lease.heartbeatMs: must be at most a third of lease.leaseMs");
  }
}

/** The log holds the entries since the snapshot before the last, up to whole segments. The other
 * half of the disk is for the snapshots: the last two and the one that is being written. */
void
checkDisk(const ControlSettings& aSettings, Faults& aFaults)
{
  constexpr std::int64_t kSegmentMb = 16;
  const std::int64_t logMb = 2 * aSettings.snapshotEveryMb() + kSegmentMb;
  if (aSettings.diskMb() > 0 && 2 * logMb > aSettings.diskMb()) {
    aFaults.push_back("snapshotEveryMb: the log grows to " + std::to_string(logMb) +
                      " MB, which is over half of diskMb");
  }
}

void
checkTogether(const ControlSettings& aSettings, Faults& aFaults)
{
  checkAddress(aSettings.listenAddress(), "listenAddress", aFaults);
  checkOptionalAddress(aSettings.advertisedAddress(), "advertisedAddress", aFaults);
  checkOptionalAddress(aSettings.metricsAddress(), "metricsAddress", aFaults);
  checkOptionalAddress(aSettings.platformAddress(), "platformAddress", aFaults);
  checkAddresses(aSettings.initialReplicas(), "initialReplicas", aFaults);
  checkAddresses(aSettings.controlSeeds(), "controlSeeds", aFaults);
  if (aSettings.dataFolder().empty() &&
      (aSettings.controlSeeds().empty() || aSettings.platformAddress().empty())) {
    aFaults.push_back("dataFolder: may be empty only with controlSeeds and a platformAddress");
  }
  if (!aSettings.initialReplicas().empty() && !aSettings.controlSeeds().empty()) {
    aFaults.push_back("initialReplicas, controlSeeds: only one of them is allowed");
  }
  checkLease(aSettings.lease(), aFaults);
  checkDisk(aSettings, aFaults);
  if (aSettings.replicationHeartbeatMs() * 2 > aSettings.electionTimeoutMs()) {
    aFaults.push_back("replicationHeartbeatMs: must be at most half of electionTimeoutMs");
  }
}

void
checkTogether(const GatewaySettings& aSettings, Faults& aFaults)
{
  checkAddress(aSettings.httpAddress(), "httpAddress", aFaults);
  checkOptionalAddress(aSettings.platformAddress(), "platformAddress", aFaults);
  checkOptionalAddress(aSettings.readinessAddress(), "readinessAddress", aFaults);
  checkControl(aSettings, aFaults);
  checkLease(aSettings.lease(), aFaults);
}

void
checkTogether(const AgentSettings& aSettings, Faults& aFaults)
{
  checkAddress(aSettings.listenAddress(), "listenAddress", aFaults);
  checkAddress(aSettings.targetAddress(), "targetAddress", aFaults);
  checkOptionalAddress(aSettings.advertisedAddress(), "advertisedAddress", aFaults);
  checkOptionalAddress(aSettings.metricsAddress(), "metricsAddress", aFaults);
  checkAddresses(aSettings.controlAddresses(), "controlAddresses", aFaults);
  checkLease(aSettings.lease(), aFaults);
  const bool isExecutor = aSettings.targetKind() == TargetKind::eExecutor;
  if (isExecutor && aSettings.entryName().empty()) {
    aFaults.push_back("entryName: an executor needs the entry that it serves");
  }
  if (isExecutor && (aSettings.slots() == 0 || aSettings.connections() == 0)) {
    aFaults.push_back("slots, connections: an executor needs at least one of each");
  }
  if (!isExecutor &&
      (aSettings.capacity().cpuMilli() == 0 || aSettings.capacity().memoryMb() == 0)) {
    aFaults.push_back("capacity: a worker needs processors and memory");
  }
}

void
checkTogether(const RelaySettings& aSettings, Faults& aFaults)
{
  checkAddress(aSettings.platformAddress(), "platformAddress", aFaults);
  checkOptionalAddress(aSettings.metricsAddress(), "metricsAddress", aFaults);
  checkControl(aSettings, aFaults);
  checkLease(aSettings.lease(), aFaults);
}

std::string
joined(const Faults& aFaults)
{
  std::string text;
  for (const std::string& fault : aFaults) {
    text += (text.empty() ? "" : "; ") + fault;
  }
  return text;
}

} // namespace

std::vector<std::string>
withPort(const std::vector<std::string>& aAddresses, std::int64_t aPort)
{
  std::vector<std::string> addresses;
  for (const std::string& address : aAddresses) {
    addresses.push_back(address.substr(0, address.rfind(':') + 1) + std::to_string(aPort));
  }
  return addresses;
}

template<typename Settings>
Result<Settings>
readSettings(const std::string& aFileName)
{
  std::ifstream file(aFileName);
  if (!file) {
    return Error::create(ErrorCode::eNotFound, kStep, aFileName, "file cannot be opened");
  }
  constexpr bool kThrow = false;
  const nlohmann::json json = nlohmann::json::parse(file, nullptr, kThrow);
  if (json.is_discarded()) {
    return Error::create(ErrorCode::eInvalid, kStep, aFileName, "not valid JSON");
  }
  Faults faults;
  const Settings settings = Settings::read(json, "", faults);
  if constexpr (requires {
                  settings.controlAddresses().empty() && settings.controlSeeds().empty();
                }) {
    if (settings.controlAddresses().empty() && settings.controlSeeds().empty()) {
      faults.push_back("controlAddresses: missing, and there are no controlSeeds");
    }
  }
  if (faults.empty()) {
    checkTogether(settings, faults);
  }
  if (!faults.empty()) {
    return Error::create(ErrorCode::eInvalid, kStep, aFileName, joined(faults));
  }
  return settings;
}

template Result<ControlSettings>
readSettings(const std::string& aFileName);
template Result<GatewaySettings>
readSettings(const std::string& aFileName);
template Result<AgentSettings>
readSettings(const std::string& aFileName);
template Result<RelaySettings>
readSettings(const std::string& aFileName);

} // namespace magnoliadrum

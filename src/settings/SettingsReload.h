#pragma once

#include "observability/observability.h"
#include "settings/SettingsFile.h"
#include "transport/transport.h"

#include <csignal>
#include <functional>
#include <string>
#include <vector>

namespace magnoliadrum {

/** Reads a settings file that may have changed. Logs the error if it is invalid. */
template<typename Settings>
Result<Settings>
readSettingsAgain(const std::string& aFileName)
{
  Result<Settings> settings = readSettings<Settings>(aFileName);
  if (!isOk(settings)) {
    logWarning("settings are not reloaded", errorOf(settings));
  }
  return settings;
}

/**
 * Reads the settings file again at each SIGHUP and hands valid settings to aApply. Invalid ones are
 * logged and change nothing. Runs until the handle is dropped.
 */
template<typename Settings>
EventHandlePointer
reloadOnHangup(EventLoop& aLoop,
               const std::string& aFileName,
               std::function<void(const Settings&)> aApply)
{
  return aLoop.onSignal(SIGHUP, [aFileName, apply = std::move(aApply)]() {
    const Result<Settings> settings = readSettingsAgain<Settings>(aFileName);
    if (isOk(settings)) {
      logInfo("settings reloaded", { { "file", aFileName } });
      apply(valueOf(settings));
    }
  });
}

/** Returns a function that reads the replica addresses from the settings file; empty if it is
 * invalid. */
template<typename Settings>
std::function<std::vector<std::string>()>
controlAddressReader(const std::string& aFileName)
{
  return [aFileName]() {
    const Result<Settings> settings = readSettingsAgain<Settings>(aFileName);
    return isOk(settings) ? controlAddresses(valueOf(settings)) : std::vector<std::string>();
  };
}

} // namespace magnoliadrum

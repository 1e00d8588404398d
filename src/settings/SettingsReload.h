#pragma once

#include "observability/observability.h"
#include "settings/SettingsFile.h"
#include "transport/transport.h"

#include <csignal>
#include <functional>
#include <string>

namespace magnoliadrum {

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
    const Result<Settings> settings = readSettings<Settings>(aFileName);
    if (!isOk(settings)) {
      logWarning("settings are not reloaded", errorOf(settings));
      return;
    }
    logInfo("settings reloaded", { { "file", aFileName } });
    apply(valueOf(settings));
  });
}

} // namespace magnoliadrum

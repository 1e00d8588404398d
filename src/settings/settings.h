#pragma once

/** Module settings: reading and checking of JSON settings files. */

#include "settings/ClientLimits.h"
#include "settings/SettingsFile.h"
#include "settings/SettingsReload.h"

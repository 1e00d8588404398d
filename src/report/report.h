#pragma once

/** Module report: the service-level burn report as text, JSON and a self-contained HTML page. */

#include "report/BurnReport.h"

#ifndef GOOSEBERRYWOOD_SETTINGS_HPP
#define GOOSEBERRYWOOD_SETTINGS_HPP

/// \defgroup settings settings
/// \brief TOML settings files of the processes: addresses, failure domain and upstreams.

#include "settings/agent_address.hpp"
#include "settings/load.hpp"
#include "settings/process_settings.hpp"
#include "settings/upstream_settings.hpp"

#endif

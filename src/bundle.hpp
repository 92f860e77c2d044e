#ifndef GOOSEBERRYWOOD_BUNDLE_HPP
#define GOOSEBERRYWOOD_BUNDLE_HPP

/// \defgroup bundle bundle
/// \brief The operators' versioned bundle: teams, keys, failure domains, routes, trainers, limits.

#include "bundle/bundle.hpp"
#include "bundle/parse.hpp"
#include "bundle/route.hpp"
#include "bundle/signature.hpp"
#include "bundle/team.hpp"
#include "bundle/trainer.hpp"

#endif

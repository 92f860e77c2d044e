#ifndef GOOSEBERRYWOOD_COMPLETION_HPP
#define GOOSEBERRYWOOD_COMPLETION_HPP

/// \defgroup completion completion
/// \brief The JSON of completions, as entries and agents both read it.

#include "completion/choice_text.hpp"
#include "completion/parse_body.hpp"

#endif

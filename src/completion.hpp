#ifndef GOOSEBERRYWOOD_COMPLETION_HPP
#define GOOSEBERRYWOOD_COMPLETION_HPP

/// \defgroup completion completion
/// \brief Parsing of completion JSON, shared by entries and agents.

#include "completion/choice_text.hpp"
#include "completion/parse_body.hpp"

#endif

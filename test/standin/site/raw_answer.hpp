#ifndef GOOSEBERRYWOOD_TEST_STANDIN_SITE_RAW_ANSWER_HPP
#define GOOSEBERRYWOOD_TEST_STANDIN_SITE_RAW_ANSWER_HPP

#include "standin/http.hpp"

#include <deque>
#include <map>
#include <string>

namespace gooseberrywood::test
{

/// Bytes that an upstream sends instead of its answer. Then it closes the connection.
struct raw_answer
{
    /// `{id}` stands for the id of the request.
    std::string bytes;
    /// The connection is reset instead of being closed in order.
    bool resets = false;
    /// The connection stays open until the peer closes it.
    bool stays_open = false;
    /// Text that follows again and again until the peer closes the connection; empty for none.
    /// `{n}` stands for the number of the repetition, from 1.
    std::string repeated;
};

/// Raw answers to the next requests of each service.
using raw_answers = std::map<std::string, std::deque<raw_answer>>;

/// Queues the raw answers of a control call in place of those that were not used.
void set_raw_answers(raw_answers& to, nlohmann::json const& body);

/// Sends the next raw answer of a service, if there is one, and ends the connection as it says.
/// \returns whether there was one.
bool send_raw_answer(raw_answers& from, std::string const& service, SoupServerMessage* message,
                     std::string const& request_id);

} // namespace gooseberrywood::test

#endif

#ifndef GOOSEBERRYWOOD_TEST_PROCESS_SUPPORT_ENDLESS_ANSWERS_HPP
#define GOOSEBERRYWOOD_TEST_PROCESS_SUPPORT_ENDLESS_ANSWERS_HPP

#include "process/support/site_service.hpp"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace gooseberrywood::test
{

/// Parts of heads of answers. `{id}` stands for the id of the request.
inline std::string const ok_line = "HTTP/1.1 200 OK\r\n";
inline std::string const id_headers = "Attempt-Id: {id}\r\nServer-Stamp: stamp-{id}\r\n";
inline std::string const stream_headers =
    id_headers + "Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n";

/// An answer that repeats a text until the gateway closes the connection.
struct endless_answer
{
    std::string name;
    std::string begin;
    std::string repeated;
};

/// Answers without end, whatever was asked.
[[nodiscard]] std::vector<endless_answer> endless_answers();

/// Answers the next requests of a service so.
void answer_without_end(site_service const& service, std::string const& name,
                        endless_answer const& answer, int count);

/// Sends a lookup to the first gateway.
[[nodiscard]] http_response look_up(site_service const& service, std::string const& id);

/// \returns the status of the answer to a lookup; 0 if there is none.
unsigned try_look_up(site_service const& service, std::string const& id);

/// Fails unless the first gateway lives and serves an ordinary request.
void check_serves(site_service const& service, std::string const& id);

/// Stand-ins and a gateway on a machine with little memory.
struct small_machine
{
    small_machine();

    std::unique_ptr<site_service> service;
    /// Memory of the gateway before any request.
    std::size_t bytes_before = 0;
};

/// Fails unless the gateway has stayed within its memory, serves an ordinary request and then holds
/// nothing of any response.
void check_sound(small_machine const& machine, std::string const& id);

} // namespace gooseberrywood::test

#endif

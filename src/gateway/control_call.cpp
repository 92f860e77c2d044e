#include "gateway/control_call.hpp"

#include <utility>

namespace gooseberrywood::gateway
{

namespace
{

constexpr std::size_t max_answer_bytes = 64 * 1024;

} // namespace

void start_control_call(gateway& self, http::call_request const& what, base::mono_time deadline,
                        std::function<void(http::fetch_outcome)> then)
{
    auto const number = ++self.last_number;
    self.control_calls[number] =
        http::start_fetch(self.control_session.get(), what, deadline, max_answer_bytes,
                          [&self, number, then = std::move(then)](http::fetch_outcome outcome)
                          {
                              auto const keep = std::move(self.control_calls[number]);
                              self.control_calls.erase(number);
                              then(std::move(outcome));
                          });
}

} // namespace gooseberrywood::gateway

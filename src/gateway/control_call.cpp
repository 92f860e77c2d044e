#include "gateway/control_call.hpp"

#include <utility>

namespace gooseberrywood::gateway
{

namespace
{

constexpr std::size_t max_answer_bytes = 64 * 1024;

} // namespace

void start_control_call(gateway& self, http::call_request const& request, base::mono_time deadline,
                        std::function<void(http::fetch_outcome)> done)
{
    auto const number = ++self.last_number;
    self.control_calls[number] =
        http::start_fetch(self.control_session.get(), request, deadline, max_answer_bytes,
                          [&self, number, done = std::move(done)](http::fetch_outcome outcome)
                          {
                              auto const finished = std::move(self.control_calls[number]);
                              self.control_calls.erase(number);
                              done(std::move(outcome));
                          });
}

} // namespace gooseberrywood::gateway

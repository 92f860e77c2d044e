#include "base/hash.hpp"
#include "standin/upstream/upstream.hpp"

#include <algorithm>
#include <cstdlib>

namespace gooseberrywood::test
{

namespace
{

using nlohmann::json;

json show(execution const& e)
{
    return {{"id", e.id},
            {"method", e.method},
            {"path", e.path},
            {"query", e.query},
            {"body_hash", fmt::format("{:016x}", base::hash64(e.body))},
            {"started_wall_us", base::micros(e.started_at)},
            {"finished", e.finished},
            {"canceled", e.canceled},
            {"headers", e.headers}};
}

/// Changes the faults that the body names and leaves the others.
void set_faults(upstream_faults& faults, json const& body)
{
    faults.delay = base::duration(body.value("delay_us", faults.delay.count()));
    faults.drop_answer = body.value("drop_answer", faults.drop_answer);
    faults.freeze = body.value("freeze", faults.freeze);
    faults.cold = body.value("cold", faults.cold);
    faults.error_status = body.value("error_status", faults.error_status);
    if (body.value("crash", false))
    {
        std::abort();
    }
}

/// An order {"fencing": n, "kind": "load_model" | "load_version" | "set_role", "value": ...}.
void take_order(upstream& self, SoupServerMessage* message, json const& order)
{
    auto const fencing = order.at("fencing").get<std::uint64_t>();
    bool const old = fencing < self.highest_fencing;
    bool const refused = old && self.options.checks_fencing;
    auto record = order;
    record["refused"] = refused;
    self.orders.push_back(record);
    self.highest_fencing = std::max(self.highest_fencing, fencing);
    if (refused)
    {
        answer(message, SOUP_STATUS_CONFLICT, {{"fencing", self.highest_fencing}});
        return;
    }
    if (order.at("kind") == "load_version")
    {
        self.weight_version = order.at("value").get<std::uint64_t>();
    }
    answer(message, SOUP_STATUS_OK, record);
}

} // namespace

void control(upstream& self, SoupServerMessage* message, std::string const& path)
{
    if (path == "/standin/executions")
    {
        json all = json::array();
        for (auto const& e : self.executions)
        {
            all.push_back(show(*e));
        }
        answer(message, SOUP_STATUS_OK, all);
    }
    else if (path == "/standin/stats")
    {
        answer(message, SOUP_STATUS_OK,
               {{"running", self.running.size()},
                {"max_running_seen", self.max_running_seen},
                {"overload", self.overload},
                {"tokens_generated", self.tokens_generated},
                {"weight_version", self.weight_version}});
    }
    else if (path == "/standin/orders")
    {
        answer(message, SOUP_STATUS_OK, self.orders);
    }
    else if (path == "/standin/faults")
    {
        set_faults(self.faults, json::parse(body_of(message)));
        answer(message, SOUP_STATUS_OK, json::object());
    }
    else if (path == "/standin/weights")
    {
        self.weight_version = json::parse(body_of(message)).at("version").get<std::uint64_t>();
        answer(message, SOUP_STATUS_OK, json::object());
    }
    else if (path == "/standin-orders")
    {
        take_order(self, message, json::parse(body_of(message)));
    }
    else
    {
        answer(message, SOUP_STATUS_NOT_FOUND, {{"error", {{"message", "no such path"}}}});
    }
}

} // namespace gooseberrywood::test

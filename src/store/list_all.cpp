#include "store/list_all.hpp"

#include <iterator>
#include <utility>

namespace gooseberrywood::store
{

namespace
{

void read_pages(client const& store, std::string const& prefix, std::string const& after,
                std::vector<item> collected, base::mono_time deadline,
                done<std::vector<item>> const& on_done)
{
    store.list(prefix, after, deadline,
               [&store, prefix, deadline, on_done,
                collected = std::move(collected)](base::result<page> next_page) mutable
               {
                   if (!next_page)
                   {
                       on_done(tl::unexpected(next_page.error()));
                       return;
                   }
                   bool const is_last = !next_page->has_more || next_page->items.empty();
                   std::move(next_page->items.begin(), next_page->items.end(),
                             std::back_inserter(collected));
                   if (is_last)
                   {
                       on_done(std::move(collected));
                       return;
                   }
                   auto const last_key = collected.back().key;
                   read_pages(store, prefix, last_key, std::move(collected), deadline, on_done);
               });
}

} // namespace

void list_all(client const& store, std::string const& prefix, std::string const& after,
              base::mono_time deadline, done<std::vector<item>> const& on_done)
{
    read_pages(store, prefix, after, {}, deadline, on_done);
}

} // namespace gooseberrywood::store

#include "store/list_all.hpp"

#include <iterator>
#include <utility>

namespace gooseberrywood::store
{

namespace
{

void read_on(client const& from, std::string const& prefix, std::string const& after,
             std::vector<item> collected, base::mono_time deadline,
             done<std::vector<item>> const& then)
{
    from.list(prefix, after, deadline,
              [&from, prefix, deadline, then,
               collected = std::move(collected)](base::result<page> read) mutable
              {
                  if (!read)
                  {
                      then(tl::unexpected(read.error()));
                      return;
                  }
                  bool const ends = !read->has_more || read->items.empty();
                  std::move(read->items.begin(), read->items.end(), std::back_inserter(collected));
                  if (ends)
                  {
                      then(std::move(collected));
                      return;
                  }
                  auto const last = collected.back().key;
                  read_on(from, prefix, last, std::move(collected), deadline, then);
              });
}

} // namespace

void list_all(client const& from, std::string const& prefix, std::string const& after,
              base::mono_time deadline, done<std::vector<item>> const& then)
{
    read_on(from, prefix, after, {}, deadline, then);
}

} // namespace gooseberrywood::store

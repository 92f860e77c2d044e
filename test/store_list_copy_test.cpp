#include "at_ms.hpp"
#include "property.hpp"
#include "store/list_copy.hpp"

#include <doctest/doctest.h>

#include <map>

using namespace gooseberrywood;
using gooseberrywood::test::at_ms;

namespace
{

store::read_window between_ms(std::int64_t begin, std::int64_t end)
{
    return {at_ms(begin), at_ms(end)};
}

store::list_copy make_copy(std::uint64_t id)
{
    store::list_copy copy;
    copy.id = id;
    return copy;
}

std::map<std::string, std::string> values_of(store::list_copy const& copy)
{
    std::map<std::string, std::string> values;
    for (auto const& item : store::all_items(copy))
    {
        values[item.key] = item.value;
    }
    return values;
}

/// Polls once: requests the changes since the last poll and applies them.
bool follow(store::list_copy& follower, store::list_copy const& reader,
            store::read_window const& window)
{
    auto const changes =
        store::changes_since(reader, follower.followed_source, follower.followed_version);
    return store::apply_changes(follower, changes, window);
}

} // namespace

SCENARIO("a process follows the list copy of another process")
{
    auto reader = make_copy(7);
    auto follower = make_copy(8);
    std::vector<store::item> list = {{"a", "1", 1}, {"b", "1", 2}};
    (void)store::apply_read(reader, list, between_ms(0, 4));
    THEN("the first response holds the whole list")
    {
        CHECK(store::changes_since(reader, 0, 0).whole);
        CHECK(follow(follower, reader, between_ms(0, 5)));
        CHECK(values_of(follower) == values_of(reader));
    }
    WHEN("one item is changed, one added and one removed after the follower has the list")
    {
        REQUIRE(follow(follower, reader, between_ms(0, 5)));
        list = {{"a", "2", 5}, {"c", "1", 6}};
        (void)store::apply_read(reader, list, between_ms(100, 104));
        auto const changes = store::changes_since(reader, 7, follower.followed_version);
        THEN("only these changes are sent")
        {
            CHECK_FALSE(changes.whole);
            CHECK(changes.items.size() == 2);
            CHECK(changes.removed == std::vector<std::string>{"b"});
            CHECK(follow(follower, reader, between_ms(100, 105)));
            CHECK(values_of(follower) == values_of(reader));
        }
        AND_WHEN("the removed item is added again before the next poll")
        {
            list.push_back({"b", "3", 9});
            (void)store::apply_read(reader, list, between_ms(200, 204));
            THEN("the follower has it")
            {
                CHECK(follow(follower, reader, between_ms(200, 205)));
                CHECK(values_of(follower) == values_of(reader));
            }
        }
        AND_WHEN("the response to an earlier request arrives after that to a later one")
        {
            auto const late = store::changes_since(reader, 7, follower.followed_version);
            list = {{"a", "3", 10}};
            (void)store::apply_read(reader, list, between_ms(300, 304));
            REQUIRE(follow(follower, reader, between_ms(300, 305)));
            THEN("it is rejected and changes nothing")
            {
                CHECK_FALSE(store::apply_changes(follower, late, between_ms(100, 306)));
                CHECK(values_of(follower) == values_of(reader));
            }
        }
        AND_WHEN("the reader has been restarted")
        {
            auto other = make_copy(9);
            (void)store::apply_read(other, list, between_ms(400, 404));
            THEN("the follower receives the whole list")
            {
                CHECK(store::changes_since(other, 7, follower.followed_version).whole);
                CHECK(follow(follower, other, between_ms(400, 405)));
                CHECK(values_of(follower) == values_of(other));
            }
        }
    }
    WHEN("the list has not changed since")
    {
        REQUIRE(follow(follower, reader, between_ms(0, 5)));
        (void)store::apply_read(reader, list, between_ms(100, 104));
        THEN("no items are sent, and the time of the last read advances")
        {
            auto const changes = store::changes_since(reader, 7, follower.followed_version);
            CHECK(changes.items.empty());
            CHECK(follow(follower, reader, between_ms(100, 105)));
            CHECK(follower.last_read.begin == at_ms(100));
        }
    }
}

SCENARIO("a follower switches from one reader to another")
{
    // Guards against reverting to an old configuration, a withdrawn key or an ended job because the
    // second reader's read is older than the changes received from the first one.
    auto first = make_copy(1);
    auto second = make_copy(2);
    auto follower = make_copy(3);
    std::vector<store::item> const before = {{"configuration", "old", 1}};
    std::vector<store::item> const after = {{"configuration", "new", 2}};
    (void)store::apply_read(second, before, between_ms(0, 4));
    (void)store::apply_read(first, after, between_ms(100, 104));
    REQUIRE(follow(follower, first, between_ms(100, 106)));
    THEN("a read that may be older is rejected")
    {
        CHECK_FALSE(follow(follower, second, between_ms(0, 6)));
        CHECK_FALSE(follow(follower, second, between_ms(105, 110)));
        CHECK(values_of(follower)["configuration"] == "new");
    }
    THEN("a read that began later is applied")
    {
        (void)store::apply_read(second, after, between_ms(200, 204));
        CHECK(follow(follower, second, between_ms(200, 206)));
        CHECK(follower.followed_source == 2);
    }
    WHEN("a read of the follower itself began before it received the changes and ends after that")
    {
        THEN("it is rejected, since it may be older than the changes")
        {
            CHECK_FALSE(store::apply_read(follower, before, between_ms(102, 110)));
            CHECK(values_of(follower)["configuration"] == "new");
            CHECK(follower.followed_source == 1);
        }
    }
    WHEN("the follower has read the list itself in the meantime")
    {
        (void)store::apply_read(follower, after, between_ms(300, 304));
        THEN("changes since an earlier version are rejected")
        {
            auto changes = store::changes_since(first, 1, 1);
            CHECK_FALSE(store::apply_changes(follower, changes, between_ms(400, 405)));
        }
    }
}

SCENARIO("a follower that has missed too many removals receives the whole list")
{
    auto reader = make_copy(1);
    auto follower = make_copy(2);
    std::vector<store::item> list;
    list.reserve(2000);
    for (int i = 0; i < 2000; ++i)
    {
        list.push_back({"job/" + std::to_string(i), "x", 1});
    }
    (void)store::apply_read(reader, list, between_ms(0, 1));
    REQUIRE(follow(follower, reader, between_ms(0, 2)));
    (void)store::apply_read(reader, {}, between_ms(10, 11));
    CHECK(reader.removals.size() < 2000);
    THEN("no removed item remains")
    {
        CHECK(follow(follower, reader, between_ms(10, 12)));
        CHECK(values_of(follower).empty());
    }
}

SCENARIO("followers converge to the list whichever rounds they miss")
{
    // The follower polls only in some rounds. After each poll its copy must equal the reader's.
    test::check_property(
        "a follower's copy equals the reader's after each poll",
        [](std::vector<std::vector<std::pair<unsigned char, unsigned char>>> const& rounds,
           std::vector<bool> const& polls)
        {
            auto reader = make_copy(1);
            auto follower = make_copy(2);
            std::int64_t now = 0;
            std::size_t round = 0;
            for (auto const& pairs : rounds)
            {
                std::map<std::string, store::item> list;
                for (auto const& [key, value] : pairs)
                {
                    auto const name = std::to_string(key % 8);
                    list[name] = {name, std::to_string(value % 3), std::uint64_t{value} % 3};
                }
                std::vector<store::item> read;
                read.reserve(list.size());
                for (auto const& [name, item] : list)
                {
                    read.push_back(item);
                }
                now += 10;
                (void)store::apply_read(reader, read, between_ms(now, now + 1));
                if (round < polls.size() && polls[round])
                {
                    RC_ASSERT(follow(follower, reader, between_ms(now, now + 2)));
                    RC_ASSERT(values_of(follower) == values_of(reader));
                }
                ++round;
            }
        });
}

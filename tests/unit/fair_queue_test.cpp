#include <doctest/doctest.h>

#include <map>
#include <rapidcheck.h>

#include <agateseam/fair_queue.hpp>

using namespace agateseam;

namespace
{

attempt_id make_id(std::uint32_t number)
{
    return {"r" + std::to_string(number), 1};
}

} // namespace

TEST_CASE("attempts of one workspace are taken in the order of arrival")
{
    fair_queue queue;
    for (std::uint32_t number = 0; number < 4; ++number)
    {
        queue.push("a", 1, 100, make_id(number));
    }
    CHECK(queue.service_order().size() == 4);
    for (std::uint32_t number = 0; number < 4; ++number)
    {
        CHECK(queue.front() == make_id(number));
        CHECK(queue.pop() == make_id(number));
    }
    CHECK_FALSE(queue.pop().has_value());
}

TEST_CASE("a backlog of one workspace delays another by at most one attempt")
{
    fair_queue queue;
    for (std::uint32_t number = 0; number < 100; ++number)
    {
        queue.push("flood", 1, 100, make_id(number));
    }
    CHECK(queue.pop() == make_id(0));
    queue.push("small", 1, 100, make_id(1'000));
    CHECK(queue.pop() == make_id(1'000));
}

TEST_CASE("a removed attempt is not charged")
{
    fair_queue queue;
    queue.push("a", 1, 1'000'000, make_id(1));
    CHECK(queue.remove("a", make_id(1)));
    CHECK_FALSE(queue.remove("a", make_id(1)));
    queue.push("b", 1, 1, make_id(2));
    queue.push("a", 1, 1, make_id(3));
    CHECK(queue.pop() == make_id(3));
    CHECK(queue.size() == 1);
}

TEST_CASE("tokens charged after an attempt was taken affect which attempt is next")
{
    fair_queue queue;
    queue.push("a", 1, 100, make_id(1));
    queue.push("b", 1, 100, make_id(2));
    queue.push("a", 1, 100, make_id(3));
    queue.push("b", 1, 100, make_id(4));
    CHECK(queue.pop() == make_id(1));
    CHECK(queue.pop() == make_id(2));
    queue.adjust_charge("a", 1, 500);
    CHECK(queue.pop() == make_id(4));
}

TEST_CASE("backlogged workspaces get their shares within one attempt of each")
{
    const bool property_holds = rc::check(
        []
        {
            const auto flows = *rc::gen::inRange(2, 6);
            fair_queue queue;
            std::map<std::string, double> weights;
            std::map<attempt_id, std::pair<std::string, double>> items;
            std::map<std::string, double> max_cost;
            std::uint32_t number = 0;
            for (int flow = 0; flow < flows; ++flow)
            {
                const std::string name = "w" + std::to_string(flow);
                weights[name] = *rc::gen::inRange(1, 5);
                for (int item = 0; item < 60; ++item)
                {
                    const double cost = *rc::gen::inRange(1, 1'000);
                    items[make_id(++number)] = {name, cost};
                    max_cost[name] = std::max(max_cost[name], cost);
                    queue.push(name, weights[name], cost, make_id(number));
                }
            }
            std::map<std::string, double> served;
            for (int taken_count = 0; taken_count < 30; ++taken_count)
            {
                const auto& [name, cost] = items.at(*queue.pop());
                served[name] += cost;
                for (const auto& [first, first_weight] : weights)
                {
                    for (const auto& [second, second_weight] : weights)
                    {
                        const double service_difference =
                            served[first] / first_weight - served[second] / second_weight;
                        RC_ASSERT(service_difference <=
                                  max_cost[first] / first_weight +
                                      max_cost[second] / second_weight + 1e-6);
                    }
                }
            }
        });
    CHECK(property_holds);
}

TEST_CASE("service_order returns the order in which attempts are taken")
{
    const bool property_holds = rc::check(
        []
        {
            fair_queue queue;
            const auto count = *rc::gen::inRange<std::uint32_t>(0, 60);
            for (std::uint32_t number = 0; number < count; ++number)
            {
                const auto flow = *rc::gen::inRange(0, 5);
                queue.push("w" + std::to_string(flow), flow + 1,
                           *rc::gen::inRange(1, 100), make_id(number));
                if (*rc::gen::inRange(0, 4) == 0)
                {
                    queue.pop();
                }
            }
            const auto predicted = queue.service_order();
            RC_ASSERT(predicted.size() == queue.size());
            for (const attempt_id& id : predicted)
            {
                RC_ASSERT(queue.pop() == id);
            }
        });
    CHECK(property_holds);
}

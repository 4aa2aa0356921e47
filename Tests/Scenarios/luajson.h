#pragma once

#include <lua.hpp>
#include <nlohmann/json.hpp>

namespace Trefoil::Scenarios
{

/// The Lua value at an index as JSON: a table with elements 1..n is a list, any other an object. Functions and cyclic or
/// deeply nested tables throw std::invalid_argument. Precondition: the stack has 8 free places for each level.
nlohmann::json toJson(lua_State *state, int index);

/// Pushes a JSON value; null becomes nil. Precondition and thread safety: as for toJson().
void pushJson(lua_State *state, const nlohmann::json &value);

} // namespace Trefoil::Scenarios

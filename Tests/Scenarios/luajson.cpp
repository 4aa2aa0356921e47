#include "luajson.h"

#include <stdexcept>

namespace Trefoil::Scenarios
{

namespace
{

constexpr int maximumDepth = 32;

nlohmann::json convert(lua_State *state, int index, int depth);

nlohmann::json convertTable(lua_State *state, int index, int depth)
{
    if (depth >= maximumDepth) {
        throw std::invalid_argument("a table is nested too deeply");
    }
    lua_checkstack(state, 8);
    const auto length = lua_rawlen(state, index);
    if (length > 0) {
        nlohmann::json list = nlohmann::json::array();
        for (lua_Integer i = 1; i <= static_cast<lua_Integer>(length); ++i) {
            lua_rawgeti(state, index, i);
            list.push_back(convert(state, lua_gettop(state), depth + 1));
            lua_pop(state, 1);
        }
        return list;
    }
    nlohmann::json object = nlohmann::json::object();
    lua_pushnil(state);
    while (lua_next(state, index) != 0) {
        if (lua_type(state, -2) != LUA_TSTRING) {
            throw std::invalid_argument("a table has a key that is neither a string nor a list index");
        }
        object[lua_tostring(state, -2)] = convert(state, lua_gettop(state), depth + 1);
        lua_pop(state, 1);
    }
    return object;
}

nlohmann::json convert(lua_State *state, int index, int depth)
{
    switch (lua_type(state, index)) {
    case LUA_TNIL:
    case LUA_TNONE:
        return nullptr;
    case LUA_TBOOLEAN:
        return lua_toboolean(state, index) != 0;
    case LUA_TNUMBER:
        if (lua_isinteger(state, index) != 0) {
            return lua_tointeger(state, index);
        }
        return lua_tonumber(state, index);
    case LUA_TSTRING: {
        std::size_t length = 0;
        const char *text = lua_tolstring(state, index, &length);
        return std::string(text, length);
    }
    case LUA_TTABLE:
        return convertTable(state, index, depth);
    default:
        throw std::invalid_argument(std::string("a ") + lua_typename(state, lua_type(state, index)) + " is not a plain value");
    }
}

} // namespace

nlohmann::json toJson(lua_State *state, int index)
{
    return convert(state, lua_absindex(state, index), 0);
}

void pushJson(lua_State *state, const nlohmann::json &value)
{
    lua_checkstack(state, 8);
    if (value.is_boolean()) {
        lua_pushboolean(state, value.get<bool>() ? 1 : 0);
    } else if (value.is_number_integer()) {
        lua_pushinteger(state, value.get<lua_Integer>());
    } else if (value.is_number()) {
        lua_pushnumber(state, value.get<lua_Number>());
    } else if (value.is_string()) {
        const auto &text = value.get_ref<const std::string &>();
        lua_pushlstring(state, text.data(), text.size());
    } else if (value.is_array()) {
        lua_createtable(state, static_cast<int>(value.size()), 0);
        lua_Integer index = 0;
        for (const auto &item : value) {
            pushJson(state, item);
            lua_rawseti(state, -2, ++index);
        }
    } else if (value.is_object()) {
        lua_createtable(state, 0, static_cast<int>(value.size()));
        for (const auto &[key, item] : value.items()) {
            lua_pushlstring(state, key.data(), key.size());
            pushJson(state, item);
            lua_rawset(state, -3);
        }
    } else {
        lua_pushnil(state);
    }
}

} // namespace Trefoil::Scenarios

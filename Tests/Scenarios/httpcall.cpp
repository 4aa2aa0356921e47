#include "httpcall.h"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace Trefoil::Scenarios
{

namespace
{

namespace Http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;

std::string lowercase(std::string text)
{
    for (auto &character : text) {
        character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
    }
    return text;
}

Http::request<Http::string_body> requestFor(const HttpCall &call)
{
    Http::request<Http::string_body> request;
    request.method_string(call.method);
    request.target(call.target);
    request.version(11);
    request.set(Http::field::host, call.address);
    request.set(Http::field::connection, "close");
    for (const auto &[name, value] : call.headers) {
        request.set(name, value);
    }
    request.body() = call.body;
    request.prepare_payload();
    return request;
}

void perform(const HttpCall &call, HttpReply &reply, boost::asio::io_context &context, const boost::asio::yield_context &yield)
{
    const auto start = std::chrono::steady_clock::now();
    boost::system::error_code error;
    boost::beast::tcp_stream stream(context);
    stream.expires_after(call.timeout);
    const auto colon = call.address.rfind(':');
    const auto ip = boost::asio::ip::make_address_v4(call.address.substr(0, colon), error);
    if (error || colon == std::string::npos) {
        reply.error = "\"" + call.address + "\" is not an address";
        return;
    }
    const auto port = static_cast<unsigned short>(std::stoi(call.address.substr(colon + 1)));
    if (!call.sourceAddress.empty()) {
        stream.socket().open(Tcp::v4(), error);
        stream.socket().bind({boost::asio::ip::make_address_v4(call.sourceAddress), 0}, error);
    }
    if (!error) {
        stream.async_connect(Tcp::endpoint(ip, port), yield[error]);
    }
    const auto request = requestFor(call);
    if (!error) {
        Http::async_write(stream, request, yield[error]);
    }
    boost::beast::flat_buffer buffer;
    Http::response<Http::string_body> response;
    if (!error) {
        Http::async_read(stream, buffer, response, yield[error]);
    }
    reply.duration = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - start);
    if (error) {
        reply.error = error.message();
        return;
    }
    reply.status = static_cast<int>(response.result_int());
    reply.body = response.body();
    for (const auto &field : response) {
        reply.headers[lowercase(std::string(field.name_string()))] = std::string(field.value());
    }
}

} // namespace

std::vector<HttpReply> callAll(const std::vector<HttpCall> &calls)
{
    boost::asio::io_context context(1);
    std::vector<HttpReply> replies(calls.size());
    for (std::size_t i = 0; i < calls.size(); ++i) {
        boost::asio::spawn(context, [&, i](const boost::asio::yield_context &yield) { perform(calls[i], replies[i], context, yield); });
    }
    context.run();
    return replies;
}

} // namespace Trefoil::Scenarios

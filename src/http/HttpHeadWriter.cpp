#include "http/HttpHeadWriter.h"

#include "http/ConnectionFields.h"

#include <boost/beast/core/buffer_traits.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace filbertbeam {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

// Beast throws an exception for longer names and values.
constexpr std::size_t kMaxFieldBytes = 60'000;

beast::string_view
View(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

bool
IsToken(std::string_view aText)
{
  return !aText.empty() &&
         std::all_of(aText.begin(), aText.end(), IsTokenCharacter);
}

bool
IsTextCharacter(char aCharacter)
{
  const auto value = static_cast<unsigned char>(aCharacter);
  return value == '\t' || (value >= 0x20 && value != 0x7F);
}

bool
IsText(std::string_view aText)
{
  return std::all_of(aText.begin(), aText.end(), IsTextCharacter);
}

bool
CopyFields(const HttpFields& aFrom, http::fields& aTo, std::string& aReason)
{
  for (const HttpField& field : aFrom.All()) {
    if (!IsToken(field.name) || !IsText(field.value) ||
        field.name.size() + field.value.size() > kMaxFieldBytes) {
      aReason = "a header field cannot be represented";
      return false;
    }
    if (!IsConnectionField(field.name)) {
      aTo.insert(View(field.name), View(field.value));
    }
  }
  return true;
}

void
AddFraming(BodyFraming aFraming,
           std::uint64_t aContentLength,
           http::fields& aFields)
{
  switch (aFraming) {
    case BodyFraming::None:
      break;
    case BodyFraming::Length:
      aFields.insert(http::field::content_length,
                     View(std::to_string(aContentLength)));
      break;
    case BodyFraming::Chunked:
    case BodyFraming::UntilClose:
      aFields.insert(http::field::transfer_encoding, "chunked");
      break;
  }
}

template<bool isRequest>
std::optional<std::string>
Serialize(const http::message<isRequest, http::empty_body>& aMessage,
          std::string& aReason)
{
  http::serializer<isRequest, http::empty_body> serializer(aMessage);
  serializer.split(true);
  std::string bytes;
  beast::error_code error;
  while (!serializer.is_header_done()) {
    serializer.next(
      error, [&](beast::error_code& aError, const auto& aBuffers) {
        aError = {};
        for (const auto& buffer : beast::buffers_range_ref(aBuffers)) {
          bytes.append(static_cast<const char*>(buffer.data()), buffer.size());
        }
        serializer.consume(beast::buffer_bytes(aBuffers));
      });
    if (error) {
      aReason = error.message();
      return std::nullopt;
    }
  }
  return bytes;
}

} // namespace

bool
IsBodilessResponse(int aStatus, bool aIsHeadRequest)
{
  return aIsHeadRequest || aStatus / 100 == 1 || aStatus == 204 ||
         aStatus == 304;
}

std::optional<std::string>
WriteRequestHead(const HttpRequestHead& aHead, std::string& aReason)
{
  const auto isVisible = [](char aCharacter) {
    return aCharacter > 0x20 && aCharacter < 0x7F;
  };
  if (!IsToken(aHead.method) || aHead.target.empty() ||
      !std::all_of(aHead.target.begin(), aHead.target.end(), isVisible)) {
    aReason = "the method or the target cannot be represented";
    return std::nullopt;
  }
  http::request<http::empty_body> message;
  message.version(11);
  message.method_string(View(aHead.method));
  message.target(View(aHead.target));
  if (!CopyFields(aHead.fields, message, aReason)) {
    return std::nullopt;
  }
  AddFraming(aHead.framing, aHead.contentLength, message);
  if (aHead.framing == BodyFraming::None &&
      (aHead.method == "POST" || aHead.method == "PUT" ||
       aHead.method == "PATCH")) {
    // With methods that define a meaning for a body, a length of 0 announces
    // that there is none.
    AddFraming(BodyFraming::Length, 0, message);
  }
  return Serialize(message, aReason);
}

std::optional<std::string>
WriteResponseHead(const HttpResponseHead& aHead,
                  const ResponseHeadContext& aContext,
                  std::string& aReason)
{
  if (aHead.status < 100 || aHead.status > 599 || !IsText(aHead.reason)) {
    aReason = "the status line cannot be represented";
    return std::nullopt;
  }
  http::response<http::empty_body> message;
  message.version(11);
  message.result(static_cast<unsigned>(aHead.status));
  if (!aHead.reason.empty()) {
    message.reason(View(aHead.reason));
  }
  if (!CopyFields(aHead.fields, message, aReason)) {
    return std::nullopt;
  }
  // Responses with status 1xx or 204 must not have framing fields (RFC 9112,
  // 6).
  if (aHead.status / 100 != 1 && aHead.status != 204) {
    AddFraming(aHead.framing, aHead.contentLength, message);
    if (aHead.framing == BodyFraming::None &&
        !IsBodilessResponse(aHead.status, aContext.isHeadRequest)) {
      AddFraming(BodyFraming::Length, 0, message);
    }
  }
  if (!aContext.keepAlive) {
    message.insert(http::field::connection, "close");
  }
  return Serialize(message, aReason);
}

std::string
WriteChunkBegin(std::size_t aSize)
{
  return fmt::format("{:x}\r\n", aSize);
}

} // namespace filbertbeam

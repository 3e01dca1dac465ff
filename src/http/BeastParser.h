#pragma once

#include "http/HttpMessage.h"

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <limits>

namespace filbertbeam {

// Collects the elements that Beast's parser recognizes, one per call of Put.
// Beast defines the names of the callbacks.
template<bool isRequest>
class BeastParser final : public boost::beast::http::basic_parser<isRequest>
{
public:
  using ErrorCode = boost::beast::error_code;
  using StringView = boost::beast::string_view;

  BeastParser()
  {
    // HttpHeadScanner and the owning parser enforce the limits. If the body
    // limit were disabled, Beast would reject every chunked body.
    this->header_limit(std::numeric_limits<std::uint32_t>::max());
    this->body_limit(std::numeric_limits<std::uint64_t>::max());
    this->eager(false);
  }

  // Parses one element of aInput and returns the number of bytes consumed.
  std::size_t Put(ByteView aInput, ErrorCode& aError)
  {
    body = {};
    return this->put(boost::asio::const_buffer(aInput.data(), aInput.size()),
                     aError);
  }

  std::string method;
  std::string target;
  int status = 0;
  std::string reason;
  int httpVersion = 0;
  HttpFields fields;
  // The part of the body that the last call of Put parsed.
  ByteView body;

private:
  // NOLINTBEGIN(readability-identifier-naming)
  void on_request_impl(boost::beast::http::verb,
                       StringView aMethod,
                       StringView aTarget,
                       int aVersion,
                       ErrorCode& aError) override
  {
    method.assign(aMethod.data(), aMethod.size());
    target.assign(aTarget.data(), aTarget.size());
    httpVersion = aVersion;
    aError = {};
  }

  void on_response_impl(int aStatus,
                        StringView aReason,
                        int aVersion,
                        ErrorCode& aError) override
  {
    status = aStatus;
    reason.assign(aReason.data(), aReason.size());
    httpVersion = aVersion;
    aError = {};
  }

  void on_field_impl(boost::beast::http::field,
                     StringView aName,
                     StringView aValue,
                     ErrorCode& aError) override
  {
    // Beast checks trailer fields; they are dropped here and never forwarded.
    if (!isHeadDone_) {
      fields.Add({ aName.data(), aName.size() },
                 { aValue.data(), aValue.size() });
    }
    aError = {};
  }

  void on_header_impl(ErrorCode& aError) override
  {
    isHeadDone_ = true;
    aError = {};
  }

  void on_body_init_impl(const boost::optional<std::uint64_t>&,
                         ErrorCode& aError) override
  {
    aError = {};
  }

  std::size_t on_body_impl(StringView aBody, ErrorCode& aError) override
  {
    body = { aBody.data(), aBody.size() };
    aError = {};
    return aBody.size();
  }

  void on_chunk_header_impl(std::uint64_t,
                            StringView,
                            ErrorCode& aError) override
  {
    aError = {};
  }

  std::size_t on_chunk_body_impl(std::uint64_t,
                                 StringView aBody,
                                 ErrorCode& aError) override
  {
    body = { aBody.data(), aBody.size() };
    aError = {};
    return aBody.size();
  }

  void on_finish_impl(ErrorCode& aError) override { aError = {}; }
  // NOLINTEND(readability-identifier-naming)

  bool isHeadDone_ = false;
};

} // namespace filbertbeam

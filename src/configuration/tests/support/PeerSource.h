#pragma once

#include "configuration/ConfigurationFollower.h"
#include "configuration/ConfigurationSource.h"

#include <QObject>
#include <QTimer>

#include <memory>
#include <string>

namespace filbertbeam {

enum class PeerFault
{
  None,
  // Never responds.
  Unresponsive,
  Unavailable,
  TruncatedPart,
  // Returns a different part than the requested one.
  WrongPart,
  MissingPart,
  TruncatedHead,
  // Returns the head in oldHead.
  OldHead,
};

// A host as a source of configurations, with injected faults.
class PeerSource final : public ConfigurationSource
{
public:
  // *aFollower is null while the host is down.
  PeerSource(std::string aName,
             std::shared_ptr<ConfigurationFollower*> aFollower)
    : name_(std::move(aName))
    , follower_(std::move(aFollower))
  {
  }

  PeerFault fault = PeerFault::None;
  std::string oldHead;
  // Number of part requests after which it stops responding; negative for no
  // limit.
  int partsUntilUnresponsive = -1;
  int headRequests = 0;
  int partRequests = 0;

  std::string_view Name() const override { return name_; }

  void FetchHead(Callback aCallback) override
  {
    ++headRequests;
    const auto text = *follower_ ? (*follower_)->HeadText() : nullptr;
    if (fault == PeerFault::OldHead) {
      Deliver({ oldHead, {} }, aCallback);
    } else if (!text || fault == PeerFault::Unavailable) {
      Deliver({ std::nullopt, "connection refused" }, aCallback);
    } else if (fault == PeerFault::TruncatedHead) {
      Deliver({ text->substr(0, text->size() / 2), {} }, aCallback);
    } else {
      Deliver({ *text, {} }, aCallback);
    }
  }

  void FetchPart(std::string_view aSha256, Callback aCallback) override
  {
    ++partRequests;
    if (partsUntilUnresponsive >= 0 && partRequests > partsUntilUnresponsive) {
      return;
    }
    const auto text = *follower_ ? (*follower_)->FindPart(aSha256) : nullptr;
    if (!text || fault == PeerFault::MissingPart ||
        fault == PeerFault::Unavailable) {
      Deliver({ std::nullopt, "no such part" }, aCallback);
    } else if (fault == PeerFault::TruncatedPart) {
      Deliver({ text->substr(0, text->size() - 1), {} }, aCallback);
    } else if (fault == PeerFault::WrongPart) {
      Deliver({ std::string(text->size(), ' '), {} }, aCallback);
    } else {
      Deliver({ *text, {} }, aCallback);
    }
  }

private:
  void Deliver(const Response& aResponse, const Callback& aCallback)
  {
    if (fault != PeerFault::Unresponsive) {
      QTimer::singleShot(
        0, &context_, [aResponse, aCallback] { aCallback(aResponse); });
    }
  }

  std::string name_;
  std::shared_ptr<ConfigurationFollower*> follower_;
  QObject context_;
};

} // namespace filbertbeam

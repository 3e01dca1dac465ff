#include "membership/DatagramAssembler.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace filbertbeam {

namespace {

// The header consists of the message number (4 bytes, most significant first),
// the index of this part and the number of parts, one byte each.
constexpr std::size_t kHeaderBytes = 6;
constexpr std::size_t kMaxParts = 64;
static_assert(kMaxParts * kMaxDatagramPart >= 64 * 1024);

struct PartHeader
{
  std::uint32_t message = 0;
  std::size_t part = 0;
  std::size_t parts = 0;
};

std::string
WriteHeader(const PartHeader& aHeader)
{
  std::string bytes;
  for (const int shift : { 24, 16, 8, 0 }) {
    bytes += static_cast<char>((aHeader.message >> shift) & 0xFFU);
  }
  bytes += static_cast<char>(aHeader.part);
  bytes += static_cast<char>(aHeader.parts);
  return bytes;
}

std::optional<PartHeader>
ReadHeader(ByteView aDatagram)
{
  if (aDatagram.size() <= kHeaderBytes ||
      aDatagram.size() > kHeaderBytes + kMaxDatagramPart) {
    return std::nullopt;
  }
  const auto byte = [aDatagram](std::size_t aIndex) {
    return static_cast<std::uint32_t>(
      static_cast<unsigned char>(aDatagram[aIndex]));
  };
  PartHeader header;
  for (std::size_t i = 0; i < 4; ++i) {
    header.message = header.message << 8U | byte(i);
  }
  header.part = byte(4);
  header.parts = byte(5);
  if (header.parts > kMaxParts || header.part >= header.parts) {
    return std::nullopt;
  }
  return header;
}

} // namespace

std::vector<std::string>
DivideIntoDatagrams(std::string_view aMessage, std::uint32_t aNumber)
{
  const std::size_t parts =
    (aMessage.size() + kMaxDatagramPart - 1) / kMaxDatagramPart;
  std::vector<std::string> datagrams;
  for (std::size_t i = 0; i < parts; ++i) {
    datagrams.push_back(WriteHeader({ aNumber, i, parts }));
    datagrams.back() += aMessage.substr(i * kMaxDatagramPart, kMaxDatagramPart);
  }
  return datagrams;
}

std::optional<std::string>
DatagramAssembler::Add(const Endpoint& aSender,
                       ByteView aDatagram,
                       Instant aNow)
{
  const auto header = ReadHeader(aDatagram);
  if (!header) {
    ++malformed_;
    return std::nullopt;
  }
  const std::string_view bytes(aDatagram.data() + kHeaderBytes,
                               aDatagram.size() - kHeaderBytes);
  if (header->parts == 1) {
    return std::string(bytes);
  }
  MakeRoom(bytes.size(), aNow);
  const Key key(fmt::format("{}:{}", aSender.address, aSender.port),
                header->message);
  const auto [item, isNew] = incompleteMessages_.try_emplace(key);
  IncompleteMessage& message = item->second;
  if (isNew) {
    message.parts.resize(header->parts);
    message.missing = header->parts;
    message.since = aNow;
  }
  if (message.parts.size() != header->parts ||
      !message.parts[header->part].empty()) {
    // The datagram is a duplicate, or belongs to another message with the same
    // number.
    return std::nullopt;
  }
  message.parts[header->part] = bytes;
  bufferedBytes_ += bytes.size();
  if (--message.missing > 0) {
    return std::nullopt;
  }
  std::string whole;
  for (const std::string& part : message.parts) {
    whole += part;
  }
  Remove(item);
  return whole;
}

void
DatagramAssembler::Remove(std::map<Key, IncompleteMessage>::iterator aItem)
{
  for (const std::string& part : aItem->second.parts) {
    bufferedBytes_ -= part.size();
  }
  incompleteMessages_.erase(aItem);
}

void
DatagramAssembler::MakeRoom(std::size_t aBytes, Instant aNow)
{
  for (auto item = incompleteMessages_.begin();
       item != incompleteMessages_.end();) {
    const auto next = std::next(item);
    if (aNow - item->second.since > kMaxAge) {
      Remove(item);
    }
    item = next;
  }
  while (!incompleteMessages_.empty() &&
         bufferedBytes_ + aBytes > kMaxBufferedBytes) {
    Remove(
      std::ranges::min_element(incompleteMessages_, {}, [](const auto& aItem) {
        return aItem.second.since;
      }));
  }
}

} // namespace filbertbeam

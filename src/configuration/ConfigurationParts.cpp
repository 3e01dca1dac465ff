#include "configuration/ConfigurationParts.h"

#include "base/Digest.h"
#include "configuration/ConfigurationReader.h"
#include "configuration/ConfigurationWriter.h"
#include "store/ObjectStore.h"

#include <fmt/format.h>

#include <algorithm>
#include <bit>

namespace filbertbeam {

namespace {

// Every host fetches each changed part. With 1,700 changes per day, parts of
// 64 KiB take 1.3 KB/s per host; parts of 1 MB would take 20 KB/s, while all
// control traffic together may take 8 KB/s.
constexpr std::size_t kTargetPartBytes = 64ULL * 1024;
// Bounds the search for a bucket count at which every part fits; with this many
// buckets, a part holds about one item.
constexpr std::size_t kMaxBuckets = 1ULL << 16;

struct Item
{
  std::uint64_t hash = 0;
  std::string text;
};

std::string
JoinItems(std::string_view aList, const std::vector<const Item*>& aItems)
{
  std::string text = fmt::format("{{\"{}\":[", aList);
  const char* separator = "\n";
  for (const Item* item : aItems) {
    text += separator;
    text += item->text;
    separator = ",\n";
  }
  return text + "\n]}\n";
}

// Distributes the items by hash over a power of two of buckets, so that a
// changed item changes only one part, and a growing list rarely changes all of
// them.
bool
SplitList(std::string_view aList,
          const std::vector<Item>& aItems,
          std::vector<ConfigurationPart>& aParts,
          std::string& aReason)
{
  std::size_t total = 0;
  for (const Item& item : aItems) {
    total += item.text.size();
  }
  for (std::size_t count = std::bit_ceil(1 + total / kTargetPartBytes);
       count <= kMaxBuckets;
       count *= 2) {
    std::vector<std::vector<const Item*>> buckets(count);
    for (const Item& item : aItems) {
      buckets[item.hash % count].push_back(&item);
    }
    std::vector<ConfigurationPart> parts;
    bool fits = true;
    for (const std::vector<const Item*>& bucket : buckets) {
      if (bucket.empty()) {
        continue;
      }
      auto text = std::make_shared<const std::string>(JoinItems(aList, bucket));
      fits = fits && text->size() <= kMaxObjectBytes;
      std::string sha256 = Sha256Hex(*text);
      parts.push_back({ std::move(sha256), std::move(text) });
    }
    if (fits) {
      std::move(parts.begin(), parts.end(), std::back_inserter(aParts));
      return true;
    }
    const bool hasOversizedItem =
      std::any_of(aItems.begin(), aItems.end(), [](const Item& aItem) {
        return aItem.text.size() > kMaxObjectBytes;
      });
    if (hasOversizedItem) {
      break;
    }
  }
  aReason = fmt::format(
    "one of the {} is larger than {} bytes", aList, kMaxObjectBytes);
  return false;
}

} // namespace

std::optional<std::vector<ConfigurationPart>>
ConfigurationParts::Split(const Configuration::Content& aContent,
                          std::string& aReason)
{
  // Equal content has to give equal parts, regardless of the order of the
  // files.
  Configuration::Content content = aContent;
  ConfigurationWriter::Sort(content);
  std::vector<ConfigurationPart> parts;
  std::vector<Item> items;
  for (const Service& service : content.services) {
    items.push_back(
      { StableHash(service.name), ConfigurationWriter::WriteService(service) });
  }
  if (!SplitList("services", items, parts, aReason)) {
    return std::nullopt;
  }
  items.clear();
  for (const Route& route : content.routes) {
    items.push_back({ StableHash(route.host + ' ' + route.pathPrefix),
                      ConfigurationWriter::WriteRoute(route) });
  }
  if (!SplitList("routes", items, parts, aReason)) {
    return std::nullopt;
  }
  items.clear();
  for (const Contract& contract : content.contracts) {
    items.push_back({ StableHash(contract.customer),
                      ConfigurationWriter::WriteContract(contract) });
  }
  if (!SplitList("contracts", items, parts, aReason)) {
    return std::nullopt;
  }
  return parts;
}

std::optional<Configuration::Content>
ConfigurationParts::Join(const ConfigurationHead& aHead,
                         const Lookup& aLookup,
                         std::string& aReason)
{
  ConfigurationReader reader;
  for (const ConfigurationPartReference& reference : aHead.parts) {
    const std::shared_ptr<const std::string> text = aLookup(reference.sha256);
    if (!text) {
      aReason = fmt::format("part {} is missing", reference.sha256);
      return std::nullopt;
    }
    if (!Verify(reference, *text, aReason)) {
      return std::nullopt;
    }
    reader.Add(KeyOf(reference.sha256), *text);
  }
  std::optional<Configuration::Content> content = reader.Finish();
  if (!content) {
    const Finding& first = reader.Faults().Items().front();
    aReason = fmt::format("{} findings, the first: {}: {}: {}",
                          reader.Faults().Items().size(),
                          first.source,
                          first.field,
                          first.message);
    return std::nullopt;
  }
  ConfigurationWriter::Sort(*content);
  return content;
}

bool
ConfigurationParts::Verify(const ConfigurationPartReference& aReference,
                           std::string_view aText,
                           std::string& aReason)
{
  if (aText.size() != aReference.bytes) {
    aReason = fmt::format("part {} has {} bytes, expected {}",
                          aReference.sha256,
                          aText.size(),
                          aReference.bytes);
    return false;
  }
  if (Sha256Hex(aText) != aReference.sha256) {
    aReason = fmt::format("part {} does not match its hash", aReference.sha256);
    return false;
  }
  return true;
}

std::string
ConfigurationParts::KeyOf(std::string_view aSha256)
{
  return fmt::format("config/parts/{}", aSha256);
}

} // namespace filbertbeam

#include "base/SeededRandom.h"
#include "base/SystemClock.h"
#include "catalog/CatalogFollower.h"
#include "catalog/tests/support/CatalogStub.h"
#include "gateway/DirectoryBuilder.h"
#include "http/tests/support/EventLoop.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <set>

using namespace filbertbeam;
using namespace filbertbeam::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kSeeds = 300;
constexpr int kSteps = 300;
constexpr std::uint64_t kServers = 4;

constexpr const char* kRun = "run";
constexpr const char* kNumber = "number";
constexpr const char* kDraining = "draining";

// Reads the entries that the model's servers write.
class ModelCodec final : public CatalogCodec
{
public:
  std::shared_ptr<const RoutingTable> ReadConfiguration(
    const CatalogObject&,
    std::string&) const override
  {
    return nullptr;
  }
  std::optional<BackendServerRecord> ReadBackendServer(
    const CatalogObject& aObject,
    Instant,
    std::string&) const override
  {
    BackendServerRecord record;
    record.id = aObject.name;
    record.service = "service";
    record.startedAt = aObject.content[kRun].toInteger();
    record.isDraining = aObject.content[kDraining].toBool();
    return record;
  }
  WriteStamp ReadStamp(const CatalogObject& aObject) const override
  {
    return { aObject.content[kRun].toInteger(),
             static_cast<std::uint64_t>(aObject.content[kNumber].toInteger()) };
  }
};

// A catalog that can be restored from a copy. A call waits until Execute, and
// its response until Deliver, in any order.
class ModelCatalog final : public CatalogStub
{
public:
  struct State
  {
    std::uint64_t revision = 1;
    std::map<std::string, CatalogObject> objects;
    std::vector<CatalogEvent> history;
    // The history contains the changes after this revision.
    std::uint64_t historyBegin = 1;
  };

  void List(Collection,
            std::string_view,
            ListFreshness,
            PageCallback aCallback) override
  {
    calls.emplace_back([this, callback = std::move(aCallback)] {
      CatalogPage page;
      page.version = { generation, state.revision };
      for (const auto& [name, object] : state.objects) {
        page.objects.push_back(object);
        page.objects.back().version.generation = generation;
      }
      Respond([callback, page] { callback(page); });
    });
  }

  void Watch(Collection,
             const CatalogVersion& aVersion,
             std::chrono::milliseconds,
             ChangesCallback aCallback) override
  {
    calls.emplace_back([this, aVersion, callback = std::move(aCallback)] {
      Respond(
        [callback, changes = ChangesSince(aVersion)] { callback(changes); });
    });
  }

  void Change(CatalogObject aObject, bool aIsDeleted)
  {
    aObject.version = { generation, ++state.revision };
    state.history.push_back({ aObject, aIsDeleted });
    if (aIsDeleted) {
      state.objects.erase(aObject.name);
    } else {
      state.objects[aObject.name] = aObject;
      written[aObject.version].insert(aObject.name);
    }
  }

  void Restore(const State& aCopy)
  {
    state = aCopy;
    state.history.clear();
    state.historyBegin = state.revision;
    ++generation;
    for (auto& [name, object] : state.objects) {
      object.version.generation = generation;
      written[object.version].insert(name);
    }
  }

  void Execute()
  {
    if (!calls.empty()) {
      const auto call = std::move(calls.front());
      calls.pop_front();
      call();
    }
  }

  // A later response may overtake an earlier one.
  void Deliver(std::uint64_t aIndex)
  {
    if (!responses.empty()) {
      const auto at = responses.begin() +
                      static_cast<std::ptrdiff_t>(aIndex % responses.size());
      const auto response = std::move(*at);
      responses.erase(at);
      response();
    }
  }

  State state;
  std::uint64_t generation = 1;
  // The names of the objects that each version wrote.
  std::map<CatalogVersion, std::set<std::string>> written;
  std::deque<std::function<void()>> calls;
  std::deque<std::function<void()>> responses;

private:
  CatalogChanges ChangesSince(const CatalogVersion& aVersion) const
  {
    CatalogChanges changes;
    changes.version = { generation, state.revision };
    if (aVersion.generation != generation ||
        aVersion.revision < state.historyBegin) {
      changes.failure = { CatalogError::HistoryExpired, "model" };
      return changes;
    }
    for (const CatalogEvent& event : state.history) {
      if (event.object.version > aVersion) {
        changes.events.push_back(event);
      }
    }
    return changes;
  }

  // Late responses reach the host even when it knows a later generation: the
  // follower alone has to be safe.
  void Respond(std::function<void()> aDeliver)
  {
    responses.emplace_back(
      [this, madeIn = generation, deliver = std::move(aDeliver)] {
        generations.OnResponse(madeIn, generations.Current(), "call");
        deliver();
      });
  }
};

// One run of a server that writes its own entry.
struct ModelServer
{
  std::int64_t run = 1;
  std::int64_t number = 0;
  bool isDraining = false;
  bool hasLeft = true;
};

// A host, and a second one that follows it only.
class Model
{
public:
  explicit Model(std::uint64_t aSeed)
    : random_(aSeed)
    , builder_(codec_, clock_)
    , host_(catalog_,
            { Collection::BackendServers, "model", 0ms, 0ms, 0ms },
            clock_,
            random_,
            [this](const CatalogFollower::Objects& aObjects) {
              CheckDirectory(*builder_.Build(aObjects));
            })
    , peer_(unused_,
            { Collection::BackendServers, "model-peer", 0ms, 0ms, 0ms },
            clock_,
            random_,
            [](const CatalogFollower::Objects&) {})
  {
    catalog_.SetRestoreHandler([this](const CatalogRestore& aRestore) {
      builder_.OnCatalogRestored();
      host_.OnCatalogRestored(aRestore.toGeneration, 0ms);
    });
    peer_.SetFollowsPeer(true);
    host_.Start();
  }

  void Step()
  {
    switch (random_.Below(12)) {
      case 0:
      case 1:
        Write(random_.Below(kServers));
        break;
      case 2:
        Leave(random_.Below(kServers));
        break;
      case 3:
        copy_ = catalog_.state;
        break;
      case 4:
        if (copy_ && random_.Below(4) == 0) {
          catalog_.Restore(*copy_);
        }
        break;
      case 5:
        Heartbeat(random_.Below(kServers));
        break;
      case 6:
        FollowHost();
        break;
      case 7:
      case 8:
      case 9:
        catalog_.Execute();
        break;
      default:
        catalog_.Deliver(random_.Next());
        break;
    }
    QCoreApplication::processEvents();
    QCoreApplication::processEvents();
    Check(host_, lastVersion_);
    Check(peer_, lastPeerVersion_);
  }

  // Delivers all that is pending; the host then has what the catalog has.
  void Settle()
  {
    for (int i = 0; i < 200; ++i) {
      catalog_.Execute();
      catalog_.Deliver(0);
      QCoreApplication::processEvents();
      QCoreApplication::processEvents();
    }
    BOOST_TEST(host_.Current().size() == catalog_.state.objects.size());
    BOOST_TEST(host_.Version().generation == catalog_.generation);
  }

private:
  static std::string NameOf(std::uint64_t aServer)
  {
    return "server-" + std::to_string(aServer);
  }

  CatalogObject EntryOf(std::uint64_t aServer) const
  {
    const ModelServer& server = servers_.at(aServer);
    return { NameOf(aServer),
             {},
             { { kRun, static_cast<qint64>(server.run) },
               { kNumber, static_cast<qint64>(server.number) },
               { kDraining, server.isDraining } },
             {} };
  }

  void Write(std::uint64_t aServer)
  {
    ModelServer& server = servers_.at(aServer);
    if (server.hasLeft) {
      server = { server.run + 1, 0, false, false };
    }
    ++server.number;
    server.isDraining = server.isDraining || random_.Below(5) == 0;
    catalog_.Change(EntryOf(aServer), false);
  }

  // Writes the state again. If only the number differs, that is no change of
  // the catalog.
  void Heartbeat(std::uint64_t aServer)
  {
    const auto entry = catalog_.state.objects.find(NameOf(aServer));
    ModelServer& server = servers_.at(aServer);
    if (server.hasLeft || entry == catalog_.state.objects.end()) {
      return;
    }
    ++server.number;
    QJsonObject& content = entry->second.content;
    if (content[kRun].toInteger() == server.run &&
        content[kDraining].toBool() == server.isDraining) {
      content[kNumber] = static_cast<qint64>(server.number);
    } else {
      catalog_.Change(EntryOf(aServer), false);
    }
  }

  // A server leaves once the host has read its last change.
  void Leave(std::uint64_t aServer)
  {
    const auto entry = catalog_.state.objects.find(NameOf(aServer));
    const auto read = host_.Current().find(NameOf(aServer));
    if (servers_.at(aServer).hasLeft || entry == catalog_.state.objects.end() ||
        read == host_.Current().end() ||
        read->second.version != entry->second.version) {
      return;
    }
    servers_.at(aServer).hasLeft = true;
    catalog_.Change(entry->second, true);
  }

  void FollowHost()
  {
    const CatalogChanges changes = host_.ChangesAfter(peer_.Version());
    if (changes.failure.error == CatalogError::None) {
      peer_.ApplyPeerChanges(changes);
    } else {
      peer_.Import(host_.Copy());
    }
  }

  // Versions never go back, and each object is the one that its version wrote.
  void Check(const CatalogFollower& aFollower, CatalogVersion& aLast) const
  {
    if (aFollower.Version().IsKnown()) {
      BOOST_TEST((aFollower.Version() >= aLast));
      aLast = aFollower.Version();
      for (const auto& [name, object] : aFollower.Current()) {
        BOOST_TEST(object.version.generation == aLast.generation);
      }
    }
    for (const auto& [name, object] : aFollower.Current()) {
      const auto written = catalog_.written.find(object.version);
      BOOST_TEST_REQUIRE((written != catalog_.written.end()));
      BOOST_TEST(written->second.contains(name));
    }
  }

  // A run of which the host knew that it leaves, or that was gone, gets nothing
  // any more.
  void CheckDirectory(const BackendDirectory& aDirectory)
  {
    std::map<std::string, std::int64_t> shown;
    for (const BackendServerRecord& record : aDirectory.Servers()) {
      shown[record.id] = record.startedAt;
      const Run run{ record.id, record.startedAt };
      if (record.isDraining) {
        // A server that lives may be missing from a copy and be taken for one
        // that left, until it writes again.
        if (IsOver(record.id, record.startedAt)) {
          departed_.insert(run);
        }
      } else {
        BOOST_TEST(!departed_.contains(run),
                   record.id << " is used again in run " << record.startedAt);
      }
    }
    for (const auto& [server, run] : shown_) {
      if (!shown.contains(server) && IsOver(server, run)) {
        departed_.insert({ server, run });
      }
    }
    shown_ = std::move(shown);
  }

  // True for a run that has stated that it leaves, or has left.
  bool IsOver(const std::string& aServer, std::int64_t aRun) const
  {
    for (std::uint64_t i = 0; i < kServers; ++i) {
      if (NameOf(i) == aServer) {
        const ModelServer& server = servers_.at(i);
        return server.run > aRun || server.hasLeft || server.isDraining;
      }
    }
    return false;
  }

  using Run = std::pair<std::string, std::int64_t>;

  SeededRandom random_;
  SystemClock clock_;
  ModelCodec codec_;
  ModelCatalog catalog_;
  CatalogStub unused_;
  DirectoryBuilder builder_;
  std::array<ModelServer, kServers> servers_;
  std::optional<ModelCatalog::State> copy_;
  CatalogVersion lastVersion_;
  CatalogVersion lastPeerVersion_;
  std::map<std::string, std::int64_t> shown_;
  std::set<Run> departed_;
  CatalogFollower host_;
  CatalogFollower peer_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ModelOfRestores)

// Draws writes, heartbeats, departures, copies, restores and late responses.
BOOST_AUTO_TEST_CASE(UnlearnsNothingAndAppliesNothingOfAnEarlierGeneration)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      Model model(seed);
      for (int step = 0; step < kSteps; ++step) {
        model.Step();
      }
      model.Settle();
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

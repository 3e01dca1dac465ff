#include "review/lib-3/World.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <thread>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int kBacklog = 256;
constexpr std::size_t kReadBytes = 64 * 1024;
constexpr const char* kLoopback = "127.0.0.1";
constexpr std::string_view kObjects = "/filbertbeam/objects/";

const auto kBegin = std::chrono::steady_clock::now();

sockaddr_in
MakeAddress(const std::string& aAddress, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  inet_pton(AF_INET, aAddress.c_str(), &address.sin_addr);
  return address;
}

bool
Bind(int aSocket, const std::string& aAddress, int aPort)
{
  const int on = 1;
  setsockopt(aSocket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = MakeAddress(aAddress, aPort);
  return bind(aSocket,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof address) == 0;
}

// Calls aServe with each accepted socket, in a thread of its own.
void
AcceptAll(int aListener, const std::function<void(int)>& aServe)
{
  std::thread([aListener, aServe] {
    while (true) {
      const int socket = accept4(aListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket >= 0) {
        std::thread([aServe, socket] { aServe(socket); }).detach();
      }
    }
  }).detach();
}

std::string
Response(int aStatus, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " Status\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

// Returns the value of a number in a query, or aDefault.
std::uint64_t
QueryNumber(const std::string& aTarget,
            const std::string& aName,
            std::uint64_t aDefault)
{
  const auto at = aTarget.find(aName + "=");
  return at == std::string::npos
           ? aDefault
           : std::strtoull(
               aTarget.c_str() + at + aName.size() + 1, nullptr, 10);
}

// Returns a status without its sequence.
std::string
WithoutSequence(const std::string& aStatus)
{
  const auto begin = aStatus.find("\"sequence\":");
  if (begin == std::string::npos) {
    return aStatus;
  }
  return aStatus.substr(0, begin) + aStatus.substr(aStatus.find(',', begin));
}

} // namespace

double
Now()
{
  return Seconds(std::chrono::steady_clock::now() - kBegin).count();
}

void
SleepUntil(double aTime)
{
  std::this_thread::sleep_until(
    kBegin +
    std::chrono::duration_cast<std::chrono::nanoseconds>(Seconds(aTime)));
}

Record::Record(const std::string& aPath)
  : file_(open(aPath.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, 0644))
{
}

Record::~Record()
{
  close(file_);
}

void
Record::Add(const std::string& aLine)
{
  std::array<char, 32> time{};
  (void)snprintf(time.data(), time.size(), "%9.3f ", Now());
  const std::string line = time.data() + aLine + "\n";
  const std::scoped_lock lock(mutex_);
  (void)!write(file_, line.data(), line.size());
}

std::string
Message::Field(const std::string& aName) const
{
  const auto field = fields.find(aName);
  return field == fields.end() ? std::string() : field->second;
}

std::string
Message::SecondWord() const
{
  std::istringstream words(start);
  std::string word;
  words >> word >> word;
  return word;
}

Stream::Stream(int aSocket)
  : socket_(aSocket)
{
  const int on = 1;
  setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Stream::~Stream()
{
  Close();
}

void
Stream::Close()
{
  if (socket_ >= 0) {
    close(std::exchange(socket_, -1));
  }
}

bool
Stream::Write(std::string_view aBytes)
{
  while (!aBytes.empty()) {
    const ssize_t count =
      send(socket_, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

bool
Stream::Fill()
{
  std::string bytes(kReadBytes, '\0');
  const ssize_t count = recv(socket_, bytes.data(), bytes.size(), 0);
  if (count <= 0) {
    return false;
  }
  input_.append(bytes, 0, static_cast<std::size_t>(count));
  return true;
}

bool
Stream::ReadLine(std::string& aLine)
{
  std::size_t end = input_.find("\r\n");
  while (end == std::string::npos) {
    if (!Fill()) {
      return false;
    }
    end = input_.find("\r\n");
  }
  aLine = input_.substr(0, end);
  input_.erase(0, end + 2);
  return true;
}

bool
Stream::ReadBytes(std::size_t aCount, std::string& aBytes)
{
  while (input_.size() < aCount) {
    if (!Fill()) {
      return false;
    }
  }
  aBytes.append(input_, 0, aCount);
  input_.erase(0, aCount);
  return true;
}

bool
Stream::ReadChunks(std::string& aBytes)
{
  std::string line;
  while (ReadLine(line)) {
    const std::size_t size = std::strtoull(line.c_str(), nullptr, 16);
    if (size == 0) {
      return ReadLine(line);
    }
    if (!ReadBytes(size, aBytes) || !ReadLine(line)) {
      return false;
    }
  }
  return false;
}

bool
Stream::Read(Message& aMessage)
{
  aMessage = {};
  if (!ReadLine(aMessage.start)) {
    return false;
  }
  std::string line;
  while (true) {
    if (!ReadLine(line)) {
      return false;
    }
    if (line.empty()) {
      break;
    }
    const auto colon = line.find(':');
    std::string name = line.substr(0, colon);
    std::ranges::transform(name, name.begin(), [](unsigned char aCharacter) {
      return static_cast<char>(std::tolower(aCharacter));
    });
    const auto value = line.find_first_not_of(' ', colon + 1);
    aMessage.fields[name] =
      value == std::string::npos ? std::string() : line.substr(value);
  }
  if (!aMessage.Field("transfer-encoding").empty()) {
    return ReadChunks(aMessage.body);
  }
  return ReadBytes(
    std::strtoull(aMessage.Field("content-length").c_str(), nullptr, 10),
    aMessage.body);
}

int
Listen(const std::string& aAddress, int& aPort)
{
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (!Bind(listener, aAddress, 0) || listen(listener, kBacklog) != 0) {
    close(listener);
    return -1;
  }
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  aPort = ntohs(address.sin_port);
  return listener;
}

int
Connect(const std::string& aAddress, int aPort)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = MakeAddress(aAddress, aPort);
  if (connect(socket,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof address) != 0) {
    close(socket);
    return -1;
  }
  return socket;
}

Store::Store()
{
  AddListener();
}

std::string
Store::Address() const
{
  return AddressOf(0);
}

std::size_t
Store::AddListener()
{
  int port = 0;
  const int listener = Listen(kLoopback, port);
  const std::size_t number = ports_.size();
  ports_.push_back(port);
  AcceptAll(listener, [this, number](int aSocket) { Serve(aSocket, number); });
  return number;
}

std::string
Store::AddressOf(std::size_t aListener) const
{
  return std::string(kLoopback) + ":" + std::to_string(ports_.at(aListener));
}

void
Store::Silence(std::set<std::size_t> aListeners)
{
  const std::scoped_lock lock(mutex_);
  silent_ = std::move(aListeners);
}

bool
Store::IsSilent(std::size_t aListener)
{
  const std::scoped_lock lock(mutex_);
  return silent_.contains(aListener);
}

std::set<std::size_t>
Store::Watchers(const std::string& aKind)
{
  const std::scoped_lock lock(mutex_);
  std::set<std::size_t> watchers;
  for (const auto& [key, count] : waiting_) {
    if (key.first == aKind && count > 0) {
      watchers.insert(key.second);
    }
  }
  return watchers;
}

void
Store::AddChange(const std::string& aKind,
                 const Object& aObject,
                 bool aIsDeleted)
{
  Object object = aObject;
  object.revision = ++revision_;
  if (object.createdRevision == 0) {
    object.createdRevision = revision_;
  }
  if (aIsDeleted) {
    kinds_[aKind].erase(object.name);
  } else {
    kinds_[aKind][object.name] = object;
  }
  history_.push_back({ aKind, object, aIsDeleted });
  changed_.notify_all();
}

void
Store::Put(const std::string& aKind,
           const std::string& aName,
           const std::string& aSpec,
           const std::string& aStatus)
{
  const std::scoped_lock lock(mutex_);
  Object& object = kinds_[aKind][aName];
  const bool isSame =
    object.revision != 0 && object.spec == aSpec &&
    WithoutSequence(object.status) == WithoutSequence(aStatus);
  object.name = aName;
  object.spec = aSpec;
  object.status = aStatus;
  if (!isSame) {
    AddChange(aKind, Object(object), false);
  }
}

void
Store::Delete(const std::string& aKind, const std::string& aName)
{
  const std::scoped_lock lock(mutex_);
  const auto found = kinds_[aKind].find(aName);
  if (found != kinds_[aKind].end()) {
    AddChange(aKind, Object(found->second), true);
  }
}

std::string
Store::Format(const Object& aObject)
{
  return R"({"metadata":{"name":")" + aObject.name + R"(","revision":)" +
         std::to_string(aObject.revision) + R"(,"createdRev":)" +
         std::to_string(aObject.createdRevision) +
         R"(,"finalizers":[],"deleting":false},"spec":)" + aObject.spec +
         R"(,"status":)" +
         (aObject.status.empty() ? std::string("null") : aObject.status) + "}";
}

void
Store::Serve(int aSocket, std::size_t aListener)
{
  Stream stream(aSocket);
  Message request;
  bool isLost = false;
  while (stream.Read(request)) {
    // A connection on which a response is lost returns nothing further.
    isLost = isLost || IsSilent(aListener);
    if (isLost) {
      continue;
    }
    const std::string response = Respond(request, aListener);
    isLost = IsSilent(aListener);
    if (!isLost && !stream.Write(response)) {
      return;
    }
  }
}

std::string
Store::Respond(const Message& aRequest, std::size_t aListener)
{
  const std::string target = aRequest.SecondWord();
  if (!target.starts_with(kObjects)) {
    return Response(404, "{}");
  }
  const std::string path = target.substr(0, target.find('?'));
  const auto slash = path.find('/', kObjects.size());
  const std::string kind =
    path.substr(kObjects.size(), slash - kObjects.size());
  const std::string name =
    slash == std::string::npos ? std::string() : path.substr(slash + 1);
  if (!aRequest.start.starts_with("GET ")) {
    return Write(aRequest, kind, name);
  }
  if (!name.empty()) {
    const std::scoped_lock lock(mutex_);
    const auto found = kinds_[kind].find(name);
    return found == kinds_[kind].end() ? Response(404, "{}")
                                       : Response(200, Format(found->second));
  }
  const std::uint64_t watch = QueryNumber(target, "watch", 0);
  return watch == 0
           ? List(kind)
           : Watch(kind,
                   watch,
                   std::chrono::milliseconds(QueryNumber(target, "waitMs", 0)),
                   aListener);
}

std::string
Store::Write(const Message& aRequest,
             const std::string& aKind,
             std::string aName)
{
  if (aRequest.start.starts_with("DELETE ")) {
    Delete(aKind, aName);
    return Response(200, "{}");
  }
  // The gateway writes the metadata first, and its entries have no status.
  constexpr std::string_view kName = "\"name\":\"";
  constexpr std::string_view kSpec = "\"spec\":";
  const auto nameAt = aRequest.body.find(kName);
  const auto specAt = aRequest.body.find(kSpec);
  if (nameAt == std::string::npos || specAt == std::string::npos) {
    return Response(400, "{}");
  }
  const bool isCreation = aRequest.start.starts_with("POST ");
  if (isCreation) {
    const auto begin = nameAt + kName.size();
    aName = aRequest.body.substr(begin, aRequest.body.find('"', begin) - begin);
    const std::scoped_lock lock(mutex_);
    const auto found = kinds_[aKind].find(aName);
    if (found != kinds_[aKind].end()) {
      return Response(409, Format(found->second));
    }
  }
  const auto begin = specAt + kSpec.size();
  Put(aKind,
      aName,
      aRequest.body.substr(begin, aRequest.body.size() - begin - 1),
      {});
  const std::scoped_lock lock(mutex_);
  return Response(200, Format(kinds_[aKind][aName]));
}

std::string
Store::List(const std::string& aKind)
{
  const std::scoped_lock lock(mutex_);
  std::string items;
  for (const auto& [name, object] : kinds_[aKind]) {
    items += (items.empty() ? "" : ",") + Format(object);
  }
  return Response(200,
                  R"({"items":[)" + items + R"(],"hasMore":false,"asOf":)" +
                    std::to_string(revision_) + "}");
}

std::string
Store::Watch(const std::string& aKind,
             std::uint64_t aRevision,
             std::chrono::milliseconds aWait,
             std::size_t aListener)
{
  std::unique_lock lock(mutex_);
  ++waiting_[{ aKind, aListener }];
  std::string events;
  changed_.wait_for(lock, aWait, [&] {
    events.clear();
    for (const Change& change : history_) {
      if (change.kind == aKind && change.object.revision > aRevision) {
        events += std::string(events.empty() ? "" : ",") + R"({"deleted":)" +
                  (change.isDeleted ? "true" : "false") + R"(,"object":)" +
                  Format(change.object) + "}";
      }
    }
    return !events.empty();
  });
  --waiting_[{ aKind, aListener }];
  return Response(200,
                  R"({"events":[)" + events + R"(],"asOf":)" +
                    std::to_string(revision_) + "}");
}

Backend::Backend(std::string aId, std::string aService, Handler aHandler)
  : id_(std::move(aId))
  , service_(std::move(aService))
  , handler_(std::move(aHandler))
  , born_(std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count())
{
  AcceptAll(Listen(kLoopback, port_), [this](int aSocket) { Serve(aSocket); });
}

std::string
Backend::Spec() const
{
  return R"({"address":")" + std::string(kLoopback) + ":" +
         std::to_string(port_) + R"(","born":)" + std::to_string(born_) +
         R"(,"info":{"service":")" + service_ +
         R"(","slots":4,"version":"v1","zone":"zone-0"}})";
}

void
Backend::Serve(int aSocket)
{
  Stream stream(aSocket);
  Message request;
  while (stream.Read(request)) {
    const std::string expected = request.Field("expected-instance");
    if (!expected.empty() && expected != id_) {
      stream.Write("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " +
                   request.Field("request-id") + "\r\nBackend-Id: " + id_ +
                   "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    if (!handler_(stream, request)) {
      return;
    }
  }
}

std::string
Status(std::string_view aState, int aSequence)
{
  return R"({"sequence":)" + std::to_string(aSequence) + R"(,"state":")" +
         std::string(aState) + R"(","warmupLeftS":0})";
}

std::string
Success(const std::string& aRequestId, const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + aRequestId +
         "\r\nResponse-Signature: s." + aRequestId +
         "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

std::string
Rule(const std::string& aName,
     const std::string& aPrefix,
     const std::string& aType,
     const std::string& aService,
     double aTimeout)
{
  return R"({"name":")" + aName + R"(","routeType":")" + aType +
         R"(","targetLatencyS":1.2,"priority":1,"match":{"pathPrefix":")" +
         aPrefix + R"("},"action":{"service":")" + aService +
         R"(","timeoutS":)" + std::to_string(aTimeout) +
         R"(,"maxAttempts":2}})";
}

std::string
Configuration(int aVersion,
              const std::vector<std::string>& aRules,
              const std::vector<std::string>& aServices)
{
  std::string rules;
  for (const std::string& rule : aRules) {
    rules += (rules.empty() ? "" : ",") + rule;
  }
  std::string services;
  for (const std::string& service : aServices) {
    services += std::string(services.empty() ? "" : ",") + R"({"name":")" +
                service + R"(","healthPath":"/healthz","maxConnections":390})";
  }
  return R"({"version":)" + std::to_string(aVersion) +
         R"(,"limits":{"maxHeaderBytes":16384,)"
         R"("maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},)"
         R"("listeners":[{"host":"h.example","rules":[)" +
         rules + R"(]}],"clusters":[)" + services + "]}";
}

std::string
Fleet::AddressOf(std::size_t aMachine) const
{
  return "127.0.0." + std::to_string(11 + aMachine);
}

bool
Fleet::IsFree(int aFirst) const
{
  constexpr int kPorts = 20;
  for (std::size_t machine = 0; machine < count_; ++machine) {
    for (int port = aFirst; port < aFirst + kPorts; ++port) {
      const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const bool isFree = Bind(socket, AddressOf(machine), port);
      close(socket);
      if (!isFree) {
        return false;
      }
    }
  }
  return true;
}

Fleet::Fleet(const std::string& aCommand,
             std::vector<std::string> aStores,
             std::size_t aPerZone,
             const std::string& aFolder)
  : command_(aCommand)
  , stores_(std::move(aStores))
  , perZone_(aPerZone)
  , folder_(aFolder)
  , count_(stores_.size())
  , front_(20'000 + getpid() % 400 * 20)
  , processes_(count_, -1)
{
  while (!IsFree(front_)) {
    front_ += 20;
  }
  for (std::size_t machine = 0; machine < count_; ++machine) {
    std::ofstream(folder_ + "/node-" + std::to_string(machine) + ".conf")
      << ConfigurationOf(machine);
    Start(machine);
  }
}

std::string
Fleet::ConfigurationOf(std::size_t aMachine) const
{
  const auto at = [this](std::size_t aOther, int aOffset) {
    return AddressOf(aOther) + ":" + std::to_string(front_ + aOffset);
  };
  std::ostringstream text;
  text << "nodeName=edge-" << aMachine << "\nrole=gateway\nmachineClass=edge"
       << "\nserves=edge,control\nip=" << AddressOf(aMachine) << "\nzone=zone-"
       << aMachine / perZone_ << "\nregion=region"
       << "\nlisten.front=" << at(aMachine, 0)
       << "\nlisten.ready=" << at(aMachine, 1)
       << "\nlisten.control=" << at(aMachine, 2)
       << "\ninternalPortRange=" << front_ + 3 << "," << front_ + 18
       << "\nseedNodes=" << at(0, 2) << "," << at(count_ - 1, 2)
       << "\nbootstrap=true\nlimits.cpuShare=0.2\nlimits.cpuCores=1"
       << "\nlimits.memoryMb=260\nlimits.maxFds=4100\nheartbeatS=1.5"
       << "\nbounds.reuseAfterS=2\nbounds.stabilityWindowS=3"
       << "\nbounds.drainS=2\nbounds.graceS=6\nbounds.lossSlackS=0.2"
       << "\nbounds.configApplyS=2\nbounds.rollbackSlackS=0.25"
       << "\nbounds.maxStretchS=5\nbounds.retryBudgetRatio=0.2"
       << "\nbounds.budgetWindowS=10\nbounds.budgetSlack=64"
       << "\nplatform.address=" << stores_.at(aMachine)
       << "\nplatform.form=objects\n";
  return text.str();
}

void
Fleet::Start(std::size_t aMachine)
{
  std::istringstream words(command_);
  std::vector<std::string> arguments;
  for (std::string word; words >> word;) {
    arguments.push_back(word);
  }
  std::vector<char*> pointers;
  pointers.reserve(arguments.size() + 1);
  for (std::string& argument : arguments) {
    pointers.push_back(argument.data());
  }
  pointers.push_back(nullptr);
  const std::string number = std::to_string(aMachine);
  std::string variable =
    "FILBERTBEAM_NODE_FILE=" + folder_ + "/node-" + number + ".conf";
  std::array<char*, 2> environment{ variable.data(), nullptr };
  const std::string log = folder_ + "/log-" + number;
  const int output =
    open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644);
  const pid_t process = fork();
  if (process == 0) {
    // Ends with this program, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execve(pointers.front(), pointers.data(), environment.data());
    _exit(127);
  }
  close(output);
  processes_.at(aMachine) = process;
}

void
Fleet::Kill(std::size_t aMachine)
{
  const pid_t process = std::exchange(processes_.at(aMachine), -1);
  if (process > 0) {
    kill(process, SIGKILL);
    waitpid(process, nullptr, 0);
  }
}

std::uint64_t
Fleet::MemoryOf(std::size_t aMachine) const
{
  std::ifstream file("/proc/" + std::to_string(processes_.at(aMachine)) +
                     "/statm");
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

Fleet::~Fleet()
{
  for (std::size_t machine = 0; machine < count_; ++machine) {
    Kill(machine);
  }
}

bool
Fleet::WaitUntilReady() const
{
  constexpr double kLimit = 15; // seconds
  for (std::size_t machine = 0; machine < count_; ++machine) {
    bool isReady = false;
    while (!isReady && Now() < kLimit) {
      const int socket = review::Connect(AddressOf(machine), front_ + 1);
      if (socket >= 0) {
        Stream stream(socket);
        Message response;
        isReady = stream.Write("GET /filbertbeam/readyz HTTP/1.1\r\n"
                               "Host: ready\r\n\r\n") &&
                  stream.Read(response) && response.SecondWord() == "200";
      }
      if (!isReady) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
      }
    }
    if (!isReady) {
      return false;
    }
  }
  return true;
}

int
Fleet::Connect(std::size_t aMachine) const
{
  return review::Connect(AddressOf(aMachine), front_);
}

bool
Fleet::IsRunning() const
{
  return std::ranges::all_of(processes_, [](pid_t aProcess) {
    return aProcess > 0 && waitpid(aProcess, nullptr, WNOHANG) == 0;
  });
}

} // namespace review

#pragma once

// Stand-ins for the platform's store, backend servers and requesters, and the
// gateway's processes, for the cases 11 to 15. Each connection has a thread of
// its own and blocking calls, so that the order of events is plain.

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <sys/types.h>
#include <unistd.h>

namespace review {

using Seconds = std::chrono::duration<double>;

// The time since the start of the program.
double
Now();

void
SleepUntil(double aTime);

// Writes lines with their time to the record; may be called by all threads.
class Record
{
public:
  explicit Record(const std::string& aPath);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;
  void Add(const std::string& aLine);

private:
  std::mutex mutex_;
  int file_;
};

// An HTTP message; the names of its fields are in small letters.
struct Message
{
  std::string start;
  std::map<std::string, std::string> fields;
  std::string body;

  std::string Field(const std::string& aName) const;
  // The second word of the start line: the target or the status.
  std::string SecondWord() const;
};

// One end of a connection.
class Stream
{
public:
  explicit Stream(int aSocket);
  ~Stream();
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  // Returns false when the peer has closed or reset the connection.
  bool Write(std::string_view aBytes);
  // Reads a whole message. Returns false when the connection ends before its
  // end.
  bool Read(Message& aMessage);
  void Close();

private:
  bool Fill();
  bool ReadLine(std::string& aLine);
  bool ReadBytes(std::size_t aCount, std::string& aBytes);
  bool ReadChunks(std::string& aBytes);

  int socket_;
  std::string input_;
};

// Returns a listening socket at a free port of aAddress.
int
Listen(const std::string& aAddress, int& aPort);

// Returns a connected socket, or -1.
int
Connect(const std::string& aAddress, int aPort);

// The platform's store: objects with revisions, lists, and watches that wait.
class Store
{
public:
  Store();
  std::string Address() const;
  // Adds an address at which the store is served too, and returns its number.
  std::size_t AddListener();
  std::string AddressOf(std::size_t aListener) const;
  // From now on, these listeners read calls and answer none, those that wait
  // included; the others are served.
  void Silence(std::set<std::size_t> aListeners);
  // The listeners at which a watch of a kind waits.
  std::set<std::size_t> Watchers(const std::string& aKind);
  // Writes an object whole. Nothing changes if only the sequence differs, and
  // the revision then stays.
  void Put(const std::string& aKind,
           const std::string& aName,
           const std::string& aSpec,
           const std::string& aStatus);
  void Delete(const std::string& aKind, const std::string& aName);

private:
  struct Object
  {
    std::string name;
    std::string spec;
    std::string status;
    std::uint64_t createdRevision = 0;
    std::uint64_t revision = 0;
  };
  struct Change
  {
    std::string kind;
    Object object;
    bool isDeleted = false;
  };

  void Serve(int aSocket, std::size_t aListener);
  bool IsSilent(std::size_t aListener);
  std::string Respond(const Message& aRequest, std::size_t aListener);
  std::string Write(const Message& aRequest,
                    const std::string& aKind,
                    std::string aName);
  std::string List(const std::string& aKind);
  std::string Watch(const std::string& aKind,
                    std::uint64_t aRevision,
                    std::chrono::milliseconds aWait,
                    std::size_t aListener);
  static std::string Format(const Object& aObject);
  void AddChange(const std::string& aKind,
                 const Object& aObject,
                 bool aIsDeleted);

  std::vector<int> ports_;
  std::mutex mutex_;
  std::set<std::size_t> silent_;
  // Waiting watches by kind and listener.
  std::map<std::pair<std::string, std::size_t>, int> waiting_;
  std::condition_variable changed_;
  std::map<std::string, std::map<std::string, Object>> kinds_;
  std::vector<Change> history_;
  std::uint64_t revision_ = 1;
};

// A backend server. Its handler gets each request that is meant for it and
// returns false to end the connection.
class Backend
{
public:
  using Handler = std::function<bool(Stream&, const Message&)>;

  Backend(std::string aId, std::string aService, Handler aHandler);
  const std::string& Id() const { return id_; }
  // The entry in the store, without its status.
  std::string Spec() const;

private:
  void Serve(int aSocket);

  std::string id_;
  std::string service_;
  Handler handler_;
  int port_ = 0;
  std::int64_t born_;
};

// The status that a backend writes.
std::string
Status(std::string_view aState, int aSequence);

// A signed success with aBody.
std::string
Success(const std::string& aRequestId, const std::string& aBody);

// A route for the configuration.
std::string
Rule(const std::string& aName,
     const std::string& aPrefix,
     const std::string& aType,
     const std::string& aService,
     double aTimeout);

// A version of the configuration with these rules and services.
std::string
Configuration(int aVersion,
              const std::vector<std::string>& aRules,
              const std::vector<std::string>& aServices);

// The gateway's processes, one for each machine with an address of its own.
class Fleet
{
public:
  // aCommand is the command of the deploy file. Each of aStores is the address
  // of the store for one machine; each zone has aPerZone machines.
  Fleet(const std::string& aCommand,
        std::vector<std::string> aStores,
        std::size_t aPerZone,
        const std::string& aFolder);
  // Ends the processes.
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Returns false if a process isn't ready after some seconds.
  bool WaitUntilReady() const;
  int Connect(std::size_t aMachine) const;
  // True while all processes run.
  bool IsRunning() const;
  std::size_t Count() const { return count_; }
  // The memory that a machine's process has in use, in bytes.
  std::uint64_t MemoryOf(std::size_t aMachine) const;
  // Ends a machine's process at once.
  void Kill(std::size_t aMachine);
  // Starts the process of a machine that has none.
  void Start(std::size_t aMachine);

private:
  std::string ConfigurationOf(std::size_t aMachine) const;
  std::string AddressOf(std::size_t aMachine) const;
  bool IsFree(int aFirst) const;

  std::string command_;
  std::vector<std::string> stores_;
  std::size_t perZone_;
  std::string folder_;
  std::size_t count_;
  int front_ = 0;
  std::vector<pid_t> processes_;
};

} // namespace review

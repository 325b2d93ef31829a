// Stand-ins for the platform's store, its servers and clients, for the cases of this review.
//
// They speak what PROTOCOL.md says, over blocking sockets with a thread per connection.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace rig {

using Fields = std::vector<std::pair<std::string, std::string>>;

/// Seconds since the start of the program.
double now();
void sleepFor(double seconds);
/// A number from 0 to 1.
double chance();

/// Writes one line to the record: what was sent, answered and run.
void record(const std::string &line);
void openRecord(const std::string &path);

std::string findField(const Fields &fields, const std::string &name);
bool hasField(const Fields &fields, const std::string &name);

struct Message
{
    std::string startLine;
    Fields fields;
    std::string body;
    /// The second word of the start line.
    std::string word(std::size_t index) const;
};

/// A connected socket with a buffer.
class Stream
{
public:
    explicit Stream(int descriptor) : descriptor(descriptor) { }
    ~Stream();
    Stream(const Stream &) = delete;

    /// Connects to 127.0.0.1. Returns null if that fails.
    static std::unique_ptr<Stream> connectTo(int port);
    bool write(const std::string &bytes);
    /// Returns nothing if the connection ends or is silent for longer than the time limit.
    std::optional<Message> read(double timeLimit, bool bodyEndsWithConnection = false);
    void shutdown();

private:
    bool fill(double until);
    int descriptor;
    std::string buffer;
    std::mutex writing;
};

/// Accepts connections on a free port of 127.0.0.1 and serves each in a thread.
class Listener
{
public:
    using Handler = std::function<void(Stream &)>;
    void start(Handler handler);
    void stop();
    int port() const { return this->boundPort; }

private:
    int descriptor = -1;
    int boundPort = 0;
    std::thread acceptor;
    std::mutex mutex;
    std::vector<std::thread> threads;
    std::set<Stream *> streams;
    std::atomic<bool> stopping = false;
};

/// The platform's store.
class Store
{
public:
    void start();
    void stop();
    int port() const { return this->listener.port(); }
    void put(const std::string &key, const std::string &value, std::uint64_t lease = 0);
    void remove(const std::string &key);

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
        bool removed = false;
        std::string key;
    };
    struct Lease
    {
        double until = 0.0;
        double timeToLive = 0.0;
    };
    void serve(Stream &stream);
    std::pair<int, std::string> answer(const Message &request);
    void endExpiredLeases();
    void putLocked(const std::string &key, const std::string &value, std::uint64_t lease);
    void removeLocked(const std::string &key);
    void endLeaseLocked(std::uint64_t lease);
    static std::string describe(const Item &item);

    Listener listener;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Item> items;
    std::vector<Item> history;
    std::map<std::uint64_t, Lease> leases;
    std::uint64_t revision = 10;
    std::uint64_t lastLease = 100;
    bool stopping = false;
};

/// A request that a server began to work on.
struct Run
{
    double at = 0.0;
    std::string id;
    std::string service;
    std::string server;
    std::string path;
    Fields fields;
};

/// Keeps the runs of all servers.
class Runs
{
public:
    void add(const Run &run);
    std::vector<Run> all() const;
    /// The numbers of runs by request id.
    std::map<std::string, int> counts() const;

private:
    mutable std::mutex mutex;
    std::vector<Run> runs;
};

/// A server of the platform: works on `slots` requests at a time, queues some more and says that it
/// has not run what is beyond.
class Server
{
public:
    Server(std::string id, std::string service, std::string zone, int slots, double workSeconds,
           Runs &runs);
    void start();
    void stop();
    const std::string &id() const { return this->serverId; }
    const std::string &service() const { return this->serviceName; }
    int port() const { return this->listener.port(); }
    /// The entry under servers/ID, with the next sequence number.
    std::string entry();
    std::string stampFor(const std::string &requestId) const;

    /// Called when a request was read, before it is looked at. Writes whatever a fault sends here.
    std::function<void(Stream &, int connection, const std::string &requestId)> onArrival;
    /// Called when a request has run. Returns the answer; an empty text stands for the usual one.
    std::function<std::string(const Message &, const std::string &requestId)> onAnswer;
    /// Called when the usual answer was written.
    std::function<void(int connection, const std::string &requestId)> onAnswered;

private:
    void serve(Stream &stream);
    bool takeSlot();
    void freeSlot();

    std::string serverId;
    std::string serviceName;
    std::string zone;
    int slots;
    double workSeconds;
    Runs &runs;
    Listener listener;
    std::atomic<int> sequence = 0;
    std::atomic<int> connections = 0;
    std::int64_t bornMs;
    std::mutex mutex;
    std::condition_variable slotFree;
    int running = 0;
    int waiting = 0;
};

/// Writes the servers' entries to the store again each 1.2 s, as the platform says.
class Heartbeats
{
public:
    Heartbeats(Store &store, std::vector<Server *> servers);
    ~Heartbeats();

private:
    std::atomic<bool> stopping = false;
    std::thread thread;
};

/// One process of the system, started with the command of the deploy file.
class Node
{
public:
    /// `directory` receives the settings and the log.
    Node(const std::string &name, const std::string &zone, int storePort,
         const std::string &directory);
    ~Node();
    /// Both outputs of the process go to the descriptor, or to a file if it is negative.
    void start(int output = -1);
    bool waitUntilReady(double seconds);
    void stop();
    void signal(int number);
    int port() const { return this->ports[0]; }
    const std::string &name() const { return this->nodeName; }

private:
    std::string nodeName;
    std::string settingsFile;
    std::string logFile;
    std::vector<int> ports;
    pid_t pid = -1;
};

/// A process that reads what the other end of a pipe gets, like the collector of the logs.
class LogReader
{
public:
    LogReader();
    ~LogReader();
    int descriptor() const { return this->ends[1]; }
    void signal(int number);

private:
    int ends[2] {-1, -1};
    pid_t pid = -1;
};

/// Starts the processes and waits until all are ready. Ends the program with 2 if one is not.
void startAll(const std::vector<std::unique_ptr<Node>> &nodes);

struct Answer
{
    /// 0 if the connection ended without a complete answer.
    int status = 0;
    Fields fields;
    std::string body;
};

/// A client that keeps its connection open.
class Client
{
public:
    explicit Client(int port) : port(port) { }
    Answer call(const std::string &method, const std::string &path, const std::string &id,
                const std::string &body = "", int timeLimitMs = 2000, const Fields &extra = {});

private:
    int port;
    std::unique_ptr<Stream> stream;
};

struct RouteText
{
    std::string name;
    std::string prefix;
    std::string type;
    /// JSON of the members that name the services, e.g. "service":"a".
    std::string services;
};

/// The text of a config.
std::string configText(int version, const std::vector<RouteText> &routes,
                       const std::vector<std::string> &services, const std::string &more = "");

/// Whether the disruption is played.
bool hasTrouble();

} // namespace rig

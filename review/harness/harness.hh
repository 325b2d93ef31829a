#pragma once

// What the scripts of the review share: the platform's store, servers, clients, the balancer's
// readiness check, and the daemons as separate processes. Every address is a loopback address.

#include "standins/event_loop.h"
#include "standins/http_server.h"
#include "standins/platform_store.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

/// Exit codes of a case.
constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitCannotRun = 2;

/// Seconds since the start of the case.
double now();
void sleepUntil(double at);
/// Returns whether the environment asks for the disruption: TROUBLE is not 0.
bool withTrouble();
/// Ends the case as "could not run" and kills its processes.
[[noreturn]] void giveUp(const std::string &why);

/// Writes what was sent, answered and run, one line each, with the time.
class Record
{
public:
    explicit Record(const std::string &path);
    void line(const std::string &text);

private:
    std::mutex mutex;
    std::ofstream file;
};

/// The store and the servers, which run in the thread of one event loop.
class World
{
public:
    World();
    ~World();

    /// Runs a function in the loop's thread and waits for its end.
    void run(const std::function<void()> &function);
    lagoondeck::EventLoop &loop() { return this->eventLoop; }
    lagoondeck::PlatformStore &store() { return *this->platformStore; }
    const std::string &storeAddress() const { return this->address; }
    /// Writes a key as the operator or another writer. Returns when the store has confirmed it.
    double put(const std::string &key, const std::string &value);

private:
    void takeTasks();

    lagoondeck::EventLoop eventLoop;
    std::unique_ptr<lagoondeck::PlatformStore> platformStore;
    std::string address;
    std::mutex mutex;
    std::condition_variable done;
    std::deque<std::function<void()>> tasks;
    std::uint64_t queued = 0;
    std::uint64_t finished = 0;
    std::thread thread;
};

/// One run of a request at a server.
struct Run
{
    std::string requestId;
    std::string method;
    std::string path;
    std::string service;
    std::string server;
    double begin = 0.0;
    double end = -1.0; ///< -1 until the answer was sent.
};

/// A sound server: runs each request for a given time, and refuses those for other instances.
class Server
{
public:
    using WorkTime = std::function<std::chrono::microseconds()>;
    Server(World &world, Record &record, std::string id, std::string service, std::string zone,
           WorkTime workTime);

    /// Registers in the store and writes a heartbeat every 1.2 s.
    void registerEntry();
    /// Requests whose path begins so crash the process, which starts again after some seconds.
    void setCrashPath(std::string prefix) { this->crashPath = std::move(prefix); }
    std::vector<Run> runs() const;

private:
    void onRequest(lagoondeck::HttpConnection &connection,
                   const lagoondeck::ReceivedRequest &request);
    void beat();
    void crash();

    World &world;
    Record &record;
    std::string id;
    std::string service;
    std::string zone;
    WorkTime workTime;
    std::unique_ptr<lagoondeck::HttpServer> server;
    std::uint64_t sequence = 0;
    std::int64_t born = 0;
    std::string crashPath;
    bool isUp = true;
    mutable std::mutex mutex;
    std::vector<Run> allRuns;
};

/// A machine with one daemon, started with the command and the settings of the deploy file.
class Node
{
public:
    Node(std::string name, std::string zone, std::string ip);
    const std::string &name() const { return this->nodeName; }
    const std::string &zone() const { return this->nodeZone; }
    std::string front() const { return this->ip + ":8226"; }
    std::string ready() const { return this->ip + ":8227"; }
    std::string control() const { return this->ip + ":8224"; }
    void start(const World &world, const std::vector<std::string> &seeds, bool bootstrap,
               Record &record);
    void signal(int number, Record &record);
    /// Returns true once after the process has ended.
    bool hasEnded(Record &record);
    bool isRunning() const { return this->pid > 0; }

private:
    std::string nodeName;
    std::string nodeZone;
    std::string ip;
    pid_t pid = 0;
};

/// Returns loopback addresses that are free on the ports that a machine uses.
std::vector<std::string> freeLoopbackAddresses(std::size_t count);

/// What a client saw of one request.
struct Answer
{
    bool connected = false;
    /// When the last byte of the request was sent; -1 if it was not.
    double sentAt = -1.0;
    double endedAt = -1.0;
    /// The status of a complete answer; 0 if there was none.
    int status = 0;
    bool timedOut = false;
    std::string head;
    std::string body;

    std::string header(const std::string &name) const;
};

/// Sends bytes on a new connection and reads one answer, for the given time at most.
Answer call(const std::string &address, const std::string &bytes, double timeLimit);
/// Sends bytes on a new connection and returns all that comes back until the connection ends or the
/// time has passed.
std::string exchange(const std::string &address, const std::string &bytes, double timeLimit);

/// Checks once a second whether the nodes are ready, as the platform does, and chooses nodes for
/// new connections.
class Balancer
{
public:
    Balancer(std::vector<Node *> nodes, Record &record);
    ~Balancer();
    /// Returns the node of the zone for a client's new connection.
    Node *choose(const std::string &zone, std::uint64_t hash);
    bool allReady();

private:
    void check();
    std::vector<Node *> usable(const std::string &zone);

    struct State
    {
        int misses = 2;
        bool inRotation = false;
    };
    std::vector<Node *> nodes;
    Record &record;
    std::mutex mutex;
    std::map<Node *, State> states;
    std::atomic<bool> stopping = false;
    std::thread thread;
};

/// Kills and reaps all processes that the case started.
void endAll();

} // namespace review

#include "review/harness/harness.hh"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <sstream>

namespace review {

using namespace lagoondeck;
using nlohmann::json;

namespace {

const auto startedAt = std::chrono::steady_clock::now();
constexpr double heartbeat = 1.2;
/// How long a crashed server is away.
constexpr auto crashTime = std::chrono::seconds(3);
/// The longest time that a case may run.
constexpr unsigned maxRunSeconds = 118;

std::mutex processMutex;
std::set<pid_t> processes;

std::string temporaryFolder()
{
    static const std::string folder = [] {
        std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        if (mkdtemp(pattern.data()) == nullptr) {
            giveUp("no temporary folder");
        }
        return pattern;
    }();
    return folder;
}

void onAlarm(int)
{
    for (const pid_t pid : processes) {
        kill(pid, SIGKILL);
    }
    _exit(exitCannotRun);
}

const bool alarmSet = [] {
    std::signal(SIGALRM, onAlarm);
    std::signal(SIGTERM, onAlarm);
    std::signal(SIGINT, onAlarm);
    std::signal(SIGPIPE, SIG_IGN);
    alarm(maxRunSeconds);
    return true;
}();

sockaddr_in toAddress(const std::string &text)
{
    const std::size_t colon = text.find(':');
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

/// Fills in a template as the platform does.
class Template
{
public:
    explicit Template(const json &fields) : fields(fields) { }

    std::string fill(const std::string &text, const json *entry = nullptr,
                     bool isLast = false) const
    {
        std::string out;
        for (std::size_t at = 0; at < text.size();) {
            const std::size_t open = text.find("{{", at);
            if (open == std::string::npos) {
                return out + text.substr(at);
            }
            out += text.substr(at, open - at);
            const std::size_t close = text.find("}}", open);
            const std::string name = text.substr(open + 2, close - open - 2);
            at = close + 2;
            if (name[0] == '#' || name[0] == '^') {
                const std::string endTag = "{{/" + name.substr(1) + "}}";
                const std::size_t end = text.find(endTag, at);
                const std::string section = text.substr(at, end - at);
                at = end + endTag.size();
                const json *value = this->find(name.substr(1));
                const bool present = value != nullptr && *value != false;
                if (name[0] == '^') {
                    out += present ? "" : this->fill(section, entry, isLast);
                } else if (present && value->is_array()) {
                    for (std::size_t i = 0; i < value->size(); ++i) {
                        out += this->fill(section, &(*value)[i], i + 1 == value->size());
                    }
                } else if (present) {
                    out += this->fill(section, entry, isLast);
                }
            } else if (name == ",") {
                out += isLast ? "" : ",";
            } else if (const json *value = name == "." ? entry : this->find(name)) {
                out += value->is_string() ? value->get<std::string>() : value->dump();
            }
        }
        return out;
    }

private:
    const json *find(const std::string &path) const
    {
        const json *value = &this->fields;
        std::stringstream parts(path);
        for (std::string part; std::getline(parts, part, '.');) {
            if (value->is_array() && std::isdigit(static_cast<unsigned char>(part[0])) != 0) {
                value = &value->at(std::stoul(part));
            } else if (value->is_object() && value->contains(part)) {
                value = &value->at(part);
            } else {
                return nullptr;
            }
        }
        return value;
    }

    const json &fields;
};

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        giveUp("can't read " + path);
    }
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Returns the command of the deploy file, with the path of the settings.
std::vector<std::string> command(const std::string &settingsPath)
{
    const std::string deploy = readFile("deploy/system.toml");
    const std::size_t at = deploy.find("\nrun = \"");
    const std::size_t begin = at + 8;
    std::stringstream words(deploy.substr(begin, deploy.find('"', begin) - begin));
    std::vector<std::string> all;
    for (std::string word; words >> word;) {
        all.push_back(word == "/etc/lagoondeck/node.toml" ? settingsPath : word);
    }
    return all;
}

} // namespace

namespace {

std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

} // namespace

double now()
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - startedAt).count();
}

void sleepUntil(double at)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(std::max(at - now(), 0.0)));
}

bool withTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

void endAll()
{
    const std::lock_guard lock(processMutex);
    for (const pid_t pid : processes) {
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
    }
    processes.clear();
    std::error_code ignored;
    if (std::getenv("REVIEW_KEEP") == nullptr) {
        std::filesystem::remove_all(temporaryFolder(), ignored);
    }
}

void giveUp(const std::string &why)
{
    std::cerr << "the case could not run: " << why << "\n";
    endAll();
    _exit(exitCannotRun);
}

Record::Record(const std::string &path) : file(path, std::ios::trunc)
{
    if (!this->file) {
        giveUp("can't write " + path);
    }
}

void Record::line(const std::string &text)
{
    char time[32];
    std::snprintf(time, sizeof time, "%9.4f ", now());
    const std::lock_guard lock(this->mutex);
    this->file << time << text << "\n" << std::flush;
}

World::World()
{
    this->platformStore = std::make_unique<PlatformStore>(this->eventLoop, "127.0.0.1:0");
    this->platformStore->start();
    this->address = this->platformStore->boundAddress();
    this->takeTasks();
    this->thread = std::thread([this] { this->eventLoop.run(); });
}

World::~World()
{
    this->eventLoop.stop();
    this->thread.join();
}

void World::takeTasks()
{
    std::unique_lock lock(this->mutex);
    while (!this->tasks.empty()) {
        const auto task = std::move(this->tasks.front());
        this->tasks.pop_front();
        lock.unlock();
        task();
        lock.lock();
        ++this->finished;
        this->done.notify_all();
    }
    this->eventLoop.after(std::chrono::milliseconds(1), [this] { this->takeTasks(); });
}

void World::run(const std::function<void()> &function)
{
    std::unique_lock lock(this->mutex);
    this->tasks.push_back(function);
    const std::uint64_t number = ++this->queued;
    this->done.wait(lock, [&] { return this->finished >= number; });
}

double World::put(const std::string &key, const std::string &value)
{
    this->run([&] { this->platformStore->put(key, value); });
    return now();
}

Server::Server(World &world, Record &record, std::string id, std::string service, std::string zone,
               WorkTime workTime)
    : world(world), record(record), id(std::move(id)), service(std::move(service)),
      zone(std::move(zone)), workTime(std::move(workTime))
{
    this->born = unixMilliseconds();
    this->world.run([this] {
        this->server = std::make_unique<HttpServer>(
                this->world.loop(), "127.0.0.1:0",
                HttpHandlers {[this](HttpConnection &connection, const ReceivedRequest &request) {
                                  this->onRequest(connection, request);
                              },
                              {},
                              {}});
        this->server->listen();
    });
}

void Server::registerEntry()
{
    this->world.run([this] { this->beat(); });
}

void Server::crash()
{
    this->record.line("server " + this->id + " crashes");
    this->isUp = false;
    this->server->closeAll();
    this->world.loop().after(crashTime, [this] {
        this->isUp = true;
        this->born = unixMilliseconds();
        this->sequence = 0;
        this->server->listen();
        this->record.line("server " + this->id + " is back");
    });
}

void Server::beat()
{
    this->world.loop().after(std::chrono::milliseconds(static_cast<int>(heartbeat * 1000)),
                             [this] { this->beat(); });
    if (!this->isUp) {
        return;
    }
    this->world.store().put("servers/" + this->id,
                            json {{"service", this->service},
                                  {"address", this->server->boundAddress()},
                                  {"zone", this->zone},
                                  {"version", "v1"},
                                  {"slots", 4},
                                  {"state", "ready"},
                                  {"warmup_left_ms", 0},
                                  {"sequence", ++this->sequence},
                                  {"born", this->born}}
                                    .dump());
}

void Server::onRequest(HttpConnection &connection, const ReceivedRequest &request)
{
    const std::string requestId = request.header("Request-Id");
    if (request.header("Expect-Instance") != this->id) {
        connection.reply(421, {{"Instance-Id", this->id}}, "");
        return;
    }
    std::size_t index = 0;
    {
        const std::lock_guard lock(this->mutex);
        index = this->allRuns.size();
        this->allRuns.push_back({requestId, request.head.getMethod(), request.head.getURI(),
                                 this->service, this->id, now()});
    }
    this->record.line("run " + requestId + " " + request.head.getMethod() + " "
                      + request.head.getURI() + " at " + this->id + " of " + this->service);
    if (!this->crashPath.empty() && request.head.getURI().starts_with(this->crashPath)) {
        // The connection is still in use, so it ends after this call.
        this->world.loop().after(std::chrono::microseconds(0), [this] {
            if (this->isUp) {
                this->crash();
            }
        });
        return;
    }
    const std::uint64_t number = connection.number();
    this->world.loop().after(this->workTime(), [this, number, index, requestId] {
        const auto found = this->server->find(number);
        if (found == nullptr) {
            this->record.line("server " + this->id + ": the connection of " + requestId
                              + " was closed before the answer");
            return;
        }
        {
            const std::lock_guard lock(this->mutex);
            this->allRuns[index].end = now();
        }
        found->reply(200, {{"Request-Id", requestId}, {"Server-Stamp", this->id + "." + requestId}},
                     "answer of " + this->service + " to " + requestId);
    });
}

std::vector<Run> Server::runs() const
{
    const std::lock_guard lock(this->mutex);
    return this->allRuns;
}

Node::Node(std::string name, std::string zone, std::string ip)
    : nodeName(std::move(name)), nodeZone(std::move(zone)), ip(std::move(ip))
{ }

void Node::start(const World &world, const std::vector<std::string> &seeds, bool bootstrap,
                 Record &record)
{
    const json fields {
            {"node_name", this->nodeName},
            {"zone", this->nodeZone},
            {"ip", this->ip},
            {"internal_ports", {7740, 7755}},
            {"seeds", seeds},
            {"bootstrap", bootstrap},
            {"listen",
             {{"front", this->front()}, {"ready", this->ready()}, {"control", this->control()}}},
            {"limits", {{"cpu_share", 0.25}, {"cores", 1}, {"link_mbps", 1000.0}}},
            {"bounds",
             {{"drain_ms", 3000},
              {"grace_s", 6},
              {"config_apply_ms", 3000},
              {"retry_budget_ratio", 0.2},
              {"budget_window_s", 10},
              {"budget_slack", 52}}},
            {"platform", {{"address", world.storeAddress()}, {"min_ttl_ms", 1000}}}};
    const std::string path = temporaryFolder() + "/" + this->nodeName + ".json";
    std::ofstream(path) << Template(fields).fill(readFile("deploy/settings.json"));
    const std::vector<std::string> words = command(path);
    std::vector<char *> arguments;
    for (const std::string &word : words) {
        arguments.push_back(const_cast<char *>(word.c_str()));
    }
    arguments.push_back(nullptr);
    const std::string logPath = temporaryFolder() + "/" + this->nodeName + ".log";
    const pid_t parent = getpid();
    const std::lock_guard lock(processMutex);
    const pid_t child = fork();
    if (child == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(1);
        }
        for (const int number : {SIGALRM, SIGTERM, SIGINT, SIGPIPE}) {
            std::signal(number, SIG_DFL);
        }
        const int log = open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        const long maxDescriptor = sysconf(_SC_OPEN_MAX);
        for (int descriptor = 3; descriptor < std::min(maxDescriptor, 4096L); ++descriptor) {
            close(descriptor);
        }
        execv(arguments[0], arguments.data());
        _exit(127);
    }
    if (child < 0) {
        giveUp("fork failed");
    }
    this->pid = child;
    processes.insert(child);
    record.line("node " + this->nodeName + ": started");
}

void Node::signal(int number, Record &record)
{
    if (this->pid > 0) {
        record.line("node " + this->nodeName + ": signal " + std::to_string(number));
        kill(this->pid, number);
    }
}

bool Node::hasEnded(Record &record)
{
    const std::lock_guard lock(processMutex);
    int status = 0;
    if (this->pid <= 0 || waitpid(this->pid, &status, WNOHANG) != this->pid) {
        return false;
    }
    processes.erase(this->pid);
    this->pid = 0;
    record.line("node " + this->nodeName + ": ended, "
                + (WIFEXITED(status) ? "exit " + std::to_string(WEXITSTATUS(status))
                                     : "signal " + std::to_string(WTERMSIG(status))));
    return true;
}

std::vector<std::string> freeLoopbackAddresses(std::size_t count)
{
    std::random_device seed;
    std::vector<std::string> found;
    for (int tries = 0; tries < 2000 && found.size() < count; ++tries) {
        const std::string ip = "127." + std::to_string(16 + seed() % 200) + "."
                + std::to_string(1 + seed() % 250) + "." + std::to_string(1 + seed() % 250);
        bool isFree = std::ranges::find(found, ip) == found.end();
        for (const char *port : {":8224", ":8226", ":8227", ":7740", ":9464"}) {
            const int probe = socket(AF_INET, SOCK_STREAM, 0);
            const sockaddr_in address = toAddress(ip + port);
            isFree = isFree
                    && bind(probe, reinterpret_cast<const sockaddr *>(&address), sizeof address)
                            == 0;
            close(probe);
        }
        if (isFree) {
            found.push_back(ip);
        }
    }
    if (found.size() < count) {
        giveUp("no free loopback addresses");
    }
    return found;
}

std::string Answer::header(const std::string &name) const
{
    std::stringstream lines(this->head);
    for (std::string line; std::getline(lines, line);) {
        if (line.size() > name.size() && line[name.size()] == ':'
            && strncasecmp(line.c_str(), name.c_str(), name.size()) == 0) {
            std::string value = line.substr(name.size() + 1);
            value.erase(0, value.find_first_not_of(' '));
            while (!value.empty() && value.back() == '\r') {
                value.pop_back();
            }
            return value;
        }
    }
    return "";
}

namespace {

/// Connects and sends the bytes. Returns the socket, or -1.
int sendOn(const std::string &address, const std::string &bytes, double until, Answer &answer)
{
    const int connection = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in to = toAddress(address);
    const auto waitFor = [&](short events) {
        pollfd ready {connection, events, 0};
        return poll(&ready, 1, std::max(static_cast<int>((until - now()) * 1000), 0)) > 0;
    };
    if (connect(connection, reinterpret_cast<const sockaddr *>(&to), sizeof to) != 0
        && (errno != EINPROGRESS || !waitFor(POLLOUT))) {
        close(connection);
        return -1;
    }
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(connection, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
        close(connection);
        return -1;
    }
    answer.connected = true;
    const int on = 1;
    setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    for (std::size_t sent = 0; sent < bytes.size();) {
        const ssize_t count =
                send(connection, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count > 0) {
            sent += static_cast<std::size_t>(count);
        } else if (errno != EAGAIN || !waitFor(POLLOUT)) {
            close(connection);
            return -1;
        }
    }
    answer.sentAt = now();
    return connection;
}

/// Reads what is there within the time. Returns false at the end of the connection.
bool readMore(int connection, std::string &text, double until, bool &timedOut)
{
    pollfd ready {connection, POLLIN, 0};
    if (poll(&ready, 1, std::max(static_cast<int>((until - now()) * 1000), 0)) <= 0) {
        timedOut = true;
        return false;
    }
    char buffer[16384];
    const ssize_t count = recv(connection, buffer, sizeof buffer, 0);
    if (count <= 0) {
        return false;
    }
    text.append(buffer, static_cast<std::size_t>(count));
    return true;
}

} // namespace

Answer call(const std::string &address, const std::string &bytes, double timeLimit)
{
    Answer answer;
    const double until = now() + timeLimit;
    const int connection = sendOn(address, bytes, until, answer);
    if (connection < 0) {
        answer.endedAt = now();
        return answer;
    }
    std::string text;
    while (true) {
        const std::size_t headEnd = text.find("\r\n\r\n");
        if (headEnd != std::string::npos) {
            answer.head = text.substr(0, headEnd + 2);
            const std::string length = answer.header("Content-Length");
            const std::size_t size = length.empty() ? 0 : std::stoul(length);
            if (text.size() >= headEnd + 4 + size) {
                answer.body = text.substr(headEnd + 4, size);
                answer.status = std::atoi(answer.head.c_str() + 9);
                break;
            }
        }
        if (!readMore(connection, text, until, answer.timedOut)) {
            break;
        }
    }
    answer.endedAt = now();
    close(connection);
    return answer;
}

std::string exchange(const std::string &address, const std::string &bytes, double timeLimit)
{
    Answer answer;
    const double until = now() + timeLimit;
    const int connection = sendOn(address, bytes, until, answer);
    std::string text;
    bool timedOut = false;
    while (connection >= 0 && readMore(connection, text, until, timedOut)) { }
    if (connection >= 0) {
        close(connection);
    }
    return text;
}

Balancer::Balancer(std::vector<Node *> nodes, Record &record)
    : nodes(std::move(nodes)), record(record)
{
    for (Node *node : this->nodes) {
        this->states[node];
    }
    this->thread = std::thread([this] {
        for (double next = now(); !this->stopping; next += 1.0) {
            this->check();
            while (!this->stopping && now() < next + 1.0) {
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
            }
        }
    });
}

Balancer::~Balancer()
{
    this->stopping = true;
    this->thread.join();
}

void Balancer::check()
{
    for (Node *node : this->nodes) {
        const Answer answer =
                call(node->ready(), "GET /lagoondeck/ready HTTP/1.1\r\nHost: x\r\n\r\n", 0.5);
        const std::lock_guard lock(this->mutex);
        State &state = this->states[node];
        state.misses = answer.status == 200 ? 0 : state.misses + 1;
        const bool inRotation = state.misses == 0 || (state.inRotation && state.misses < 2);
        if (inRotation != state.inRotation) {
            this->record.line("balancer: " + node->name()
                              + (inRotation ? " in rotation" : " out of rotation"));
        }
        state.inRotation = inRotation;
    }
}

bool Balancer::allReady()
{
    const std::lock_guard lock(this->mutex);
    return std::ranges::all_of(this->states,
                               [](const auto &entry) { return entry.second.inRotation; });
}

std::vector<Node *> Balancer::usable(const std::string &zone)
{
    std::vector<Node *> all;
    std::vector<Node *> rotating;
    std::vector<Node *> elsewhere;
    for (Node *node : this->nodes) {
        const bool inRotation = this->states[node].inRotation;
        if (node->zone() == zone) {
            all.push_back(node);
            if (inRotation) {
                rotating.push_back(node);
            }
        } else if (inRotation) {
            elsewhere.push_back(node);
        }
    }
    if (rotating.empty() && !elsewhere.empty()) {
        return elsewhere;
    }
    // With fewer than half of the zone's nodes in rotation, all of them are used.
    return rotating.size() * 2 < all.size() ? all : rotating;
}

Node *Balancer::choose(const std::string &zone, std::uint64_t hash)
{
    const std::lock_guard lock(this->mutex);
    const std::vector<Node *> candidates = this->usable(zone);
    return candidates.empty() ? nullptr : candidates[hash % candidates.size()];
}

} // namespace review

#include "review/rig-3/rig.hh"

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
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <random>
#include <sstream>
#include <strings.h>

namespace rig {

namespace {

constexpr double serverIdleSeconds = 5.0;
constexpr int queueLength = 12;
constexpr double heartbeatSeconds = 1.2;

std::mutex recordMutex;
std::ofstream recordFile;

sockaddr_in loopback(int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// Returns a free port below the range from which the system takes the ports of clients.
int freePort()
{
    constexpr int first = 20000;
    constexpr int count = 12000;
    static std::set<int> taken;
    for (int tries = 0; tries < 1000; ++tries) {
        const int port = first + static_cast<int>(chance() * (count - 1));
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(port);
        const bool isFree =
                bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
        close(descriptor);
        if (isFree && taken.insert(port).second) {
            return port;
        }
    }
    std::puts("no free port");
    std::exit(2);
}

constexpr char base64Digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encodeBase64(const std::string &bytes)
{
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t j = 0; j < 3; ++j) {
            group = group << 8U
                    | (j < count ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            out += j <= count ? base64Digits[group >> (18 - 6 * j) & 63U] : '=';
        }
    }
    return out;
}

std::string decodeBase64(const std::string &text)
{
    std::string out;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char c : text) {
        const char *digit = c == '\0' ? nullptr : std::strchr(base64Digits, c);
        if (digit == nullptr) {
            break;
        }
        bits = bits << 6U | static_cast<std::uint32_t>(digit - base64Digits);
        if (++count == 4) {
            out += static_cast<char>(bits >> 16U);
            out += static_cast<char>(bits >> 8U);
            out += static_cast<char>(bits);
            count = 0;
        }
    }
    if (count >= 2) {
        bits <<= 6U * static_cast<unsigned>(4 - count);
        out += static_cast<char>(bits >> 16U);
        if (count == 3) {
            out += static_cast<char>(bits >> 8U);
        }
    }
    return out;
}

std::string decodeQuery(const std::string &text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

std::string queryValue(const std::string &target, const std::string &name)
{
    const std::size_t question = target.find('?');
    std::istringstream query(question == std::string::npos ? "" : target.substr(question + 1));
    for (std::string pair; std::getline(query, pair, '&');) {
        if (pair.rfind(name + "=", 0) == 0) {
            return decodeQuery(pair.substr(name.size() + 1));
        }
    }
    return "";
}

/// Returns the text or number of a member. The bodies of the calls hold each name once, apart from
/// "key" in "puts", which come without conditions.
std::string jsonMember(const std::string &text, const std::string &name)
{
    const std::size_t at = text.find("\"" + name + "\":");
    if (at == std::string::npos) {
        return "";
    }
    const std::size_t begin = at + name.size() + 3;
    if (text[begin] == '"') {
        return text.substr(begin + 1, text.find('"', begin + 1) - begin - 1);
    }
    return text.substr(begin, text.find_first_of(",}]", begin) - begin);
}

} // namespace

double now()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

void sleepFor(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

double chance()
{
    static std::mutex mutex;
    static std::mt19937_64 engine(std::random_device {}());
    const std::scoped_lock lock(mutex);
    return std::uniform_real_distribution<double>(0.0, 1.0)(engine);
}

void openRecord(const std::string &path)
{
    recordFile.open(path, std::ios::trunc);
}

void record(const std::string &line)
{
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", now());
    const std::scoped_lock lock(recordMutex);
    recordFile << time << line << std::endl;
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

std::string findField(const Fields &fields, const std::string &name)
{
    for (const auto &[key, value] : fields) {
        if (strcasecmp(key.c_str(), name.c_str()) == 0) {
            return value;
        }
    }
    return "";
}

bool hasField(const Fields &fields, const std::string &name)
{
    return std::any_of(fields.begin(), fields.end(), [&](const auto &field) {
        return strcasecmp(field.first.c_str(), name.c_str()) == 0;
    });
}

std::string Message::word(std::size_t index) const
{
    std::istringstream words(this->startLine);
    std::string word;
    for (std::size_t i = 0; i <= index; ++i) {
        words >> word;
    }
    return word;
}

Stream::~Stream()
{
    close(this->descriptor);
}

std::unique_ptr<Stream> Stream::connectTo(int port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        close(descriptor);
        return nullptr;
    }
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return std::make_unique<Stream>(descriptor);
}

bool Stream::write(const std::string &bytes)
{
    const std::scoped_lock lock(this->writing);
    for (std::size_t sent = 0; sent < bytes.size();) {
        const ssize_t count = send(this->descriptor, bytes.data() + sent, bytes.size() - sent,
                                   MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool Stream::fill(double until)
{
    pollfd item {this->descriptor, POLLIN, 0};
    const double left = until - now();
    if (left <= 0.0 || poll(&item, 1, static_cast<int>(left * 1000) + 1) <= 0) {
        return false;
    }
    char bytes[16384];
    const ssize_t count = recv(this->descriptor, bytes, sizeof bytes, 0);
    if (count <= 0) {
        return false;
    }
    this->buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
}

std::optional<Message> Stream::read(double timeLimit, bool)
{
    const double until = now() + timeLimit;
    std::size_t end = 0;
    while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!this->fill(until)) {
            return std::nullopt;
        }
    }
    Message message;
    std::istringstream head(this->buffer.substr(0, end + 2));
    std::string line;
    std::getline(head, line);
    message.startLine = line.substr(0, line.size() - 1);
    while (std::getline(head, line)) {
        line.pop_back();
        const std::size_t colon = line.find(':');
        const std::size_t value = line.find_first_not_of(" \t", colon + 1);
        message.fields.emplace_back(line.substr(0, colon),
                                    value == std::string::npos ? "" : line.substr(value));
    }
    this->buffer.erase(0, end + 4);
    const std::string length = findField(message.fields, "Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (this->buffer.size() < size) {
        if (!this->fill(until)) {
            return std::nullopt;
        }
    }
    message.body = this->buffer.substr(0, size);
    this->buffer.erase(0, size);
    return message;
}

void Stream::shutdown()
{
    ::shutdown(this->descriptor, SHUT_RDWR);
}

void Listener::start(Handler handler)
{
    this->descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    if (bind(this->descriptor, reinterpret_cast<sockaddr *>(&address), size) != 0
        || listen(this->descriptor, 512) != 0) {
        std::perror("listen");
        std::exit(2);
    }
    getsockname(this->descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    this->boundPort = ntohs(address.sin_port);
    this->acceptor = std::thread([this, handler] {
        for (;;) {
            const int accepted = accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0 || this->stopping) {
                if (accepted >= 0) {
                    close(accepted);
                }
                return;
            }
            const int on = 1;
            setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            const std::scoped_lock lock(this->mutex);
            this->threads.emplace_back([this, handler, accepted] {
                Stream stream(accepted);
                {
                    const std::scoped_lock streamLock(this->mutex);
                    this->streams.insert(&stream);
                }
                if (!this->stopping) {
                    handler(stream);
                }
                const std::scoped_lock streamLock(this->mutex);
                this->streams.erase(&stream);
            });
        }
    });
}

void Listener::stop()
{
    if (this->descriptor < 0) {
        return;
    }
    this->stopping = true;
    ::shutdown(this->descriptor, SHUT_RDWR);
    this->acceptor.join();
    close(this->descriptor);
    this->descriptor = -1;
    std::vector<std::thread> running;
    {
        const std::scoped_lock lock(this->mutex);
        for (Stream *stream : this->streams) {
            stream->shutdown();
        }
        running.swap(this->threads);
    }
    for (std::thread &thread : running) {
        thread.join();
    }
}

void Store::start()
{
    this->listener.start([this](Stream &stream) { this->serve(stream); });
}

void Store::stop()
{
    {
        const std::scoped_lock lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    this->listener.stop();
}

void Store::putLocked(const std::string &key, const std::string &value, std::uint64_t lease)
{
    Item &item = this->items[key];
    item.key = key;
    item.value = value;
    item.revision = ++this->revision;
    item.created = item.created == 0 ? item.revision : item.created;
    item.lease = lease;
    this->history.push_back(item);
    this->changed.notify_all();
}

void Store::removeLocked(const std::string &key)
{
    if (this->items.erase(key) > 0) {
        Item removal;
        removal.key = key;
        removal.revision = ++this->revision;
        removal.removed = true;
        this->history.push_back(removal);
        this->changed.notify_all();
    }
}

void Store::put(const std::string &key, const std::string &value, std::uint64_t lease)
{
    const std::scoped_lock lock(this->mutex);
    this->putLocked(key, value, lease);
}

void Store::remove(const std::string &key)
{
    const std::scoped_lock lock(this->mutex);
    this->removeLocked(key);
}

void Store::endLeaseLocked(std::uint64_t lease)
{
    this->leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto &[key, item] : this->items) {
        if (item.lease == lease) {
            keys.push_back(key);
        }
    }
    for (const std::string &key : keys) {
        this->removeLocked(key);
    }
}

void Store::endExpiredLeases()
{
    std::vector<std::uint64_t> expired;
    for (const auto &[lease, state] : this->leases) {
        if (state.until < now()) {
            expired.push_back(lease);
        }
    }
    for (const std::uint64_t lease : expired) {
        this->endLeaseLocked(lease);
    }
}

std::string Store::describe(const Item &item)
{
    if (item.removed) {
        return "{\"key\":\"" + item.key + "\",\"revision\":" + std::to_string(item.revision)
                + ",\"removed\":true}";
    }
    return "{\"key\":\"" + item.key + "\",\"value\":\"" + encodeBase64(item.value)
            + "\",\"revision\":" + std::to_string(item.revision)
            + ",\"created\":" + std::to_string(item.created)
            + ",\"lease\":" + std::to_string(item.lease) + "}";
}

void Store::serve(Stream &stream)
{
    while (const auto request = stream.read(3600.0)) {
        sleepFor(0.004);
        const auto [status, body] = this->answer(*request);
        if (!stream.write("HTTP/1.1 " + std::to_string(status)
                          + " Answer\r\nContent-Type: application/json\r\nContent-Length: "
                          + std::to_string(body.size()) + "\r\n\r\n" + body)) {
            return;
        }
    }
}

std::pair<int, std::string> Store::answer(const Message &request)
{
    const std::string target = request.word(1);
    const std::string prefix = "/lagoondeck/";
    const std::string call = target.rfind(prefix, 0) == 0
            ? target.substr(prefix.size(), target.find('?') - prefix.size())
            : "";
    std::unique_lock lock(this->mutex);
    this->endExpiredLeases();
    if (call == "kv-range") {
        const std::string wanted = queryValue(target, "prefix");
        const std::string after = queryValue(target, "after");
        std::string list;
        std::size_t count = 0;
        bool more = false;
        for (const auto &[key, item] : this->items) {
            if (key.rfind(wanted, 0) != 0 || key <= after) {
                continue;
            }
            if (count == 50) {
                more = true;
                break;
            }
            list += (count++ == 0 ? "" : ",") + describe(item);
        }
        return {200, "{\"items\":[" + list + "],\"has_more\":" + (more ? "true" : "false")
                        + ",\"store_revision\":" + std::to_string(this->revision) + "}"};
    }
    if (call == "kv-watch") {
        const std::uint64_t after = std::stoull("0" + queryValue(target, "after"));
        const double until = now() + std::stod("0" + queryValue(target, "wait_ms")) / 1000.0;
        while (this->revision <= after && now() < until && !this->stopping) {
            this->changed.wait_for(lock, std::chrono::milliseconds(100));
            this->endExpiredLeases();
        }
        std::string list;
        for (const Item &item : this->history) {
            if (item.revision > after) {
                list += (list.empty() ? "" : ",") + describe(item);
            }
        }
        return {200, "{\"events\":[" + list
                        + "],\"store_revision\":" + std::to_string(this->revision) + "}"};
    }
    if (call == "kv-lease") {
        const double timeToLive = std::stod(jsonMember(request.body, "ttl_ms")) / 1000.0;
        this->leases[++this->lastLease] = {now() + timeToLive, timeToLive};
        return {200, "{\"lease\":" + std::to_string(this->lastLease)
                        + ",\"ttl_ms\":" + jsonMember(request.body, "ttl_ms") + "}"};
    }
    if (call.rfind("kv-keep/", 0) == 0 || call.rfind("kv-lease-end/", 0) == 0) {
        const std::uint64_t lease = std::stoull(call.substr(call.find('/') + 1));
        const auto found = this->leases.find(lease);
        if (found == this->leases.end()) {
            return {404, "{}"};
        }
        if (call[3] == 'k') {
            found->second.until = now() + found->second.timeToLive;
        } else {
            this->endLeaseLocked(lease);
        }
        return {200, "{}"};
    }
    if (call == "kv-txn") {
        const std::uint64_t lease = std::stoull("0" + jsonMember(request.body, "lease"));
        if (lease != 0 && !this->leases.contains(lease)) {
            return {404, "{}"};
        }
        this->putLocked(jsonMember(request.body, "key"),
                        decodeBase64(jsonMember(request.body, "value")), lease);
        return {200, "{\"revision\":" + std::to_string(this->revision) + "}"};
    }
    return {404, "{}"};
}

void Runs::add(const Run &run)
{
    const std::scoped_lock lock(this->mutex);
    this->runs.push_back(run);
}

std::vector<Run> Runs::all() const
{
    const std::scoped_lock lock(this->mutex);
    return this->runs;
}

std::map<std::string, int> Runs::counts() const
{
    std::map<std::string, int> counts;
    for (const Run &run : this->all()) {
        ++counts[run.id];
    }
    return counts;
}

Server::Server(std::string id, std::string service, std::string zone, int slots,
               double workSeconds, Runs &runs)
    : serverId(std::move(id)), serviceName(std::move(service)), zone(std::move(zone)),
      slots(slots), workSeconds(workSeconds), runs(runs),
      bornMs(std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count())
{ }

void Server::start()
{
    this->listener.start([this](Stream &stream) { this->serve(stream); });
}

void Server::stop()
{
    this->listener.stop();
}

std::string Server::entry()
{
    return "{\"service\":\"" + this->serviceName + "\",\"address\":\"127.0.0.1:"
            + std::to_string(this->port()) + "\",\"zone\":\"" + this->zone
            + "\",\"version\":\"v1\",\"slots\":" + std::to_string(this->slots)
            + ",\"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":"
            + std::to_string(++this->sequence) + ",\"born\":" + std::to_string(this->bornMs) + "}";
}

std::string Server::stampFor(const std::string &requestId) const
{
    return this->serviceName + "." + this->serverId + "." + requestId;
}

bool Server::takeSlot()
{
    std::unique_lock lock(this->mutex);
    if (this->running >= this->slots && this->waiting >= queueLength) {
        return false;
    }
    ++this->waiting;
    this->slotFree.wait(lock, [this] { return this->running < this->slots; });
    --this->waiting;
    ++this->running;
    return true;
}

void Server::freeSlot()
{
    {
        const std::scoped_lock lock(this->mutex);
        --this->running;
    }
    this->slotFree.notify_one();
}

void Server::serve(Stream &stream)
{
    const int connection = ++this->connections;
    while (const auto request = stream.read(serverIdleSeconds)) {
        const std::string id = findField(request->fields, "Request-Id");
        const std::string echo = "Request-Id: " + id + "\r\n";
        const std::string expected = findField(request->fields, "Expect-Instance");
        if (!expected.empty() && expected != this->serverId) {
            if (!stream.write("HTTP/1.1 421 Misdirected Request\r\n" + echo + "Instance-Id: "
                              + this->serverId + "\r\nContent-Length: 0\r\n\r\n")) {
                return;
            }
            continue;
        }
        if (this->onArrival) {
            this->onArrival(stream, connection, id);
        }
        if (!this->takeSlot()) {
            if (!stream.write("HTTP/1.1 503 Service Unavailable\r\n" + echo
                              + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")) {
                return;
            }
            continue;
        }
        this->runs.add({now(), id, this->serviceName, this->serverId, request->word(1),
                        request->fields});
        record("run " + id + " at " + this->serverId + " of " + this->serviceName + ", "
               + request->startLine);
        sleepFor(this->workSeconds * (0.5 + chance()));
        this->freeSlot();
        std::string answer = this->onAnswer ? this->onAnswer(*request, id) : "";
        if (answer.empty()) {
            std::string body = (this->serviceName + ":" + this->serverId + ":----------------")
                                       .substr(0, 16);
            answer = "HTTP/1.1 200 OK\r\n" + echo + "Server-Stamp: " + this->stampFor(id)
                    + "\r\nKeep-Alive: timeout=" + std::to_string(static_cast<int>(serverIdleSeconds))
                    + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        }
        if (!stream.write(answer)) {
            return;
        }
        if (this->onAnswered) {
            this->onAnswered(connection, id);
        }
    }
}

Heartbeats::Heartbeats(Store &store, std::vector<Server *> servers)
{
    for (Server *server : servers) {
        store.put("servers/" + server->id(), server->entry());
    }
    this->thread = std::thread([this, &store, servers] {
        double next = now() + heartbeatSeconds;
        while (!this->stopping) {
            sleepFor(0.02);
            if (now() >= next) {
                next += heartbeatSeconds;
                for (Server *server : servers) {
                    store.put("servers/" + server->id(), server->entry());
                }
            }
        }
    });
}

Heartbeats::~Heartbeats()
{
    this->stopping = true;
    this->thread.join();
}

Node::Node(const std::string &name, const std::string &zone, int storePort,
           const std::string &directory)
    : nodeName(name), settingsFile(directory + "/" + name + ".json"),
      logFile(directory + "/" + name + ".log")
{
    for (int i = 0; i < 5; ++i) {
        this->ports.push_back(freePort());
    }
    const auto address = [this](int i) {
        return "\"127.0.0.1:" + std::to_string(this->ports[static_cast<std::size_t>(i)]) + "\"";
    };
    // The template deploy/settings.json, filled in with the figures of a small site.
    std::ofstream settings(this->settingsFile);
    settings << "{\"gateway\": {\"id\": \"" << name << "\", \"failureDomain\": \"" << zone
             << "\", \"regions\": {\"z1\": \"r\", \"z2\": \"r\", \"z3\": \"r\"},"
             << "\"callerAddress\": " << address(0) << ", \"readyAddress\": " << address(1)
             << ", \"controlAddress\": " << address(2) << ", \"peerAddress\": " << address(3)
             << ", \"metricsAddress\": " << address(4) << ", \"storeAddress\": \"127.0.0.1:"
             << storePort << "\", \"seeds\": [],"
             << "\"retryRatio\": 0.2, \"retrySlack\": 56, \"retryWindowMs\": 10e3,"
             << "\"stopGraceMs\": 6e3, \"drainBoundMs\": 3000, \"configBoundMs\": 3000,"
             << "\"shortestLeaseMs\": 1000, \"processorShare\": 0.25, \"processorSpeed\": 1,"
             << "\"linkMbps\": 1000.0, \"memoryMegabytes\": 260, \"maxDescriptors\": 4100,"
             << "\"firstStart\": true}}\n";
}

Node::~Node()
{
    this->stop();
}

void Node::start(int output)
{
    this->pid = fork();
    if (this->pid == 0) {
        // The process ends with this program, whatever ends it.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = output >= 0
                ? output
                : open(this->logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        execl("target/bin/lagoondeckd", "target/bin/lagoondeckd", "--settings",
              this->settingsFile.c_str(), nullptr);
        _exit(127);
    }
    record("start " + this->nodeName);
}

LogReader::LogReader()
{
    if (pipe2(this->ends, O_CLOEXEC) != 0) {
        std::perror("pipe");
        std::exit(2);
    }
    this->pid = fork();
    if (this->pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        close(this->ends[1]);
        char bytes[4096];
        while (::read(this->ends[0], bytes, sizeof bytes) > 0) { }
        _exit(0);
    }
    close(this->ends[0]);
}

LogReader::~LogReader()
{
    close(this->ends[1]);
    this->signal(SIGKILL);
    waitpid(this->pid, nullptr, 0);
}

void LogReader::signal(int number)
{
    kill(this->pid, number);
}

void startAll(const std::vector<std::unique_ptr<Node>> &nodes)
{
    for (const auto &node : nodes) {
        node->start();
    }
    for (const auto &node : nodes) {
        if (!node->waitUntilReady(15.0)) {
            std::printf("%s is not ready\n", node->name().c_str());
            std::fflush(stdout);
            for (const auto &other : nodes) {
                other->stop();
            }
            std::_Exit(2);
        }
    }
}

bool Node::waitUntilReady(double seconds)
{
    for (const double until = now() + seconds; now() < until; sleepFor(0.05)) {
        const auto stream = Stream::connectTo(this->ports[1]);
        if (stream
            && stream->write("GET /lagoondeck/ready HTTP/1.1\r\nHost: ready\r\n"
                             "Connection: close\r\n\r\n")) {
            const auto answer = stream->read(1.0);
            if (answer && answer->word(1) == "200") {
                return true;
            }
        }
    }
    return false;
}

void Node::signal(int number)
{
    if (this->pid > 0) {
        kill(this->pid, number);
    }
}

void Node::stop()
{
    if (this->pid <= 0) {
        return;
    }
    this->signal(SIGTERM);
    const double until = now() + 7.0;
    while (waitpid(this->pid, nullptr, WNOHANG) == 0) {
        if (now() > until) {
            this->signal(SIGKILL);
            waitpid(this->pid, nullptr, 0);
            break;
        }
        sleepFor(0.02);
    }
    record("end " + this->nodeName);
    this->pid = -1;
}

Answer Client::call(const std::string &method, const std::string &path, const std::string &id,
                    const std::string &body, int timeLimitMs, const Fields &extra)
{
    Answer answer;
    if (!this->stream) {
        this->stream = Stream::connectTo(this->port);
    }
    std::string request = method + " " + path + " HTTP/1.1\r\nHost: one.example\r\nRequest-Id: "
            + id + "\r\nDeadline-Ms: " + std::to_string(timeLimitMs) + "\r\n";
    for (const auto &[name, value] : extra) {
        request += name + ": " + value + "\r\n";
    }
    if (!body.empty()) {
        request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    record("sent " + id + " " + method + " " + path);
    if (!this->stream || !this->stream->write(request + "\r\n" + body)) {
        this->stream.reset();
        record("answered " + id + " nothing");
        return answer;
    }
    const auto reply = this->stream->read(timeLimitMs / 1000.0 + 2.0);
    if (!reply) {
        this->stream.reset();
        record("answered " + id + " nothing");
        return answer;
    }
    answer.status = std::atoi(reply->word(1).c_str());
    answer.fields = reply->fields;
    answer.body = reply->body;
    if (strcasecmp(findField(reply->fields, "Connection").c_str(), "close") == 0) {
        this->stream.reset();
    }
    std::string line = "answered " + id + " " + std::to_string(answer.status);
    for (const char *name : {"Request-Id", "Server-Stamp", "Part-Stamps", "Missing-Parts"}) {
        if (hasField(answer.fields, name)) {
            line += std::string(", ") + name + ": " + findField(answer.fields, name);
        }
    }
    record(line);
    return answer;
}

std::string configText(int version, const std::vector<RouteText> &routes,
                       const std::vector<std::string> &services, const std::string &more)
{
    std::string text = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    for (std::size_t i = 0; i < routes.size(); ++i) {
        text += (i == 0 ? "" : ",") + std::string("{\"name\":\"") + routes[i].name
                + "\",\"host\":\"one.example\",\"prefix\":\"" + routes[i].prefix
                + "\",\"route_type\":\"" + routes[i].type
                + "\",\"timeout_ms\":2000,\"target_latency_ms\":400,\"priority\":1,"
                + routes[i].services + ",\"attempts\":2}";
    }
    text += "],\"services\":[";
    for (std::size_t i = 0; i < services.size(); ++i) {
        text += (i == 0 ? "" : ",") + std::string("{\"name\":\"") + services[i]
                + "\",\"health_path\":\"/healthz\",\"max_conns\":36,\"protocol\":\"h1\","
                  "\"tls\":false}";
    }
    return text
            + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
              "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}"
            + more + "}";
}

} // namespace rig

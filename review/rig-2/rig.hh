// Small stand-ins for the review's scripts: the platform's store, servers, clients and the start of
// lagoondeckd as separate processes. Everything listens on loopback addresses.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sched.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace rig {

using nlohmann::json;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline const Clock::time_point begun = Clock::now();

inline double secondsNow()
{
    return std::chrono::duration<double>(Clock::now() - begun).count();
}

inline void sleepMs(long ms)
{
    std::this_thread::sleep_for(Ms(ms));
}

/// Ends the case as one that could not run.
[[noreturn]] inline void cannotRun(const std::string &why)
{
    std::fprintf(stderr, "cannot run: %s\n", why.c_str());
    std::_Exit(2);
}

/// Writes record.txt.
class Record
{
public:
    explicit Record(const std::string &path) : out(path) { }
    void line(const std::string &text)
    {
        const std::lock_guard lock(this->mutex);
        char stamp[32];
        std::snprintf(stamp, sizeof stamp, "%9.3f ", secondsNow());
        this->out << stamp << text << "\n";
        this->out.flush();
    }

private:
    std::mutex mutex;
    std::ofstream out;
};

// --- sockets

inline sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline int listenOn(const std::string &ip, int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const sockaddr_in address = addressOf(ip, port);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || listen(fd, 512) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

inline int portOf(int fd)
{
    sockaddr_in address {};
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

/// Returns `count` ports in a row that are free on all the addresses.
inline int freePorts(const std::vector<std::string> &ips, int count)
{
    unsigned seed = static_cast<unsigned>(getpid()) * 7919U
            + static_cast<unsigned>(Clock::now().time_since_epoch().count());
    for (int attempt = 0; attempt < 200; ++attempt) {
        const int base = 15000 + static_cast<int>(rand_r(&seed) % 14000);
        bool isFree = true;
        for (const std::string &ip : ips) {
            for (int i = 0; i < count && isFree; ++i) {
                const int fd = listenOn(ip, base + i);
                isFree = fd >= 0;
                if (fd >= 0) {
                    close(fd);
                }
            }
        }
        if (isFree) {
            return base;
        }
    }
    cannotRun("no free ports");
}

/// `source` is the address of the caller; empty for the usual one.
inline int connectTo(const std::string &ip, int port, int timeoutMs = 1000,
                     const std::string &source = "")
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (!source.empty()) {
        const sockaddr_in own = addressOf(source, 0);
        if (bind(fd, reinterpret_cast<const sockaddr *>(&own), sizeof own) != 0) {
            close(fd);
            return -1;
        }
    }
    const sockaddr_in address = addressOf(ip, port);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        pollfd wait {fd, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (errno != EINPROGRESS || poll(&wait, 1, timeoutMs) != 1
            || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            close(fd);
            return -1;
        }
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return fd;
}

inline bool sendAll(int fd, const std::string &bytes)
{
    for (std::size_t sent = 0; sent < bytes.size();) {
        const ssize_t count =
                send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

// --- HTTP

struct Message
{
    std::string first; ///< The request line or the status line.
    std::string method;
    std::string target;
    int status = 0;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string field(const std::string &name) const
    {
        for (const auto &[key, value] : this->fields) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return "";
    }
};

enum class Got { Message, Closed, Reset, Timeout, Malformed };

inline const char *toString(Got got)
{
    const char *names[] = {"message", "closed", "reset", "timeout", "malformed"};
    return names[static_cast<int>(got)];
}

/// Reads messages with a length or in chunks from one connection.
class Reader
{
public:
    explicit Reader(int fd) : fd(fd) { }

    Got read(Message &message, int timeoutMs)
    {
        const auto until = Clock::now() + Ms(timeoutMs);
        std::size_t end = 0;
        while ((end = this->input.find("\r\n\r\n")) == std::string::npos) {
            if (const Got got = this->more(until); got != Got::Message) {
                return got;
            }
        }
        message = Message();
        std::istringstream lines(this->input.substr(0, end));
        std::getline(lines, message.first);
        if (!message.first.empty() && message.first.back() == '\r') {
            message.first.pop_back();
        }
        std::istringstream first(message.first);
        std::string word;
        first >> word;
        if (word.rfind("HTTP/", 0) == 0) {
            first >> message.status;
        } else {
            message.method = word;
            first >> message.target;
        }
        for (std::string line; std::getline(lines, line);) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos) {
                return Got::Malformed;
            }
            const std::size_t value = line.find_first_not_of(" \t", colon + 1);
            message.fields.emplace_back(line.substr(0, colon),
                                        value == std::string::npos ? "" : line.substr(value));
        }
        this->input.erase(0, end + 4);
        if (strcasecmp(message.field("Transfer-Encoding").c_str(), "chunked") == 0) {
            return this->readChunks(message, until);
        }
        const std::size_t length =
                static_cast<std::size_t>(std::atoll(message.field("Content-Length").c_str()));
        while (this->input.size() < length) {
            if (const Got got = this->more(until); got != Got::Message) {
                return got;
            }
        }
        message.body = this->input.substr(0, length);
        this->input.erase(0, length);
        return Got::Message;
    }

    std::string input;

private:
    Got more(Clock::time_point until)
    {
        const auto left = std::chrono::duration_cast<Ms>(until - Clock::now()).count();
        pollfd wait {this->fd, POLLIN, 0};
        if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) == 0) {
            return Got::Timeout;
        }
        char bytes[65536];
        const ssize_t count = recv(this->fd, bytes, sizeof bytes, 0);
        if (count == 0) {
            return Got::Closed;
        }
        if (count < 0) {
            return Got::Reset;
        }
        this->input.append(bytes, static_cast<std::size_t>(count));
        return Got::Message;
    }

    Got readChunks(Message &message, Clock::time_point until)
    {
        for (;;) {
            std::size_t end = 0;
            while ((end = this->input.find("\r\n")) == std::string::npos) {
                if (const Got got = this->more(until); got != Got::Message) {
                    return got;
                }
            }
            const std::size_t size = std::strtoul(this->input.c_str(), nullptr, 16);
            this->input.erase(0, end + 2);
            while (this->input.size() < size + 2) {
                if (const Got got = this->more(until); got != Got::Message) {
                    return got;
                }
            }
            message.body += this->input.substr(0, size);
            this->input.erase(0, size + 2);
            if (size == 0) {
                return Got::Message;
            }
        }
    }

    int fd;
};

inline std::string reply(int status, const std::vector<std::pair<std::string, std::string>> &fields,
                         const std::string &body)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto &[name, value] : fields) {
        out += name + ": " + value + "\r\n";
    }
    return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Accepts connections and serves each one in a thread of its own.
class Listener
{
public:
    /// Serves one connection until it ends.
    using Serve = std::function<void(int fd)>;

    Listener(const std::string &ip, int port, Serve serve) : serve(std::move(serve))
    {
        this->fd = listenOn(ip, port);
        if (this->fd < 0) {
            cannotRun("an address is in use");
        }
        this->boundPort = portOf(this->fd);
        std::thread([this] { this->run(); }).detach();
    }
    int port() const { return this->boundPort; }
    /// Closes all open connections.
    void resetAll()
    {
        const std::lock_guard lock(this->mutex);
        for (const int open : this->open) {
            const linger hard {1, 0};
            setsockopt(open, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
            shutdown(open, SHUT_RDWR);
        }
    }
    std::atomic<int> accepted {0};

private:
    void run()
    {
        for (;;) {
            const int peer = accept4(this->fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (peer < 0) {
                sleepMs(1);
                continue;
            }
            ++this->accepted;
            const int one = 1;
            setsockopt(peer, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
            {
                const std::lock_guard lock(this->mutex);
                this->open.insert(peer);
            }
            std::thread([this, peer] {
                this->serve(peer);
                const std::lock_guard lock(this->mutex);
                this->open.erase(peer);
                close(peer);
            }).detach();
        }
    }

    Serve serve;
    int fd = -1;
    int boundPort = 0;
    std::mutex mutex;
    std::set<int> open;
};

// --- the platform's store

inline std::string base64(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        const std::size_t left = std::min<std::size_t>(3, bytes.size() - i);
        unsigned value = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            value = (value << 8U) | (j < left ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            out += j <= left ? digits[(value >> (18U - 6U * j)) & 63U] : '=';
        }
    }
    return out;
}

inline std::string unquote(const std::string &text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::strtoul(text.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

/// The store of PROTOCOL.md. It has one port for each machine, so that it can turn some away.
class Store
{
public:
    enum class Mode { Serving, Busy, Silent };

    explicit Store(const std::string &ip, int ports) : modes(static_cast<std::size_t>(ports))
    {
        for (int i = 0; i < ports; ++i) {
            this->modes[static_cast<std::size_t>(i)] = Mode::Serving;
            this->listeners.push_back(std::make_unique<Listener>(
                    ip, 0, [this, i](int fd) { this->serve(fd, static_cast<std::size_t>(i)); }));
        }
        std::thread([this] {
            for (;;) {
                sleepMs(50);
                this->expireLeases();
            }
        }).detach();
    }
    int port(int index) const { return this->listeners[static_cast<std::size_t>(index)]->port(); }
    void setMode(int index, Mode mode) { this->modes[static_cast<std::size_t>(index)] = mode; }
    void setAll(Mode mode)
    {
        for (auto &each : this->modes) {
            each = mode;
        }
    }
    std::atomic<int> answerDelayMs {0};

    void put(const std::string &key, const std::string &value, std::uint64_t lease = 0)
    {
        const std::lock_guard lock(this->mutex);
        this->write(key, value, lease);
    }
    void remove(const std::string &key)
    {
        const std::lock_guard lock(this->mutex);
        this->erase(key);
    }
    std::vector<std::string> keys(const std::string &prefix)
    {
        const std::lock_guard lock(this->mutex);
        std::vector<std::string> found;
        for (const auto &[key, item] : this->items) {
            if (key.rfind(prefix, 0) == 0) {
                found.push_back(key);
            }
        }
        return found;
    }

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct Lease
    {
        Ms length {};
        Clock::time_point endsAt;
    };

    json describe(const std::string &key, const Item &item) const
    {
        return {{"key", key},
                {"value", base64(item.value)},
                {"revision", item.revision},
                {"created", item.created},
                {"lease", item.lease}};
    }
    void write(const std::string &key, const std::string &value, std::uint64_t lease)
    {
        Item &item = this->items[key];
        item.value = value;
        item.revision = ++this->revision;
        item.created = item.created == 0 ? item.revision : item.created;
        item.lease = lease;
        this->history.emplace_back(item.revision, this->describe(key, item));
        this->changed.notify_all();
    }
    void erase(const std::string &key)
    {
        if (this->items.erase(key) > 0) {
            ++this->revision;
            this->history.emplace_back(
                    this->revision,
                    json {{"key", key}, {"revision", this->revision}, {"removed", true}});
            this->changed.notify_all();
        }
    }
    void endLease(std::uint64_t lease)
    {
        this->leases.erase(lease);
        std::vector<std::string> owned;
        for (const auto &[key, item] : this->items) {
            if (item.lease == lease) {
                owned.push_back(key);
            }
        }
        for (const std::string &key : owned) {
            this->erase(key);
        }
    }
    void expireLeases()
    {
        const std::lock_guard lock(this->mutex);
        std::vector<std::uint64_t> ended;
        for (const auto &[lease, state] : this->leases) {
            if (state.endsAt < Clock::now()) {
                ended.push_back(lease);
            }
        }
        for (const std::uint64_t lease : ended) {
            this->endLease(lease);
        }
    }

    static std::map<std::string, std::string> query(const std::string &target)
    {
        std::map<std::string, std::string> values;
        const std::size_t mark = target.find('?');
        std::istringstream parts(mark == std::string::npos ? "" : target.substr(mark + 1));
        for (std::string part; std::getline(parts, part, '&');) {
            const std::size_t equals = part.find('=');
            values[part.substr(0, equals)] =
                    equals == std::string::npos ? "" : unquote(part.substr(equals + 1));
        }
        return values;
    }

    void serve(int fd, std::size_t index)
    {
        Reader reader(fd);
        Message call;
        while (reader.read(call, 120000) == Got::Message) {
            if (this->modes[index] == Mode::Silent) {
                continue;
            }
            sleepMs(this->answerDelayMs);
            const std::string answer =
                    this->modes[index] == Mode::Busy ? reply(503, {}, "") : this->handle(call);
            if (this->modes[index] == Mode::Silent || !sendAll(fd, answer)) {
                return;
            }
        }
    }

    static std::string ok(const json &body)
    {
        return reply(200, {{"Content-Type", "application/json"}}, body.dump());
    }

    std::string handle(const Message &call)
    {
        const std::string path = call.target.substr(0, call.target.find('?'));
        auto values = query(call.target);
        const auto after = [&](const char *prefix) {
            return std::strtoull(path.substr(std::strlen(prefix)).c_str(), nullptr, 10);
        };
        std::unique_lock lock(this->mutex);
        if (path == "/lagoondeck/kv-key") {
            const auto found = this->items.find(values["key"]);
            if (found == this->items.end()) {
                return reply(404, {}, "");
            }
            json body = this->describe(found->first, found->second);
            body["store_revision"] = this->revision;
            return ok(body);
        }
        if (path == "/lagoondeck/kv-range") {
            json body {{"items", json::array()}, {"has_more", false},
                       {"store_revision", this->revision}};
            for (auto item = this->items.upper_bound(values["after"]); item != this->items.end();
                 ++item) {
                if (item->first.rfind(values["prefix"], 0) != 0) {
                    continue;
                }
                if (body["items"].size() == 500) {
                    body["has_more"] = true;
                    break;
                }
                body["items"].push_back(this->describe(item->first, item->second));
            }
            return ok(body);
        }
        if (path == "/lagoondeck/kv-watch") {
            const std::uint64_t from = std::strtoull(values["after"].c_str(), nullptr, 10);
            const auto until = Clock::now() + Ms(std::atoi(values["wait_ms"].c_str()));
            if (from > this->revision) {
                return reply(410, {}, "");
            }
            while (this->revision == from
                   && this->changed.wait_until(lock, until) != std::cv_status::timeout) { }
            json body {{"events", json::array()}, {"store_revision", this->revision}};
            for (const auto &[at, event] : this->history) {
                if (at > from && event["key"].get<std::string>().rfind(values["prefix"], 0) == 0) {
                    body["events"].push_back(event);
                }
            }
            return ok(body);
        }
        if (path == "/lagoondeck/kv-lease") {
            const Ms length(json::parse(call.body).value("ttl_ms", 1000));
            const std::uint64_t lease = ++this->lastLease;
            this->leases[lease] = {length, Clock::now() + length};
            return ok({{"lease", lease}, {"ttl_ms", length.count()}});
        }
        if (path.rfind("/lagoondeck/kv-keep/", 0) == 0) {
            const auto found = this->leases.find(after("/lagoondeck/kv-keep/"));
            if (found == this->leases.end()) {
                return reply(404, {}, "");
            }
            found->second.endsAt = Clock::now() + found->second.length;
            return ok({{"ttl_ms", found->second.length.count()}});
        }
        if (path.rfind("/lagoondeck/kv-lease-end/", 0) == 0) {
            const std::uint64_t lease = after("/lagoondeck/kv-lease-end/");
            if (!this->leases.contains(lease)) {
                return reply(404, {}, "");
            }
            this->endLease(lease);
            return ok(json::object());
        }
        if (path == "/lagoondeck/kv-txn") {
            return this->transact(json::parse(call.body));
        }
        return reply(404, {}, "");
    }

    static std::string plain(const std::string &text)
    {
        std::string out;
        unsigned value = 0;
        int bits = 0;
        for (const char c : text) {
            const char *digits =
                    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
            const char *at = std::strchr(digits, c);
            if (c == '=' || at == nullptr) {
                break;
            }
            value = (value << 6U) | static_cast<unsigned>(at - digits);
            bits += 6;
            if (bits >= 8) {
                bits -= 8;
                out += static_cast<char>((value >> static_cast<unsigned>(bits)) & 255U);
            }
        }
        return out;
    }

    std::string transact(const json &body)
    {
        json failed = json::array();
        for (const json &row : body.value("expected_rev", json::array())) {
            const auto found = this->items.find(row.at("key").get<std::string>());
            const std::uint64_t now = found == this->items.end() ? 0 : found->second.revision;
            if (now != row.at("revision").get<std::uint64_t>()) {
                failed.push_back(row);
            }
        }
        if (!failed.empty()) {
            return reply(412, {}, json {{"items", json::array()}}.dump());
        }
        for (const json &put : body.value("puts", json::array())) {
            const std::string key = put.at("key").get<std::string>();
            const std::uint64_t lease = put.value("lease", std::uint64_t(0));
            if (key.rfind("op/", 0) == 0 || key.rfind("servers/", 0) == 0) {
                return reply(403, {}, "");
            }
            if (lease != 0 && !this->leases.contains(lease)) {
                return reply(404, {}, "");
            }
            this->write(key, plain(put.at("value").get<std::string>()), lease);
        }
        for (const json &key : body.value("deletes", json::array())) {
            this->erase(key.get<std::string>());
        }
        return ok({{"revision", this->revision}});
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Item> items;
    std::vector<std::pair<std::uint64_t, json>> history;
    std::map<std::uint64_t, Lease> leases;
    std::uint64_t revision = 1000;
    std::uint64_t lastLease = 5000;
    std::deque<std::atomic<Mode>> modes;
    std::vector<std::unique_ptr<Listener>> listeners;
};

// --- servers

/// One run of a request at a server.
struct Run
{
    double at = 0.0;
    std::string server;
    std::string requestId;
    std::string tenant;
    std::string method;
    std::string target;
    std::string body;
};

/// What the servers have run and seen.
class Runs
{
public:
    void add(Run run)
    {
        const std::lock_guard lock(this->mutex);
        this->list.push_back(std::move(run));
    }
    std::vector<Run> all()
    {
        const std::lock_guard lock(this->mutex);
        return this->list;
    }

private:
    std::mutex mutex;
    std::vector<Run> list;
};

class Server
{
public:
    /// Returns the bytes to send for a request; empty to reset the connection.
    using Answer = std::function<std::string(const Message &request, Server &server)>;

    Server(std::string id, std::string service, std::string zone, const std::string &ip, int slots,
           Runs &runs)
        : id(std::move(id)), service(std::move(service)), zone(std::move(zone)), ip(ip),
          slots(slots), runs(runs), listener(ip, 0, [this](int fd) { this->serve(fd); }),
          born(std::chrono::duration_cast<Ms>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count())
    { }

    std::string entry()
    {
        return json {{"service", this->service},
                     {"address", this->ip + ":" + std::to_string(this->listener.port())},
                     {"zone", this->zone},
                     {"version", "v1"},
                     {"slots", this->slots},
                     {"state", "ready"},
                     {"warmup_left_ms", 0},
                     {"sequence", ++this->sequence},
                     {"born", this->born}}
                .dump();
    }
    std::string stamp(const std::string &requestId) const
    {
        return this->id + "." + requestId;
    }
    /// Records that the request runs and returns the usual answer to it.
    std::string run(const Message &request, const std::string &body)
    {
        this->runs.add({secondsNow(), this->id, request.field("Request-Id"),
                        request.field("Tenant"), request.method, request.target, request.body});
        sleepMs(this->workMs);
        return reply(200,
                     {{"Request-Id", request.field("Request-Id")},
                      {"Server-Stamp", this->stamp(request.field("Request-Id"))},
                      {"Keep-Alive", "timeout=5"}},
                     body);
    }

    const std::string id;
    const std::string service;
    const std::string zone;
    const std::string ip;
    const int slots;
    std::atomic<int> workMs {5};
    std::atomic<bool> silent {false};
    Answer answer = [](const Message &request, Server &server) {
        return server.run(request, "answer of " + server.id);
    };
    Runs &runs;
    Listener listener;

private:
    void serve(int fd)
    {
        Reader reader(fd);
        Message request;
        for (;;) {
            const Got got = reader.read(request, 5000);
            if (got != Got::Message) {
                return;
            }
            if (request.target == "/healthz") {
                if (!sendAll(fd, reply(200, {{"Instance-Id", this->id}}, ""))) {
                    return;
                }
                continue;
            }
            const std::string expected = request.field("Expect-Instance");
            const std::string bytes = !expected.empty() && expected != this->id
                    ? reply(421, {{"Instance-Id", this->id}}, "")
                    : this->answer(request, *this);
            if (bytes.empty() || !sendAll(fd, bytes)) {
                const linger hard {1, 0};
                setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
                return;
            }
        }
    }

    std::int64_t born;
    std::atomic<std::uint64_t> sequence {0};
};

/// Writes the servers' entries into the store, as they do themselves.
class Heartbeats
{
public:
    Heartbeats(Store &store, std::vector<Server *> servers, int everyMs)
        : store(store), servers(std::move(servers))
    {
        this->writeAll();
        std::thread([this, everyMs] {
            for (;;) {
                sleepMs(everyMs);
                this->writeAll();
            }
        }).detach();
    }

private:
    void writeAll()
    {
        for (Server *server : this->servers) {
            if (!server->silent) {
                this->store.put("servers/" + server->id, server->entry());
            }
        }
    }
    Store &store;
    std::vector<Server *> servers;
};

// --- lagoondeckd

inline void replaceAll(std::string &text, const std::string &from, const std::string &to)
{
    for (std::size_t at = 0; (at = text.find(from, at)) != std::string::npos; at += to.size()) {
        text.replace(at, from.size(), to);
    }
}

struct Machine
{
    std::string name;
    std::string zone;
    std::string ip;
    int front = 0;
    int ready = 0;
    int control = 0;
    int peer = 0;
    std::string store;
    std::vector<std::string> seeds;
    int memoryMb = 260;
    int maxFds = 4100;
    bool bootstrap = true;
    /// The core on which the machine's processes run; -1 for any.
    int core = -1;
};

/// One lagoondeckd with the command of deploy/system.toml and the template of its settings.
class Daemon
{
public:
    Daemon(Machine machine, std::string root, std::string folder)
        : machine(std::move(machine)), root(std::move(root)), folder(std::move(folder))
    { }
    ~Daemon() { this->kill(SIGKILL); }

    void start()
    {
        const std::string settings = this->folder + "/" + this->machine.name + ".json";
        std::ofstream(settings) << this->settingsText();
        const std::string log = this->folder + "/" + this->machine.name + ".log";
        const std::string program = this->root + "/target/bin/lagoondeckd";
        const pid_t parent = getpid();
        this->pid = fork();
        if (this->pid == 0) {
            // No process outlives the case, however that ends.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (getppid() != parent) {
                _exit(127);
            }
            if (this->machine.core >= 0) {
                cpu_set_t cores;
                CPU_ZERO(&cores);
                CPU_SET(static_cast<std::size_t>(this->machine.core), &cores);
                sched_setaffinity(0, sizeof cores, &cores);
            }
            const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            if (chdir(this->root.c_str()) == 0) {
                execl(program.c_str(), "target/bin/lagoondeckd", "--settings", settings.c_str(),
                      static_cast<char *>(nullptr));
            }
            _exit(127);
        }
        this->machine.bootstrap = false;
    }
    void kill(int signal)
    {
        if (this->pid > 0) {
            ::kill(this->pid, signal);
            if (signal == SIGKILL) {
                waitpid(this->pid, nullptr, 0);
                this->pid = -1;
            }
        }
    }
    /// Returns true if the process has ended by itself, with its status.
    bool hasEnded(int &status)
    {
        if (this->pid > 0 && waitpid(this->pid, &status, WNOHANG) == this->pid) {
            this->pid = -1;
            return true;
        }
        return false;
    }
    bool isReady(int timeoutMs = 1000) const
    {
        const int fd = connectTo(this->machine.ip, this->machine.ready, timeoutMs);
        if (fd < 0) {
            return false;
        }
        Message answer;
        sendAll(fd, "GET /lagoondeck/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        const Got got = Reader(fd).read(answer, timeoutMs);
        close(fd);
        return got == Got::Message && answer.status == 200;
    }
    bool awaitReady(int timeoutMs) const
    {
        const auto until = Clock::now() + Ms(timeoutMs);
        while (!this->isReady()) {
            if (Clock::now() >= until) {
                return false;
            }
            sleepMs(20);
        }
        return true;
    }

    Machine machine;
    pid_t pid = -1;

private:
    std::string settingsText() const
    {
        std::ifstream file(this->root + "/deploy/settings.json");
        std::stringstream all;
        all << file.rdbuf();
        std::string text = all.str();
        const auto at = [this](int port) {
            return this->machine.ip + ":" + std::to_string(port);
        };
        std::string seeds;
        for (const std::string &seed : this->machine.seeds) {
            seeds += (seeds.empty() ? "\"" : ",\"") + seed + "\"";
        }
        replaceAll(text, "{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", seeds);
        replaceAll(text, "{{#bootstrap}}true{{/bootstrap}}{{^bootstrap}}false{{/bootstrap}}",
                   this->machine.bootstrap ? "true" : "false");
        const std::vector<std::pair<std::string, std::string>> values {
                {"node_name", this->machine.name},
                {"zone", this->machine.zone},
                {"zones|json", R"({"zone-a":"region","zone-b":"region","zone-c":"region"})"},
                {"listen.front", at(this->machine.front)},
                {"listen.ready", at(this->machine.ready)},
                {"listen.control", at(this->machine.control)},
                {"ip", this->machine.ip},
                {"internal_ports.0", std::to_string(this->machine.peer)},
                {"platform.address", this->machine.store},
                {"bounds.retry_budget_ratio", "0.2"},
                {"bounds.budget_slack", "52"},
                {"bounds.budget_window_s", "10"},
                {"bounds.grace_s", "6"},
                {"bounds.drain_ms", "3000"},
                {"bounds.config_apply_ms", "3000"},
                {"platform.min_ttl_ms", "1000"},
                {"limits.cpu_share", "0.25"},
                {"limits.cores", "1"},
                {"limits.link_mbps", "1000.0"},
                {"limits.memory_mb", std::to_string(this->machine.memoryMb)},
                {"limits.max_fds", std::to_string(this->machine.maxFds)},
        };
        for (const auto &[name, value] : values) {
            replaceAll(text, "{{" + name + "}}", value);
        }
        // The metrics port of the template is fixed; on one machine it must differ.
        replaceAll(text, ":9464\"", ":" + std::to_string(this->machine.peer + 1) + "\"");
        if (text.find("{{") != std::string::npos) {
            cannotRun("deploy/settings.json has a field that this rig does not fill in");
        }
        return text;
    }

    std::string root;
    std::string folder;
};

/// Machines with one lagoondeckd each, in three zones.
class Fleet
{
public:
    Fleet(int count, Store &store, const std::string &root, const std::string &folder)
    {
        std::vector<std::string> ips;
        const int net = 10 + getpid() % 200;
        for (int i = 0; i < count; ++i) {
            ips.push_back("127.0." + std::to_string(net) + "." + std::to_string(i + 10));
        }
        const int base = freePorts(ips, 6);
        std::vector<std::string> seeds;
        for (int i = 0; i < std::min(count, 3); ++i) {
            seeds.push_back(ips[static_cast<std::size_t>(i)] + ":" + std::to_string(base + 2));
        }
        const char *zones[] = {"zone-a", "zone-b", "zone-c"};
        for (int i = 0; i < count; ++i) {
            Machine machine;
            machine.name = std::string("front-") + zones[i % 3] + "-" + std::to_string(i / 3 + 1);
            machine.zone = zones[i % 3];
            machine.ip = ips[static_cast<std::size_t>(i)];
            machine.front = base;
            machine.ready = base + 1;
            machine.control = base + 2;
            machine.peer = base + 3;
            machine.store = "127.0.0.1:" + std::to_string(store.port(i));
            machine.seeds = seeds;
            // A machine of these sites has one core ("cores = 1" in its settings).
            machine.core = i % static_cast<int>(std::max(1U, std::thread::hardware_concurrency()));
            this->daemons.push_back(std::make_unique<Daemon>(machine, root, folder));
        }
    }
    void startAll()
    {
        for (auto &daemon : this->daemons) {
            daemon->start();
        }
    }
    void awaitReady()
    {
        for (auto &daemon : this->daemons) {
            if (!daemon->awaitReady(10000)) {
                cannotRun("lagoondeckd is not ready");
            }
        }
    }
    std::vector<std::unique_ptr<Daemon>> daemons;
};

// --- clients

/// A connection of a client.
class Client
{
public:
    Client(const std::string &ip, int port, const std::string &source = "")
        : fd(connectTo(ip, port, 1000, source)), reader(fd)
    { }
    ~Client()
    {
        if (this->fd >= 0) {
            close(this->fd);
        }
    }
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;
    bool isOpen() const { return this->fd >= 0; }
    Got ask(const std::string &bytes, Message &answer, int timeoutMs)
    {
        if (this->fd < 0 || !sendAll(this->fd, bytes)) {
            return Got::Reset;
        }
        return this->reader.read(answer, timeoutMs);
    }
    int fd;
    Reader reader;
};

inline std::string request(const std::string &method, const std::string &host,
                           const std::string &path, const std::string &id, int deadlineMs,
                           const std::string &body = "",
                           const std::vector<std::pair<std::string, std::string>> &more = {})
{
    std::string out = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + id
            + "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
    for (const auto &[name, value] : more) {
        out += name + ": " + value + "\r\n";
    }
    if (!body.empty()) {
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return out + "\r\n" + body;
}

inline std::string newId()
{
    static std::atomic<std::uint64_t> last {
            static_cast<std::uint64_t>(Clock::now().time_since_epoch().count()) << 8U};
    char text[32];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(++last));
    return text;
}

/// The arguments of a case, and whether it brings its disruption about.
struct Case
{
    Case(int argc, char **argv)
    {
        if (argc != 4) {
            cannotRun("usage: case ROOT FOLDER RECORD");
        }
        this->root = argv[1];
        this->folder = argv[2];
        this->record = std::make_unique<Record>(argv[3]);
        const char *value = std::getenv("TROUBLE");
        this->trouble = value == nullptr || std::strcmp(value, "0") != 0;
        if (access((this->root + "/target/bin/lagoondeckd").c_str(), X_OK) != 0) {
            cannotRun("target/bin/lagoondeckd is missing");
        }
        // A case takes 120 s at most.
        ::signal(SIGALRM, [](int) { _exit(2); });
        alarm(115);
    }
    /// Writes what ran, ends all processes and exits with 1 if the rule was broken.
    [[noreturn]] void end(Runs &runs, Fleet &fleet, bool isBroken, const std::string &summary)
    {
        for (const Run &run : runs.all()) {
            char at[32];
            std::snprintf(at, sizeof at, "%.3f", run.at);
            this->record->line("run at " + std::string(at) + " of '" + run.requestId + "' by "
                               + run.server + ": " + run.method + " " + run.target + ", body of "
                               + std::to_string(run.body.size()) + " bytes");
        }
        this->record->line(summary);
        this->record->line(isBroken ? "the rule was broken" : "the rule held");
        std::printf("%s\n", summary.c_str());
        std::fflush(stdout);
        for (auto &daemon : fleet.daemons) {
            daemon->kill(SIGKILL);
        }
        std::_Exit(isBroken ? 1 : 0);
    }

    std::string root;
    std::string folder;
    std::unique_ptr<Record> record;
    bool trouble = true;
};

inline json limits(int maxBody = 262144)
{
    return {{"max_header_bytes", 16384},
            {"max_body_bytes", maxBody},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}};
}

} // namespace rig

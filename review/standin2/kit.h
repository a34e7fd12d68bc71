/// \file
/// Stand-ins for the review scripts: the platform's store, backend servers,
/// clients, a TCP proxy and the processes of route nodes. Written for clarity,
/// with one thread for each connection. They follow the users' pages; where a
/// page is silent, they behave like a sound store, server or client.
#ifndef REVIEW_STANDIN2_KIT_H_
#define REVIEW_STANDIN2_KIT_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

inline void Sleep(int milliseconds) {
  std::this_thread::sleep_for(Millis(milliseconds));
}

inline std::int64_t WallMillis() {
  return std::chrono::duration_cast<Millis>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Lines of record.txt, each with the time since the start of the script.
class Record {
 public:
  static Record& Get() {
    static Record record;
    return record;
  }
  void Open(const std::string& path) { file_.open(path, std::ios::trunc); }
  std::int64_t Now() const {
    return std::chrono::duration_cast<Millis>(Clock::now() - start_).count();
  }
  void Write(const std::string& line) {
    const std::lock_guard<std::mutex> lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f  ",
                  static_cast<double>(Now()) / 1000);
    file_ << time << line << "\n" << std::flush;
  }

 private:
  const Clock::time_point start_ = Clock::now();
  std::mutex mutex_;
  std::ofstream file_;
};

inline void Log(const std::string& line) {
  Record::Get().Write(line);
}

// --- Sockets

constexpr char kLoopback[] = "127.0.0.1";

inline sockaddr_in AddressOf(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, kLoopback, &address.sin_addr);
  return address;
}

inline std::string Endpoint(int port) {
  return std::string(kLoopback) + ":" + std::to_string(port);
}

/// Listens on a free port, or on \p port. \returns the descriptor.
inline int Listen(int* port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = AddressOf(*port);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd, 1024) != 0) {
    close(fd);
    return -1;
  }
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  *port = ntohs(address.sin_port);
  return fd;
}

/// Ports that are free now and differ from each other. They lie below the
/// range of ephemeral ports, so that no outgoing connection takes one before a
/// node listens on it.
inline std::vector<int> FreePorts(std::size_t count) {
  static int next = 12000 + static_cast<int>(getpid() % 150) * 128;
  std::vector<int> ports;
  while (ports.size() < count) {
    if (next > 32000)
      next = 12000;
    int port = next++;
    const int fd = Listen(&port);
    if (fd < 0)
      continue;
    close(fd);
    ports.push_back(port);
  }
  return ports;
}

inline int Connect(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = AddressOf(port);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline bool SendAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0)
      return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

inline void Reset(int fd) {
  const linger hard{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  close(fd);
}

/// Whether the other end has closed the connection or reset it.
inline bool IsClosedByPeer(int fd) {
  pollfd entry{fd, POLLIN | POLLRDHUP, 0};
  return poll(&entry, 1, 0) > 0 &&
         (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

// --- HTTP messages

inline std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

struct Message {
  /// Method, target, version or version, status, reason.
  std::string start;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  std::string Field(const std::string& name) const {
    for (const auto& [key, value] : headers) {
      if (Lower(key) == Lower(name))
        return value;
    }
    return {};
  }
  bool Has(const std::string& name) const {
    return std::any_of(headers.begin(), headers.end(), [&](const auto& header) {
      return Lower(header.first) == Lower(name);
    });
  }
  std::string Word(std::size_t index) const {
    std::istringstream words(start);
    std::string word;
    for (std::size_t i = 0; i <= index; ++i) {
      word.clear();
      words >> word;
    }
    return word;
  }
  std::string method() const { return Word(0); }
  std::string target() const { return Word(1); }
  int status() const { return std::atoi(Word(1).c_str()); }
};

/// Reads messages from a connection; bytes behind one stay for the next.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}

  /// \returns false if the connection ended, or \p until passed, before the
  /// message was complete.
  bool Read(Message* message, bool has_body, Clock::time_point until) {
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until))
        return false;
    }
    Parse(buffer_.substr(0, end), message);
    buffer_.erase(0, end + 4);
    if (!has_body)
      return true;
    if (Lower(message->Field("Transfer-Encoding")) == "chunked")
      return ReadChunks(message, until);
    if (!message->Has("Content-Length"))
      return true;
    const auto size = static_cast<std::size_t>(
        std::strtoull(message->Field("Content-Length").c_str(), nullptr, 10));
    while (buffer_.size() < size) {
      if (!Fill(until))
        return false;
    }
    message->body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return true;
  }

 private:
  bool Fill(Clock::time_point until) {
    const auto left =
        std::chrono::duration_cast<Millis>(until - Clock::now()).count();
    if (left <= 0)
      return false;
    pollfd entry{fd_, POLLIN, 0};
    if (poll(&entry, 1, static_cast<int>(std::min<long>(left, 1000000))) <= 0)
      return false;
    char bytes[16384];
    const ssize_t size = recv(fd_, bytes, sizeof bytes, 0);
    if (size <= 0)
      return false;
    buffer_.append(bytes, static_cast<std::size_t>(size));
    return true;
  }

  static void Parse(const std::string& head, Message* message) {
    std::istringstream lines(head);
    std::string line;
    std::getline(lines, message->start);
    if (!message->start.empty() && message->start.back() == '\r')
      message->start.pop_back();
    while (std::getline(lines, line)) {
      if (!line.empty() && line.back() == '\r')
        line.pop_back();
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos)
        continue;
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ')
        ++value;
      message->headers.emplace_back(line.substr(0, colon), line.substr(value));
    }
  }

  bool ReadChunks(Message* message, Clock::time_point until) {
    for (;;) {
      std::size_t end = 0;
      while ((end = buffer_.find("\r\n")) == std::string::npos) {
        if (!Fill(until))
          return false;
      }
      const auto size = static_cast<std::size_t>(
          std::strtoull(buffer_.substr(0, end).c_str(), nullptr, 16));
      buffer_.erase(0, end + 2);
      while (buffer_.size() < size + 2) {
        if (!Fill(until))
          return false;
      }
      message->body += buffer_.substr(0, size);
      buffer_.erase(0, size + 2);
      if (size == 0)
        return true;
    }
  }

  const int fd_;
  std::string buffer_;
};

struct Response {
  int status = 200;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  /// Closes the connection without an answer.
  bool is_dropped = false;
};

inline std::string Serialize(const Response& response) {
  std::string text = "HTTP/1.1 " + std::to_string(response.status) + " X\r\n";
  for (const auto& [name, value] : response.headers)
    text += name + ": " + value + "\r\n";
  return text + "Content-Length: " + std::to_string(response.body.size()) +
         "\r\n\r\n" + response.body;
}

/// Serves each connection on a thread of its own.
class HttpServer {
 public:
  /// The second argument is the descriptor of the connection.
  using Handler = std::function<Response(const Message&, int)>;

  explicit HttpServer(Handler handler, int port = 0)
      : handler_(std::move(handler)), port_(port) {
    listener_ = Listen(&port_);
    if (listener_ < 0) {
      std::fprintf(stderr, "cannot listen on port %d\n", port_);
      std::exit(2);
    }
    acceptor_ = std::thread([this] { Accept(); });
  }
  ~HttpServer() { Stop(); }
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  int port() const { return port_; }

  /// Closes the port and all connections, as the end of the process does.
  void Stop() {
    if (is_stopped_.exchange(true))
      return;
    shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    close(listener_);
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      for (const int fd : connections_)
        shutdown(fd, SHUT_RDWR);
    }
    std::unique_lock<std::mutex> lock(mutex_);
    ended_.wait(lock, [this] { return threads_ == 0; });
  }

 private:
  void Accept() {
    for (;;) {
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (is_stopped_)
          return;
        Sleep(1);
        continue;
      }
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      const std::lock_guard<std::mutex> lock(mutex_);
      if (is_stopped_) {
        close(fd);
        continue;
      }
      connections_.insert(fd);
      ++threads_;
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }

  void Serve(int fd) {
    Reader reader(fd);
    Message request;
    while (reader.Read(&request, true, Clock::now() + Millis(120000))) {
      const Response response = handler_(request, fd);
      if (response.is_dropped || !SendAll(fd, Serialize(response)))
        break;
      request = {};
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    connections_.erase(fd);
    close(fd);
    --threads_;
    ended_.notify_all();
  }

  const Handler handler_;
  int port_;
  int listener_;
  std::thread acceptor_;
  std::atomic<bool> is_stopped_ = false;
  std::mutex mutex_;
  std::condition_variable ended_;
  std::set<int> connections_;
  int threads_ = 0;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

/// Sends one request on a new connection. \returns the answer with status 0 if
/// there was none that is complete.
inline Message Call(int port,
                    const std::string& method,
                    const std::string& target,
                    const Headers& headers,
                    const std::string& body,
                    int timeout_ms) {
  Message answer;
  const int fd = Connect(port);
  if (fd < 0)
    return answer;
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers)
    text += name + ": " + value + "\r\n";
  if (method != "GET")
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  text += "\r\n" + body;
  Reader reader(fd);
  if (!SendAll(fd, text) ||
      !reader.Read(&answer, true, Clock::now() + Millis(timeout_ms)))
    answer = {};
  close(fd);
  return answer;
}

// --- JSON

/// A JSON value; numbers are kept as text.
struct Json {
  enum class Kind { kNull, kText, kNumber, kBool, kList, kObject };
  Kind kind = Kind::kNull;
  std::string text;
  std::vector<Json> list;
  std::map<std::string, Json> object;

  const Json& operator[](const std::string& name) const {
    static const Json kMissing;
    const auto found = object.find(name);
    return found == object.end() ? kMissing : found->second;
  }
};

class JsonParser {
 public:
  explicit JsonParser(std::string_view text) : text_(text) {}

  Json Parse() {
    SkipSpace();
    Json value;
    if (at_ >= text_.size())
      return value;
    const char c = text_[at_];
    if (c == '"') {
      value.kind = Json::Kind::kText;
      value.text = ParseText();
    } else if (c == '[') {
      value.kind = Json::Kind::kList;
      ++at_;
      while (Next() != ']' && at_ < text_.size()) {
        value.list.push_back(Parse());
        if (Next() == ',')
          ++at_;
      }
      ++at_;
    } else if (c == '{') {
      value.kind = Json::Kind::kObject;
      ++at_;
      while (Next() != '}' && at_ < text_.size()) {
        const std::string name = ParseText();
        Next();
        ++at_;
        value.object[name] = Parse();
        if (Next() == ',')
          ++at_;
      }
      ++at_;
    } else {
      value.kind =
          c == 't' || c == 'f' ? Json::Kind::kBool : Json::Kind::kNumber;
      while (at_ < text_.size() &&
             std::string_view(",]} \r\n\t").find(text_[at_]) ==
                 std::string_view::npos)
        value.text += text_[at_++];
    }
    return value;
  }

 private:
  void SkipSpace() {
    while (at_ < text_.size() && std::isspace(text_[at_]) != 0)
      ++at_;
  }
  char Next() {
    SkipSpace();
    return at_ < text_.size() ? text_[at_] : '\0';
  }
  std::string ParseText() {
    Next();
    ++at_;
    std::string text;
    while (at_ < text_.size() && text_[at_] != '"') {
      if (text_[at_] == '\\' && at_ + 1 < text_.size())
        ++at_;
      text += text_[at_++];
    }
    ++at_;
    return text;
  }

  std::string_view text_;
  std::size_t at_ = 0;
};

inline std::string Base64(const std::string& bytes) {
  static const char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j)
      group = group << 8 |
              (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                    : 0U);
    for (std::size_t j = 0; j < 4; ++j)
      out += i + j <= bytes.size() ? kDigits[group >> (18 - 6 * j) & 63] : '=';
  }
  return out;
}

// --- The platform's store

inline std::string DecodePercent(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(
          std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

inline std::map<std::string, std::string> QueryOf(const std::string& target) {
  std::map<std::string, std::string> query;
  const std::size_t mark = target.find('?');
  if (mark == std::string::npos)
    return query;
  std::istringstream fields(target.substr(mark + 1));
  std::string field;
  while (std::getline(fields, field, '&')) {
    const std::size_t equals = field.find('=');
    if (equals != std::string::npos)
      query[field.substr(0, equals)] = DecodePercent(field.substr(equals + 1));
  }
  return query;
}

/// Tables of versioned rows with reads, transactions and feeds. All rows have
/// an empty part.
class Store {
 public:
  /// \param clock_ms what the store's steady clock reads at first.
  explicit Store(std::int64_t clock_ms = 1000000)
      : clock_ms_(clock_ms), server_([this](const Message& request, int fd) {
          return Handle(request, fd);
        }) {}
  ~Store() {
    is_stopped_ = true;
    changed_.notify_all();
  }

  int port() const { return server_.port(); }

  /// The store's steady clock in milliseconds.
  std::int64_t clock_ms() const {
    return clock_ms_ +
           std::chrono::duration_cast<Millis>(Clock::now() - start_).count();
  }

  /// While away, the store answers no call.
  void SetAway(bool away) { is_away_ = away; }

  /// What the operator and other writers write.
  void Put(const std::string& table,
           const std::string& key,
           const std::string& value) {
    const std::lock_guard<std::mutex> lock(mutex_);
    tables_[table][key] = {Base64(value), ++version_, false};
    changed_.notify_all();
  }

  std::size_t CountRows(const std::string& table) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::size_t count = 0;
    for (const auto& [key, row] : tables_[table])
      count += row.is_removed ? 0 : 1;
    return count;
  }

 private:
  struct Row {
    std::string value;
    std::uint64_t version = 0;
    bool is_removed = false;
  };

  Response Handle(const Message& request, int fd) {
    while (is_away_ && !is_stopped_ && !IsClosedByPeer(fd))
      Sleep(20);
    if (is_away_ || is_stopped_) {
      Response dropped;
      dropped.is_dropped = true;
      return dropped;
    }
    Sleep(4);
    const std::string target = request.target();
    const auto query = QueryOf(target);
    if (target.rfind("/api/rows-get", 0) == 0)
      return Rows(query, 0);
    if (target.rfind("/api/rows-feed", 0) == 0)
      return Feed(query, fd);
    if (target.rfind("/api/rows-tx", 0) == 0)
      return Transact(request.body);
    Response missing;
    missing.status = 404;
    return missing;
  }

  static std::string Value(const std::map<std::string, std::string>& query,
                           const std::string& name) {
    const auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
  }

  Response Answer(int status, const std::string& body) {
    Response response;
    response.status = status;
    response.headers = {{"Content-Type", "application/json"},
                        {"Store-Era", "1"}};
    response.body = body;
    return response;
  }

  std::string Now() const { return "\"" + std::to_string(clock_ms()) + "ms\""; }

  Response Rows(const std::map<std::string, std::string>& query,
                std::uint64_t after) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::string table = Value(query, "table");
    const std::string from = Value(query, "from");
    const std::string target = Value(query, "target");
    std::string rows;
    for (const auto& [key, row] : tables_[table]) {
      const bool is_in_range =
          key >= from && (target.empty() || key < target) &&
          row.version > after && (after > 0 || !row.is_removed);
      if (!is_in_range)
        continue;
      rows += rows.empty() ? "" : ",";
      rows += "{\"table\":\"" + table + "\",\"part\":\"\",\"key\":\"" + key +
              "\",\"value\":\"" + row.value +
              "\",\"ver\":" + std::to_string(row.version) +
              (row.is_removed ? ",\"removed\":true}" : "}");
    }
    return Answer(200, "{\"rows\":[" + rows + "],\"has_more\":false,\"ver\":" +
                           std::to_string(version_) + ",\"now\":" + Now() +
                           "}");
  }

  Response Feed(const std::map<std::string, std::string>& query, int fd) {
    const std::string table = Value(query, "table");
    const auto after =
        std::strtoull(Value(query, "after").c_str(), nullptr, 10);
    const auto until =
        Clock::now() + Millis(std::atoi(Value(query, "wait_ms").c_str()));
    {
      std::unique_lock<std::mutex> lock(mutex_);
      const auto has_news = [&] {
        const auto& rows = tables_[table];
        return std::any_of(rows.begin(), rows.end(), [&](const auto& entry) {
          return entry.second.version > after;
        });
      };
      while (!has_news() && !is_stopped_ && Clock::now() < until &&
             !IsClosedByPeer(fd))
        changed_.wait_for(lock, Millis(20));
    }
    while (is_away_ && !is_stopped_ && !IsClosedByPeer(fd))
      Sleep(20);
    return Rows(query, std::max<std::uint64_t>(after, 1));
  }

  Response Transact(const std::string& body) {
    const Json call = JsonParser(body).Parse();
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const Json& row : call["expected"].list) {
      const Row& present = tables_[row["table"].text][row["key"].text];
      const std::uint64_t version = present.is_removed ? 0 : present.version;
      if (version != std::strtoull(row["ver"].text.c_str(), nullptr, 10))
        return Answer(412, "{\"rows\":[],\"ver\":" + std::to_string(version_) +
                               ",\"now\":" + Now() + "}");
    }
    ++version_;
    for (const Json& row : call["writes"].list)
      tables_[row["table"].text][row["key"].text] = {row["value"].text,
                                                     version_, false};
    for (const Json& row : call["remove"].list)
      tables_[row["table"].text][row["key"].text] = {"", version_, true};
    changed_.notify_all();
    return Answer(200, "{\"ver\":" + std::to_string(version_) +
                           ",\"now\":" + Now() + "}");
  }

  const std::int64_t clock_ms_;
  const Clock::time_point start_ = Clock::now();
  std::atomic<bool> is_away_ = false;
  std::atomic<bool> is_stopped_ = false;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t version_ = 1;
  std::map<std::string, std::map<std::string, Row>> tables_;
  HttpServer server_;
};

// --- Hosts

/// The ports of a host and what its settings hold.
struct Host {
  std::string name;
  std::string zone = "zone-a";
  std::string service;
  int entry = 0;
  int reports = 0;
  int ready = 0;
  int peer = 0;
  int backend = 0;
};

inline Host MakeHost(const std::string& name, const std::string& service) {
  const std::vector<int> ports = FreePorts(5);
  Host host;
  host.name = name;
  host.service = service;
  host.entry = ports[0];
  host.reports = ports[1];
  host.ready = ports[2];
  host.peer = ports[3];
  host.backend = ports[4];
  return host;
}

// --- Backend servers

/// A run of a request at a server.
struct Run {
  std::int64_t at_ms = 0;
  std::string id;
  std::string server;
  std::string caller;
  std::string target;
};

struct ServerOptions {
  std::string instance;
  std::string service;
  int slots = 16;
  /// Interval of the status reports.
  int report_ms = 1500;
  /// Time of a run, by its target.
  std::function<int(const std::string& target)> work_ms;
  /// Calls that a run makes at the end of its work, by its target: pairs of
  /// host and target.
  std::function<std::vector<std::pair<std::string, std::string>>(
      const std::string& target)>
      calls;
  /// Most servers end a run when its connection closes; some go on.
  bool ends_with_connection = true;
};

/// A server beside the node of \p host.
class Server {
 public:
  Server(const Host& host, ServerOptions options)
      : host_(host),
        options_(std::move(options)),
        born_(WallMillis()),
        server_([this](const Message& request,
                       int fd) { return Handle(request, fd); },
                host.backend) {
    reporter_ = std::thread([this] { ReportAll(); });
  }
  ~Server() { Stop(); }

  void Stop() {
    if (is_stopped_.exchange(true))
      return;
    reporter_.join();
    server_.Stop();
  }

  const std::string& instance() const { return options_.instance; }

  std::vector<Run> runs() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return runs_;
  }
  int running() const { return running_; }

  std::string ReportBody(const std::string& service,
                         const std::string& state,
                         std::uint64_t sequence,
                         std::int64_t born) const {
    return "{\"address\":\"" + Endpoint(host_.backend) +
           "\",\"born\":" + std::to_string(born) + ",\"info\":{\"service\":\"" +
           service + "\",\"version\":\"v1\",\"zone\":\"" + host_.zone +
           "\",\"slots\":" + std::to_string(options_.slots) +
           "},\"status\":{\"state\":\"" + state +
           "\",\"seq\":" + std::to_string(sequence) +
           ",\"cold_left\":\"0ms\"}}";
  }

 private:
  void ReportAll() {
    std::uint64_t sequence = 0;
    while (!is_stopped_) {
      const Message answer =
          Call(host_.reports, "PUT", "/api/instances/" + options_.instance,
               {{"Host", Endpoint(host_.reports)},
                {"Content-Type", "application/json"}},
               ReportBody(options_.service, "ready", ++sequence, born_), 1000);
      // A report without confirmation is repeated soon.
      const int pause = answer.status() == 200 ? options_.report_ms : 300;
      for (int waited = 0; waited < pause && !is_stopped_; waited += 20)
        Sleep(20);
    }
  }

  std::string Load() const {
    return std::to_string(running_.load()) + ",0," +
           std::to_string(options_.slots);
  }

  Response Handle(const Message& request, int fd) {
    Response response;
    const std::string target = request.target();
    response.headers = {{"X-Server-Load", Load()}};
    if (target == "/healthz") {
      response.headers.emplace_back("X-Instance", options_.instance);
      return response;
    }
    const std::string id = request.Field("X-Attempt-Id");
    const std::string expected = request.Field("X-Expect-Instance");
    response.headers.emplace_back("X-Attempt-Id", id);
    if (!expected.empty() && expected != options_.instance) {
      Log("server " + options_.instance + " answers 421 to " + id +
          ", which expects " + expected);
      response.status = 421;
      response.headers.emplace_back("X-Instance", options_.instance);
      return response;
    }
    if (running_ >= options_.slots) {
      response.status = 503;
      response.headers.emplace_back("X-Not-Executed", "1");
      return response;
    }
    ++running_;
    Execute(request, fd, &response);
    --running_;
    return response;
  }

  void Execute(const Message& request, int fd, Response* response) {
    const std::string id = request.Field("X-Attempt-Id");
    const std::string target = request.target();
    const int budget = std::atoi(request.Field("X-Deadline-Ms").c_str());
    const auto deadline = Clock::now() + Millis(budget);
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      runs_.push_back({Record::Get().Now(), id, options_.instance,
                       request.Field("X-Caller"), target});
    }
    Log("server " + options_.instance + " of " + options_.service + " runs " +
        id + " " + target + " caller=" + request.Field("X-Caller") +
        " tenant=" + request.Field("X-Tenant") +
        " budget=" + std::to_string(budget));
    const auto end =
        Clock::now() + Millis(options_.work_ms ? options_.work_ms(target) : 5);
    while (Clock::now() < std::min(end, deadline) && !is_stopped_) {
      if (options_.ends_with_connection && IsClosedByPeer(fd)) {
        Log("server " + options_.instance + " ends " + id +
            ", whose connection has closed");
        response->is_dropped = true;
        return;
      }
      Sleep(2);
    }
    response->status = Clock::now() >= deadline ? 504 : 200;
    if (response->status == 200 && options_.calls)
      MakeCalls(id, target, deadline, response);
    response->headers.emplace_back("X-Response-Seal",
                                   "seal-" + id + "-" + options_.instance);
    response->body = "answer to " + id + " by " + options_.instance;
    Log("server " + options_.instance + " answers " +
        std::to_string(response->status) + " to " + id);
  }

  void MakeCalls(const std::string& id,
                 const std::string& target,
                 Clock::time_point deadline,
                 Response* response) {
    int number = 0;
    for (const auto& [call_host, call_target] : options_.calls(target)) {
      const auto left =
          std::chrono::duration_cast<Millis>(deadline - Clock::now()).count();
      const std::string call_id = id + "." + std::to_string(++number);
      const Message answer = Call(host_.entry, "GET", call_target,
                                  {{"Host", call_host},
                                   {"X-Attempt-Id", call_id},
                                   {"X-Deadline-Ms", std::to_string(left)}},
                                  "", static_cast<int>(left));
      Log("call " + call_id + " of server " + options_.instance +
          " is answered " + std::to_string(answer.status()));
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        call_statuses_.push_back(answer.status());
      }
      if (answer.status() != 200)
        response->status = 500;
    }
  }

 public:
  std::vector<int> call_statuses() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return call_statuses_;
  }

 private:
  const Host host_;
  const ServerOptions options_;
  const std::int64_t born_;
  std::atomic<bool> is_stopped_ = false;
  std::atomic<int> running_ = 0;
  mutable std::mutex mutex_;
  std::vector<Run> runs_;
  std::vector<int> call_statuses_;
  HttpServer server_;
  std::thread reporter_;
};

// --- Nodes

/// Settings beside those of Host, as the template of the deploy file renders
/// them for a small deployment.
struct NodeOptions {
  std::string program = "target/tools/sesamespread";
  int store_port = 0;
  std::string extra;
};

/// The process of a route node. Its output goes to a file.
class Node {
 public:
  Node(Host host, NodeOptions options, std::string directory)
      : host_(std::move(host)),
        options_(std::move(options)),
        directory_(std::move(directory)) {}
  ~Node() { Kill(); }

  void Start(bool bootstrap) {
    const std::string settings = directory_ + "/" + host_.name + ".yaml";
    std::ofstream(settings)
        << "name: \"" << host_.name << "\"\navailability_zone: \"" << host_.zone
        << "\"\nservice: \"" << host_.service << "\"\nbackend: \""
        << Endpoint(host_.backend) << "\"\nlisten:\n  entry: \""
        << Endpoint(host_.entry) << "\"\n  reports: \""
        << Endpoint(host_.reports) << "\"\n  ready: \"" << Endpoint(host_.ready)
        << "\"\n  peer: \"" << Endpoint(host_.peer) << "\"\nstore: \""
        << Endpoint(options_.store_port)
        << "\"\nreport_interval: \"1500ms\"\ndrain: \"2000ms\"\n"
        << "shutdown_timeout: \"6s\"\nretries:\n  ratio: 0.2\n"
        << "  window: \"10s\"\nbootstrap: " << (bootstrap ? "true" : "false")
        << "\n"
        << options_.extra;
    const std::string log = directory_ + "/" + host_.name + ".log";
    pid_ = fork();
    if (pid_ == 0) {
      // The node ends with the script, whatever ends the script.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out =
          open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, S_IRUSR | S_IWUSR);
      dup2(out, STDOUT_FILENO);
      dup2(out, STDERR_FILENO);
      execl(options_.program.c_str(), options_.program.c_str(), "route-node",
            "--settings", settings.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
    Log("node " + host_.name + " started, service " + host_.service);
  }

  void Signal(int number) {
    if (pid_ > 0)
      kill(pid_, number);
  }

  /// Whether the process is running.
  bool IsAlive() {
    if (pid_ <= 0)
      return false;
    if (waitpid(pid_, nullptr, WNOHANG) == 0)
      return true;
    pid_ = 0;
    return false;
  }

  void Kill() {
    if (pid_ <= 0)
      return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = 0;
    Log("node " + host_.name + " killed");
  }

  bool IsReady() const {
    return Call(host_.ready, "GET", "/api/ready", {{"Host", "ready"}}, "", 1000)
               .status() == 200;
  }
  /// A gauge or counter of the node; -1 if there is none.
  double Metric(const std::string& name) const {
    const std::string text =
        Call(host_.ready, "GET", "/metrics", {{"Host", "ready"}}, "", 1000)
            .body;
    const std::size_t at = text.find("\n" + name + " ");
    return at == std::string::npos
               ? -1
               : std::strtod(text.c_str() + at + name.size() + 2, nullptr);
  }

  const Host& host() const { return host_; }
  pid_t pid() const { return pid_; }

 private:
  const Host host_;
  const NodeOptions options_;
  const std::string directory_;
  pid_t pid_ = 0;
};

// --- The operator's document

struct RouteEntry {
  std::string host;
  std::string prefix = "/";
  std::string kind = "safe";
  std::string service;
  int priority = 1;
  int max_attempts = 2;
  std::string timeout = "5000ms";
  std::string goal = "1000ms";
};

inline std::string Document(int version,
                            const std::vector<RouteEntry>& routes,
                            const std::string& tenants = "") {
  std::string listeners;
  std::set<std::string> services;
  int number = 0;
  for (const RouteEntry& route : routes) {
    services.insert(route.service);
    listeners += listeners.empty() ? "" : ",";
    listeners += "{\"host\":\"" + route.host + "\",\"rules\":[{\"name\":\"r" +
                 std::to_string(++number) + "\",\"kind\":\"" + route.kind +
                 "\",\"goal\":\"" + route.goal +
                 "\",\"priority\":" + std::to_string(route.priority) +
                 ",\"match\":{\"prefix\":\"" + route.prefix +
                 "\"},\"action\":{\"service\":\"" + route.service +
                 "\",\"timeout\":\"" + route.timeout +
                 "\",\"max_attempts\":" + std::to_string(route.max_attempts) +
                 "}}]}";
  }
  std::string clusters;
  for (const std::string& service : services) {
    clusters += clusters.empty() ? "" : ",";
    clusters += "{\"name\":\"" + service +
                "\",\"health_path\":\"/healthz\",\"max_conns\":1000,"
                "\"protocol\":\"h1\",\"tls\":false}";
  }
  return "{\"version\":\"r" + std::to_string(version) +
         "\",\"limits\":{\"max_header_bytes\":16384,"
         "\"max_body_bytes\":1048576,\"header_timeout\":\"3000ms\","
         "\"idle_timeout\":\"15000ms\"},\"listeners\":[" +
         listeners + "],\"clusters\":[" + clusters + "]" +
         (tenants.empty() ? "" : ",\"tenants\":" + tenants) + "}";
}

// --- Scripts

/// Whether \p condition becomes true within \p timeout_ms.
template <typename Condition>
bool WaitFor(Condition condition, int timeout_ms) {
  const auto until = Clock::now() + Millis(timeout_ms);
  while (!condition()) {
    if (Clock::now() >= until)
      return false;
    Sleep(50);
  }
  return true;
}

/// Whether all nodes are ready and list the servers of \p servers nodes.
inline bool WaitUntilServing(const std::vector<std::unique_ptr<Node>>& nodes,
                             std::size_t servers,
                             int timeout_ms = 20000) {
  return WaitFor(
      [&] {
        return std::all_of(nodes.begin(), nodes.end(), [&](const auto& node) {
          return node->IsReady() &&
                 node->Metric("sesamespread_servers_available") >=
                     static_cast<double>(servers);
        });
      },
      timeout_ms);
}

inline bool IsTroubled() {
  const char* const trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

/// A temporary folder, removed with its contents.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "review2.XXXXXX").string();
    path_ = mkdtemp(pattern.data());
  }
  ~TemporaryFolder() {
    if (std::getenv("REVIEW_KEEP_LOGS") == nullptr) {
      std::error_code ignored;
      std::filesystem::remove_all(path_, ignored);
    } else {
      std::fprintf(stderr, "logs: %s\n", path_.c_str());
    }
  }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

/// Exit codes of a script.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

inline int Finish(int code, const std::string& why) {
  Log("result " + std::to_string(code) + ": " + why);
  std::printf("%s\n", why.c_str());
  return code;
}

}  // namespace review

#endif  // REVIEW_STANDIN2_KIT_H_

/// \file
/// Implements the stand-ins of the review cases.
#include "standin.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace review {
namespace {

using std::chrono::duration;
using std::chrono::steady_clock;

const steady_clock::time_point kStart = steady_clock::now();

std::mutex record_mutex;
std::ofstream record_file;

sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1)
    throw std::runtime_error("not an address: " + ip);
  return address;
}

bool WriteAll(int fd, const std::string& bytes) {
  std::size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t size =
        send(fd, bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL);
    if (size <= 0)
      return false;
    written += static_cast<std::size_t>(size);
  }
  return true;
}

// Waits for input. \returns false after \p timeout_s.
bool WaitForInput(int fd, double timeout_s) {
  pollfd entry{fd, POLLIN, 0};
  return poll(&entry, 1, static_cast<int>(std::max(timeout_s, 0.0) * 1000)) > 0;
}

// Parses the lines of a head after the first one.
Headers ParseFields(const std::string& head) {
  Headers headers;
  std::istringstream lines(head);
  std::string line;
  std::getline(lines, line);
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r')
      line.pop_back();
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    headers.emplace_back(line.substr(0, colon),
                         value == std::string::npos ? "" : line.substr(value));
  }
  return headers;
}

std::size_t LengthOf(const Headers& headers) {
  const std::string length = FieldOf(headers, "Content-Length");
  return length.empty() ? 0 : std::stoul(length);
}

std::string QueryField(const std::string& target, const std::string& name) {
  const std::size_t query = target.find('?');
  if (query == std::string::npos)
    return {};
  std::string encoded;
  std::istringstream fields(target.substr(query + 1));
  for (std::string field; std::getline(fields, field, '&');) {
    if (field.rfind(name + "=", 0) == 0)
      encoded = field.substr(name.size() + 1);
  }
  std::string text;
  for (std::size_t i = 0; i < encoded.size(); ++i) {
    if (encoded[i] == '%' && i + 2 < encoded.size()) {
      text +=
          static_cast<char>(std::stoi(encoded.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      text += encoded[i];
    }
  }
  return text;
}

std::string EncodeBase64(const std::string& text) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string encoded;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t j = 0; j < 3; ++j)
      bits =
          bits << 8 |
          (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
    for (std::size_t j = 0; j < 4; ++j)
      encoded +=
          i + j <= text.size() ? kDigits[bits >> (18 - 6 * j) & 63] : '=';
  }
  return encoded;
}

// Returns the texts of the field \p name in the JSON text \p json. The nodes
// write keys and values without escapes.
std::vector<std::string> TextsOf(const std::string& json,
                                 const std::string& name) {
  std::vector<std::string> texts;
  const std::string begin = "\"" + name + "\":\"";
  for (std::size_t at = json.find(begin); at != std::string::npos;
       at = json.find(begin, at)) {
    at += begin.size();
    texts.push_back(json.substr(at, json.find('"', at) - at));
  }
  return texts;
}

// Returns the list \p name in \p json, which holds no nested lists.
std::string ListOf(const std::string& json, const std::string& name) {
  const std::size_t begin = json.find("\"" + name + "\":[");
  if (begin == std::string::npos)
    return {};
  return json.substr(begin, json.find(']', begin) - begin);
}

std::string ReplaceAll(std::string text,
                       const std::string& from,
                       const std::string& to) {
  for (std::size_t at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size()))
    text.replace(at, from.size(), to);
  return text;
}

}  // namespace

double Elapsed() {
  return duration<double>(steady_clock::now() - kStart).count();
}

void SleepUntil(double elapsed) {
  std::this_thread::sleep_until(
      kStart + std::chrono::duration_cast<steady_clock::duration>(
                   duration<double>(elapsed)));
}

std::uint64_t WallMillis() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

void OpenRecord(const std::string& path) {
  record_file.open(path, std::ios::app);
  if (!record_file)
    throw std::runtime_error("cannot write " + path);
}

void Record(const std::string& line) {
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f  ", Elapsed());
  const std::lock_guard lock(record_mutex);
  record_file << time << line << std::endl;
}

bool HasTrouble() {
  const char* const trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

std::string FieldOf(const Headers& headers, const std::string& name) {
  for (const auto& [field, value] : headers) {
    if (strcasecmp(field.c_str(), name.c_str()) == 0)
      return value;
  }
  return {};
}

Connection::Connection(const std::string& ip, int port, Options options) {
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (options.receive_buffer > 0)
    setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &options.receive_buffer,
               sizeof(options.receive_buffer));
  if (options.max_segment > 0)
    setsockopt(fd_, IPPROTO_TCP, TCP_MAXSEG, &options.max_segment,
               sizeof(options.max_segment));
  const sockaddr_in address = AddressOf(ip, port);
  if (connect(fd_, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(fd_);
    fd_ = -1;
  }
}

Connection::~Connection() {
  if (fd_ >= 0)
    close(fd_);
}

bool Connection::Send(const Request& request) const {
  std::string bytes = request.method + " " + request.target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : request.headers)
    bytes += name + ": " + value + "\r\n";
  if (!request.body.empty() || request.method != "GET")
    bytes += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  bytes += "\r\n" + request.body;
  return fd_ >= 0 && WriteAll(fd_, bytes);
}

Response Connection::Receive(double timeout_s, double bytes_per_s) {
  Response response;
  const double begin = Elapsed();
  const double end = begin + timeout_s;
  std::size_t head = std::string::npos;
  std::size_t received = 0;
  while (true) {
    if (head == std::string::npos)
      head = buffer_.find("\r\n\r\n");
    if (head != std::string::npos) {
      if (response.status == 0) {
        response.headers = ParseFields(buffer_.substr(0, head + 2));
        response.status = std::atoi(buffer_.substr(9, 3).c_str());
      }
      const std::size_t whole = head + 4 + LengthOf(response.headers);
      response.body = buffer_.substr(head + 4, whole - head - 4);
      if (buffer_.size() >= whole) {
        buffer_.erase(0, whole);
        response.is_complete = true;
        return response;
      }
    }
    if (bytes_per_s > 0)
      SleepUntil(begin + static_cast<double>(received) / bytes_per_s);
    if (fd_ < 0 || !WaitForInput(fd_, end - Elapsed())) {
      response.ending = fd_ < 0 ? "no connection" : "time-out";
      return response;
    }
    char bytes[16384];
    const ssize_t size = recv(fd_, bytes, sizeof(bytes), 0);
    if (size <= 0) {
      response.ending = size == 0 ? "closed" : std::strerror(errno);
      return response;
    }
    received += static_cast<std::size_t>(size);
    buffer_.append(bytes, static_cast<std::size_t>(size));
  }
}

Response Fetch(const std::string& ip,
               int port,
               const Request& request,
               double timeout_s) {
  Connection connection(ip, port);
  connection.Send(request);
  return connection.Receive(timeout_s);
}

Server::Server(std::string ip, int port, Handler handler)
    : handler_(std::move(handler)) {
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = AddressOf(ip, port);
  if (bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
          0 ||
      listen(fd_, 1024) != 0)
    throw std::runtime_error("cannot listen at " + ip + ":" +
                             std::to_string(port));
  acceptor_ = std::thread([this] { Accept(); });
}

Server::~Server() {
  is_stopping_ = true;
  shutdown(fd_, SHUT_RDWR);
  acceptor_.join();
  close(fd_);
  {
    const std::lock_guard lock(mutex_);
    for (const int fd : connections_)
      shutdown(fd, SHUT_RDWR);
  }
  for (std::thread& thread : threads_)
    thread.join();
}

void Server::Accept() {
  while (!is_stopping_) {
    const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0)
      continue;
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const std::lock_guard lock(mutex_);
    connections_.insert(fd);
    threads_.emplace_back([this, fd] { Serve(fd); });
  }
}

void Server::Serve(int fd) {
  std::string buffer;
  while (!is_stopping_) {
    const std::size_t head = buffer.find("\r\n\r\n");
    if (head != std::string::npos) {
      Request request;
      std::istringstream line(buffer.substr(0, buffer.find("\r\n")));
      line >> request.method >> request.target;
      request.headers = ParseFields(buffer.substr(0, head + 2));
      const std::size_t whole = head + 4 + LengthOf(request.headers);
      if (buffer.size() >= whole) {
        request.body = buffer.substr(head + 4, whole - head - 4);
        buffer.erase(0, whole);
        const std::string answer = handler_(request);
        if (answer.empty() || !WriteAll(fd, answer) ||
            FieldOf(request.headers, "Connection") == "close")
          break;
        continue;
      }
    }
    char bytes[65536];
    const ssize_t size = recv(fd, bytes, sizeof(bytes), 0);
    if (size <= 0)
      break;
    buffer.append(bytes, static_cast<std::size_t>(size));
  }
  const std::lock_guard lock(mutex_);
  connections_.erase(fd);
  close(fd);
}

std::string FormatResponse(int status,
                           const Headers& headers,
                           const std::string& body) {
  std::string bytes = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : headers)
    bytes += name + ": " + value + "\r\n";
  return bytes + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

Store::Store(const std::string& ip, int port) {
  server_ = std::make_unique<Server>(
      ip, port, [this](const Request& request) { return Handle(request); });
}

Store::~Store() {
  {
    const std::lock_guard lock(mutex_);
    is_stopping_ = true;
  }
  changed_.notify_all();
  server_.reset();
}

void Store::Put(const std::string& table,
                const std::string& key,
                const std::string& value) {
  const std::lock_guard lock(mutex_);
  tables_[table][key] = {EncodeBase64(value), ++version_};
  changed_.notify_all();
}

void Store::SetSilent(bool is_silent) {
  const std::lock_guard lock(mutex_);
  is_silent_ = is_silent;
  changed_.notify_all();
}

std::string Store::Keys(const std::string& table) {
  const std::lock_guard lock(mutex_);
  std::string keys;
  for (const auto& [key, row] : tables_[table])
    keys += (keys.empty() ? "" : " ") + key;
  return keys;
}

std::string Store::RowsSince(const std::string& table,
                             std::uint64_t after,
                             const std::string& from,
                             const std::string& target) {
  std::string rows;
  for (const auto& [key, row] : tables_[table]) {
    if (row.version <= after || key < from ||
        (!target.empty() && key >= target))
      continue;
    rows += (rows.empty() ? "" : ",") + std::string("{\"table\":\"") + table +
            "\",\"part\":\"\",\"key\":\"" + key + "\",\"value\":\"" +
            row.value64 + "\",\"ver\":" + std::to_string(row.version) + "}";
  }
  return rows;
}

std::string Store::Write(const std::string& body) {
  // The nodes state no conditions.
  ++version_;
  const std::string writes = ListOf(body, "writes");
  const auto tables = TextsOf(writes, "table");
  const auto keys = TextsOf(writes, "key");
  const auto values = TextsOf(writes, "value");
  for (std::size_t i = 0; i < keys.size(); ++i)
    tables_[tables.at(i)][ReplaceAll(keys[i], "\\/", "/")] = {
        ReplaceAll(values.at(i), "\\/", "/"), version_};
  const std::string removed = ListOf(body, "remove");
  const auto removed_tables = TextsOf(removed, "table");
  const auto removed_keys = TextsOf(removed, "key");
  for (std::size_t i = 0; i < removed_keys.size(); ++i)
    tables_[removed_tables.at(i)].erase(
        ReplaceAll(removed_keys[i], "\\/", "/"));
  changed_.notify_all();
  return "\"ver\":" + std::to_string(version_);
}

std::string Store::Handle(const Request& request) {
  std::unique_lock lock(mutex_);
  // A call that arrives while the store is silent is not performed.
  if (is_silent_) {
    changed_.wait(lock, [this] { return !is_silent_ || is_stopping_; });
    return {};
  }
  const std::string& target = request.target;
  const std::string table = QueryField(target, "table");
  std::string body;
  if (target.rfind("/api/rows-get", 0) == 0) {
    body = "\"rows\":[" +
           RowsSince(table, 0, QueryField(target, "from"),
                     QueryField(target, "target")) +
           "],\"has_more\":false,\"ver\":" + std::to_string(version_);
  } else if (target.rfind("/api/rows-feed", 0) == 0) {
    const std::uint64_t after = std::stoull(QueryField(target, "after"));
    const auto wait =
        std::chrono::milliseconds(std::stoi(QueryField(target, "wait_ms")));
    changed_.wait_for(lock, wait, [&] {
      return is_stopping_ || is_silent_ ||
             !RowsSince(table, after, {}, {}).empty();
    });
    if (is_silent_) {
      changed_.wait(lock, [this] { return !is_silent_ || is_stopping_; });
      return {};
    }
    body = "\"rows\":[" + RowsSince(table, after, {}, {}) +
           "],\"has_more\":false,\"ver\":" + std::to_string(version_);
  } else if (target == "/api/rows-tx") {
    body = Write(request.body);
  } else {
    return FormatResponse(404, {}, "{}");
  }
  return FormatResponse(
      200, {{"Content-Type", "application/json"}, {"Store-Era", "1"}},
      "{" + body + ",\"now\":" + std::to_string(WallMillis()) + "}");
}

Backend::Backend(const Machine& machine, BackendOptions options)
    : ip_(machine.ip),
      options_(std::move(options)),
      service_time_s_(options_.service_time_s) {
  server_ = std::make_unique<Server>(
      ip_, kUpstreamPort,
      [this](const Request& request) { return Handle(request); });
}

Backend::~Backend() {
  StopReports();
  server_.reset();
}

std::uint64_t Backend::NextSequence() {
  return ++sequence_;
}

int Backend::Report(const std::string& state) {
  return Report(NextSequence(), state);
}

int Backend::Report(std::uint64_t sequence, const std::string& state) {
  Request request;
  request.method = "PUT";
  request.target = "/api/instances/" + options_.instance;
  request.headers = {{"Host", ip_}, {"Content-Type", "application/json"}};
  request.body = "{\"address\":\"" + ip_ + ":" + std::to_string(kUpstreamPort) +
                 "\",\"born\":" + std::to_string(options_.born) +
                 ",\"info\":{\"service\":\"" + options_.service +
                 "\",\"version\":\"v1\",\"zone\":\"litoral-a\",\"slots\":" +
                 std::to_string(options_.slots) + "},\"status\":{\"state\":\"" +
                 state + "\",\"seq\":" + std::to_string(sequence) +
                 ",\"cold_left\":\"0ms\"}}";
  const int status = Fetch(ip_, kControlPort, request, 1).status;
  Record("server " + options_.instance + " at " + ip_ + " reports " +
         request.body + " -> " + std::to_string(status));
  return status;
}

int Backend::Withdraw() {
  Request request;
  request.method = "DELETE";
  request.target = "/api/instances/" + options_.instance;
  request.headers = {{"Host", ip_}, {"Content-Type", "application/json"}};
  request.body = "{\"born\":" + std::to_string(options_.born) + "}";
  const int status = Fetch(ip_, kControlPort, request, 1).status;
  Record("server " + options_.instance + " withdraws with DELETE -> " +
         std::to_string(status));
  return status;
}

void Backend::StartReports() {
  is_reporting_ = true;
  reporter_ = std::thread([this] {
    while (is_reporting_) {
      Report("ready");
      for (int i = 0; i < 30 && is_reporting_; ++i)
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
  });
}

void Backend::StopReports() {
  is_reporting_ = false;
  if (reporter_.joinable())
    reporter_.join();
}

std::vector<Run> Backend::runs() {
  const std::lock_guard lock(mutex_);
  return runs_;
}

std::string Backend::Handle(const Request& request) {
  const std::string id = FieldOf(request.headers, "X-Attempt-Id");
  Headers headers = {
      {"X-Instance", options_.instance},
      {"X-Server-Load", "0,0," + std::to_string(options_.slots)}};
  if (is_leaving_)
    headers.emplace_back("Server-Leaving", "1");
  if (request.target == "/healthz")
    return FormatResponse(is_leaving_ ? 503 : 200, headers, "");
  const std::string expected = FieldOf(request.headers, "X-Expect-Instance");
  if (id.empty())
    return FormatResponse(400, {{"X-Not-Executed", "1"}}, "");
  headers.emplace_back("X-Attempt-Id", id);
  if (!expected.empty() && expected != options_.instance) {
    Record("server " + options_.instance + " answers 421 to " + id +
           ", which expects " + expected);
    return FormatResponse(421, headers, "");
  }
  const int percent = shed_percent_;
  const int number = percent > 0 ? shed_counter_++ : 0;
  if ((number + 1) * percent / 100 > number * percent / 100) {
    Record("server " + options_.instance + " rejects " + id);
    options_.rejected->Add(id);
    headers.emplace_back("X-Not-Executed", "1");
    return FormatResponse(503, headers, "");
  }
  const std::string caller = FieldOf(request.headers, "X-Caller");
  {
    const std::lock_guard lock(mutex_);
    runs_.push_back({Elapsed(), id, caller});
  }
  Record("server " + options_.instance + " (" + options_.service + ") runs " +
         id + ", X-Caller " + caller);
  if (long_service_time_s_ > 0 && options_.rejected->Has(id)) {
    std::this_thread::sleep_for(duration<double>(long_service_time_s_.load()));
    Record("the answer of " + options_.instance + " to " + id + " is lost");
    return {};
  }
  std::this_thread::sleep_for(duration<double>(service_time_s_.load()));
  headers.emplace_back("X-Response-Seal", options_.instance + "." + id);
  std::string body = id + " ";
  body.resize(std::max(options_.body_bytes, body.size()), 'x');
  return FormatResponse(200, headers, body);
}

Deployment::Deployment(const std::string& root,
                       const std::vector<std::string>& services)
    : root_(root) {
  std::string pattern =
      std::filesystem::temp_directory_path() / "review.XXXXXX";
  if (mkdtemp(pattern.data()) == nullptr)
    throw std::runtime_error("no temporary folder");
  directory_ = pattern;
  // Loopback addresses of this process's own.
  const int id = getpid();
  ip_prefix_ = "127." + std::to_string(100 + id / 250 % 100) + "." +
               std::to_string(1 + id % 250) + ".";
  store_ = std::make_unique<Store>(ip_prefix_ + "200", kStorePort);
  for (std::size_t i = 0; i < services.size(); ++i) {
    Machine machine;
    machine.name = "sidecar-litoral-a-" + std::to_string(i + 1);
    machine.service = services[i];
    machine.ip = ip_prefix_ + std::to_string(i + 1);
    machines_.push_back(machine);
  }
}

Deployment::~Deployment() {
  for (Machine& machine : machines_)
    KillNode(machine);
  const char* const keep = std::getenv("SESAMESPREAD_KEEP_LOGS");
  std::error_code ignored;
  if (keep == nullptr)
    std::filesystem::remove_all(directory_, ignored);
  else
    std::fprintf(stderr, "logs in %s\n", directory_.c_str());
}

void Deployment::PutRoutes(int version,
                           const std::vector<std::string>& routes,
                           int max_attempts) {
  std::string listeners;
  std::set<std::string> services;
  for (const std::string& route : routes) {
    std::string host;
    std::string service;
    std::string kind;
    std::istringstream(route) >> host >> service >> kind;
    services.insert(service);
    listeners +=
        (listeners.empty() ? "" : ",") + std::string("{\"host\":\"") + host +
        "\",\"rules\":[{\"name\":\"" + host + "\",\"kind\":\"" + kind +
        "\",\"goal\":\"1200ms\",\"priority\":" + (kind == "safe" ? "2" : "0") +
        ",\"match\":{\"prefix\":\"/\"},\"action\":{\"service\":\"" + service +
        "\",\"timeout\":\"5000ms\",\"max_attempts\":" +
        std::to_string(max_attempts) + "}}]}";
  }
  std::string clusters;
  for (const std::string& service : services)
    clusters += (clusters.empty() ? "" : ",") + std::string("{\"name\":\"") +
                service + "\",\"health_path\":\"/healthz\",\"max_conns\":1240}";
  store_->Put("op", "config",
              "{\"version\":\"r" + std::to_string(version) +
                  "\",\"limits\":{\"max_header_bytes\":16384,"
                  "\"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\","
                  "\"idle_timeout\":\"15000ms\"},\"listeners\":[" +
                  listeners + "],\"clusters\":[" + clusters + "]}");
}

void Deployment::StartNode(Machine& machine, bool bootstrap) {
  const std::string settings = directory_ + "/" + machine.name + ".yaml";
  // The fields of platform/settings.yaml.template with the bounds of
  // colmenar-mesh.
  const auto at = [&machine](int port) {
    return "\"" + machine.ip + ":" + std::to_string(port) + "\"\n";
  };
  std::ofstream(settings) << "name: \"" << machine.name << "\"\n"
                          << "availability_zone: \"litoral-a\"\n"
                          << "service: \"" << machine.service << "\"\n"
                          << "backend: " << at(kUpstreamPort) << "listen:\n"
                          << "  entry: " << at(kOutboundPort)
                          << "  reports: " << at(kControlPort)
                          << "  ready: " << at(kReadyPort)
                          << "  peer: " << at(kPeerPort) << "store: \""
                          << ip_prefix_ << "200:" << kStorePort << "\"\n"
                          << "report_interval: \"1500ms\"\ndrain: \"2000ms\"\n"
                          << "shutdown_timeout: \"6s\"\n"
                          << "retries:\n  ratio: 0.2\n  window: \"10s\"\n"
                          << "bootstrap: " << (bootstrap ? "true" : "false")
                          << "\n";
  const std::string log = directory_ + "/" + machine.name + ".log";
  const pid_t pid = fork();
  if (pid < 0)
    throw std::runtime_error("cannot fork");
  if (pid == 0) {
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    // The node ends with the case, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (chdir(root_.c_str()) != 0)
      _exit(127);
    // The command of deploy/system.toml.
    execl("target/tools/sesamespread", "target/tools/sesamespread",
          "route-node", "--settings", settings.c_str(), nullptr);
    _exit(127);
  }
  machine.node = pid;
  Record("node " + machine.name + " at " + machine.ip + " started");
}

void Deployment::Signal(const Machine& machine, int signal) {
  Record("node " + machine.name + " gets " + strsignal(signal));
  kill(machine.node, signal);
}

void Deployment::KillNode(Machine& machine) {
  if (machine.node <= 0)
    return;
  kill(machine.node, SIGKILL);
  waitpid(machine.node, nullptr, 0);
  machine.node = -1;
  Record("node " + machine.name + " ended");
}

bool Deployment::WaitUntilReady(double timeout_s) {
  const double end = Elapsed() + timeout_s;
  while (Elapsed() < end) {
    const bool all = std::all_of(
        machines_.begin(), machines_.end(), [](const Machine& machine) {
          return machine.node <= 0 ||
                 Fetch(machine.ip, kReadyPort,
                       {"GET", "/api/ready", {{"Host", machine.ip}}, {}}, 1)
                         .status == 200;
        });
    if (all)
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  return false;
}

bool Deployment::WaitUntilServed(const std::string& host, double timeout_s) {
  const double end = Elapsed() + timeout_s;
  int number = 0;
  for (const Machine& machine : machines_) {
    while (
        machine.node > 0 &&
        Send(machine, host, "warmup" + std::to_string(++number), 2000).status !=
            200) {
      if (Elapsed() > end)
        return false;
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
  }
  return true;
}

Response Deployment::Send(const Machine& machine,
                          const std::string& host,
                          const std::string& id,
                          int budget_ms,
                          const std::string& method) {
  Request request;
  request.method = method;
  request.target = "/item/" + id;
  request.headers = {{"Host", host},
                     {"X-Attempt-Id", id},
                     {"X-Deadline-Ms", std::to_string(budget_ms)}};
  Record("client of " + machine.name + " sends " + id + " for " + host);
  const Response response =
      Fetch(machine.ip, kOutboundPort, request, budget_ms / 1000.0);
  Record("client of " + machine.name + " gets " +
         std::to_string(response.status) + " for " + id + " " +
         response.ending);
  return response;
}

int RunCase(int argc, char** argv, int (*play)(const Arguments&)) {
  if (argc != 3) {
    std::fprintf(stderr, "usage: %s REPOSITORY RECORD\n", argv[0]);
    return kCannotRun;
  }
  signal(SIGPIPE, SIG_IGN);
  const Arguments arguments{argv[1], argv[2]};
  int result = kCannotRun;
  try {
    OpenRecord(arguments.record);
    result = play(arguments);
  } catch (const std::exception& error) {
    Record(std::string("cannot run: ") + error.what());
  }
  Record(result == kBroken ? "the rule was broken"
         : result == kHeld ? "the rule held"
                           : "the case could not run");
  std::printf("%s\n", result == kBroken ? "broken"
                      : result == kHeld ? "held"
                                        : "could not run");
  return result;
}

}  // namespace review

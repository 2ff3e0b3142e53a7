#include "fleet.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <memory>
#include <sstream>
#include <thread>

extern "C" {
#include "common/digest.h"
}

extern char **environ;

namespace e2e
{

Process::Process(const std::vector<std::string> &argv,
    const std::string &log_path)
    : pid_(-1), log_path_(log_path)
{
	posix_spawn_file_actions_t actions;
	std::vector<char *> words;

	for (const auto &word : argv)
		words.push_back(const_cast<char *>(word.c_str()));
	words.push_back(nullptr);
	posix_spawn_file_actions_init(&actions);
	posix_spawn_file_actions_addopen(&actions, 1, log_path.c_str(),
	    O_WRONLY | O_CREAT | O_APPEND, 0644);
	posix_spawn_file_actions_adddup2(&actions, 1, 2);
	if (posix_spawn(&pid_, words[0], &actions, nullptr, words.data(),
		environ) != 0) {
		pid_ = -1;
		ended_ = true;
		ADD_FAILURE() << "can't start " << words[0];
	}
	posix_spawn_file_actions_destroy(&actions);
}

Process::~Process()
{
	if (ended_ || pid_ <= 0)
		return;
	kill(pid_, SIGKILL);
	kill(pid_, SIGCONT);
	wait();
}

void
Process::signal(int number) const
{
	/* a pid of -1 would name every process of this user */
	if (!ended_ && pid_ > 0)
		kill(pid_, number);
}

int
Process::wait()
{
	if (!ended_ && pid_ > 0)
		waitpid(pid_, &status_, 0);
	ended_ = true;
	return WIFEXITED(status_) ? WEXITSTATUS(status_) : -1;
}

int
Process::wait_for_ms(uint32_t limit_ms)
{
	bool done = ended_ ||
	    eventually([&] { return waitpid(pid_, &status_, WNOHANG) == pid_; },
		limit_ms);

	if (!done)
		return -2;
	ended_ = true;
	return WIFEXITED(status_) ? WEXITSTATUS(status_) : -1;
}

std::string
Process::log() const
{
	std::ifstream file(log_path_);
	std::stringstream text;

	text << file.rdbuf();
	return text.str();
}

static size_t
collect(char *bytes, size_t size, size_t count, void *context)
{
	static_cast<std::string *>(context)->append(bytes, size * count);
	return size * count;
}

static size_t
collect_header(char *bytes, size_t size, size_t count, void *context)
{
	auto *headers = static_cast<std::map<std::string, std::string> *>(
	    context);
	std::string line(bytes, size * count), name;
	size_t colon = line.find(':');

	if (colon != std::string::npos) {
		for (char c : line.substr(0, colon))
			name += (char)tolower(c);
		line = line.substr(colon + 1);
		line.erase(0, line.find_first_not_of(' '));
		line.erase(line.find_last_not_of("\r\n") + 1);
		(*headers)[name] = line;
	}
	return size * count;
}

Answer
call(const std::string &method, const std::string &url, const std::string &body,
    const std::vector<std::string> &headers, uint32_t timeout_ms)
{
	CURL *handle = curl_easy_init();
	curl_slist *list = curl_slist_append(nullptr, "Expect:");
	Answer answer;
	CURLcode code;

	for (const auto &line : headers)
		list = curl_slist_append(list, line.c_str());
	curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
	curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, method.c_str());
	curl_easy_setopt(handle, CURLOPT_HTTPHEADER, list);
	curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
	curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, collect);
	curl_easy_setopt(handle, CURLOPT_WRITEDATA, &answer.body);
	curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, collect_header);
	curl_easy_setopt(handle, CURLOPT_HEADERDATA, &answer.headers);
	if (method != "GET")
		curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE,
		    (long)body.size());
	if (method != "GET")
		curl_easy_setopt(handle, CURLOPT_COPYPOSTFIELDS, body.c_str());
	code = curl_easy_perform(handle);
	curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &answer.status);
	answer.whole = code == CURLE_OK;
	answer.refused = code == CURLE_COULDNT_CONNECT;
	answer.error = curl_easy_strerror(code);
	curl_slist_free_all(list);
	curl_easy_cleanup(handle);
	return answer;
}

std::string
sha256(const std::string &text)
{
	char digest[DIGEST_HEX_BYTES + 1];

	digest_sha256_hex(text.c_str(), digest);
	return digest;
}

bool
eventually(const std::function<bool()> &condition, uint32_t limit_ms)
{
	auto end = std::chrono::steady_clock::now() +
	    std::chrono::milliseconds(limit_ms);

	while (!condition()) {
		if (std::chrono::steady_clock::now() > end)
			return false;
		std::this_thread::sleep_for(std::chrono::milliseconds(20));
	}
	return true;
}

/* Takes a port for this process until it ends, among all tests that run on
 * the machine. */
static bool
reserve_port(uint16_t port)
{
	std::string path = ::testing::TempDir() + "bamboorudder-port-" +
	    std::to_string(port);
	int fd = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0666);

	if (fd >= 0 && flock(fd, LOCK_EX | LOCK_NB) == 0)
		return true;
	if (fd >= 0)
		close(fd);
	return false;
}

static bool
port_is_free(uint16_t port)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	sockaddr_in address = {};
	bool bound;

	address.sin_family = AF_INET;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons(port);
	bound = bind(fd, reinterpret_cast<sockaddr *>(&address),
		    sizeof(address)) == 0;
	close(fd);
	return bound;
}

/* Below the kernel's ephemeral ports, from a place that depends on the
 * process, so that tests side by side seldom meet. */
uint16_t
free_port()
{
	constexpr uint32_t FIRST = 10000, SPAN = 20000, STEP = 50;
	static uint32_t next = (uint32_t)getpid() * STEP;
	uint16_t port;

	do
		port = (uint16_t)(FIRST + next++ % SPAN);
	while (!reserve_port(port) || !port_is_free(port));
	return port;
}

static std::string
loopback(uint16_t port)
{
	return "127.0.0.1:" + std::to_string(port);
}

std::string
Daemon::url(const std::string &path) const
{
	return "http://" + loopback(listen_port) + path;
}

std::string
Daemon::admin(const std::string &path) const
{
	return "http://" + loopback(admin_port) + path;
}

std::string
Daemon::peer() const
{
	return loopback(peer_port);
}

Fleet::Fleet(const std::string &extra_settings)
    : extra_settings_(extra_settings), platform_port_(free_port())
{
	folder = ::testing::TempDir() + "bamboorudder-e2e-XXXXXX";
	mkdtemp(folder.data());
	start_platform();
}

void
Fleet::start_platform()
{
	platform_process.reset();
	platform_process = start_process("STANDIN_PLATFORM",
	    { loopback(platform_port_) }, "platform");
	EXPECT_TRUE(eventually([&] {
		return call("GET", platform("/standin/counts")).status == 200;
	}));
}

Fleet::~Fleet()
{
	daemons.clear();
	endpoints.clear();
	platform_process.reset();
	if (!::testing::Test::HasFailure())
		std::filesystem::remove_all(folder);
}

std::unique_ptr<Process>
Fleet::start_process(const std::string &variable,
    const std::vector<std::string> &words, const std::string &name)
{
	const char *program = getenv(variable.c_str());
	std::vector<std::string> argv = { program == nullptr ? "" : program };

	argv.insert(argv.end(), words.begin(), words.end());
	return std::make_unique<Process>(argv, folder + "/" + name + ".log");
}

std::string
Fleet::platform(const std::string &path) const
{
	return "http://" + loopback(platform_port_) + path;
}

void
Fleet::add_daemons(size_t count)
{
	std::string seeds;

	for (size_t i = 0; i < count; i++) {
		Daemon daemon = {};
		daemon.listen_port = free_port();
		daemon.admin_port = free_port();
		daemon.peer_port = free_port();
		daemon.settings_path = folder + "/daemon" +
		    std::to_string(daemons.size()) + ".toml";
		daemons.push_back(std::move(daemon));
	}
	for (const auto &daemon : daemons)
		seeds += "\"" + daemon.peer() + "\", ";
	for (size_t i = daemons.size() - count; i < daemons.size(); i++) {
		std::ofstream file(daemons[i].settings_path);
		file << "listen.address = \""
		     << loopback(daemons[i].listen_port)
		     << "\"\nadmin.address = \""
		     << loopback(daemons[i].admin_port)
		     << "\"\nadmin.tokens = [\"" << sha256(OPERATOR)
		     << "\", \"reader:read:" << sha256(READER)
		     << "\", \"desk:edit@desk:" << sha256(TEAM_OPERATOR)
		     << "\"]\npeer.address = \"" << daemons[i].peer()
		     << "\"\npeer.seeds = [" << seeds << "]\nplatform.url = \""
		     << platform("") << "\"\n"
		     << extra_settings_;
		file.close();
		start(i);
	}
}

void
Fleet::start(size_t index)
{
	Daemon &daemon = daemons[index];

	daemon.process = start_process("BAMBOORUDDERD",
	    { daemon.settings_path }, "daemon" + std::to_string(index));
	EXPECT_TRUE(eventually([&] {
		return call("GET", daemon.admin("/healthz")).status == 200;
	})) << daemon.process->log();
}

std::string
Fleet::add_engine(uint32_t slots, uint32_t token_us)
{
	std::string address = loopback(free_port());

	endpoints[address] = start_process("STANDIN_ENGINE",
	    { address, std::to_string(slots), std::to_string(token_us) },
	    "engine" + std::to_string(endpoints.size()));
	EXPECT_TRUE(eventually([&] {
		return call("GET", "http://" + address + "/load").status == 200;
	}));
	return address;
}

std::string
Fleet::add_service()
{
	std::string address = loopback(free_port());

	endpoints[address] = start_process("STANDIN_SERVICE", { address },
	    "service" + std::to_string(endpoints.size()));
	EXPECT_TRUE(eventually([&] {
		return call("GET", "http://" + address + "/stock").status ==
		    200;
	}));
	return address;
}

Answer
Fleet::admin_call(size_t index, const std::string &method,
    const std::string &path, const std::string &body,
    const std::vector<std::string> &headers)
{
	std::vector<std::string> all = headers;

	all.push_back(std::string("Authorization: Bearer ") + OPERATOR);
	return call(method, daemons[index].admin(path), body, all);
}

void
Fleet::apply(const std::string &table, const std::string &text, size_t through)
{
	std::string path = "/v1/tables/" + table;
	std::string etag = admin_call(through, "GET", path).headers["etag"];
	Answer answer = admin_call(through, "PUT", path, text,
	    etag == "\"0\"" ? std::vector<std::string>{}
			    : std::vector<std::string>{ "If-Match: " + etag });

	EXPECT_EQ(answer.status, 200) << answer.body;
}

void
Fleet::wait_ready()
{
	for (auto &daemon : daemons)
		EXPECT_TRUE(eventually([&] {
			return call("GET", daemon.admin("/readyz")).status ==
			    200;
		}));
}

std::string
pools_table(const std::string &rows)
{
	return "{\"rows\": [" + rows + "]}";
}

static std::string
pool_row(const std::string &name, const std::string &kind,
    const std::vector<std::string> &addresses, uint32_t slots,
    const std::string &more)
{
	std::string list;

	for (const auto &address : addresses)
		list += (list.empty() ? "" : ", ") +
		    ("{\"address\": \"" + address + "\"}");
	return "{\"pool\": \"" + name + "\", \"kind\": \"" + kind +
	    "\", \"slots_per_endpoint\": " + std::to_string(slots) + more +
	    ", \"endpoints\": [" + list + "]}";
}

std::string
model_pool(const std::string &name, const std::vector<std::string> &addresses,
    uint32_t slots, const std::string &more)
{
	return pool_row(name, "model", addresses, slots, more);
}

std::string
service_pool(const std::string &name, const std::vector<std::string> &addresses,
    uint32_t slots)
{
	return pool_row(name, "service", addresses, slots, "");
}

std::string
route(const std::string &account, const std::string &key,
    const std::string &path, const std::string &pool, const std::string &more)
{
	return "{\"account\": \"" + account + "\", \"path\": \"" + path +
	    "\", \"pool\": \"" + pool + "\", \"key_sha256\": [\"" +
	    sha256(key) + "\"]" + more + "}";
}

} // namespace e2e

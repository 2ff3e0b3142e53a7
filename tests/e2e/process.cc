#include "process.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
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
	std::vector<char *> pointers;

	for (const auto &argument : argv)
		pointers.push_back(const_cast<char *>(argument.c_str()));
	pointers.push_back(nullptr);
	posix_spawn_file_actions_init(&actions);
	posix_spawn_file_actions_addopen(&actions, 1, log_path.c_str(),
	    O_WRONLY | O_CREAT | O_APPEND, 0644);
	posix_spawn_file_actions_adddup2(&actions, 1, 2);
	if (posix_spawn(&pid_, pointers[0], &actions, nullptr, pointers.data(),
		environ) != 0) {
		pid_ = -1;
		ended_ = true;
		ADD_FAILURE() << "can't start " << pointers[0];
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
	/* kill() with a pid of -1 signals every process of this user */
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
Process::wait_with_timeout(uint32_t timeout_ms)
{
	bool done = ended_ ||
	    eventually([&] { return waitpid(pid_, &status_, WNOHANG) == pid_; },
		timeout_ms);

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
append_body(char *bytes, size_t size, size_t count, void *context)
{
	static_cast<std::string *>(context)->append(bytes, size * count);
	return size * count;
}

static size_t
append_header(char *bytes, size_t size, size_t count, void *context)
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

Response
send_request(const std::string &method, const std::string &url,
    const std::string &body, const std::vector<std::string> &headers,
    uint32_t timeout_ms)
{
	CURL *handle = curl_easy_init();
	curl_slist *list = curl_slist_append(nullptr, "Expect:");
	Response response;
	CURLcode code;

	for (const auto &line : headers)
		list = curl_slist_append(list, line.c_str());
	curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
	curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, method.c_str());
	curl_easy_setopt(handle, CURLOPT_HTTPHEADER, list);
	curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
	curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(handle, CURLOPT_WRITEDATA, &response.body);
	curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, append_header);
	curl_easy_setopt(handle, CURLOPT_HEADERDATA, &response.headers);
	if (method != "GET")
		curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE,
		    (long)body.size());
	if (method != "GET")
		curl_easy_setopt(handle, CURLOPT_COPYPOSTFIELDS, body.c_str());
	code = curl_easy_perform(handle);
	curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &response.status);
	response.complete = code == CURLE_OK;
	response.connection_refused = code == CURLE_COULDNT_CONNECT;
	response.error = curl_easy_strerror(code);
	curl_slist_free_all(list);
	curl_easy_cleanup(handle);
	return response;
}

uint32_t
received_segments_count(int fd)
{
	tcp_info info = {};
	socklen_t length = sizeof(info);

	getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &length);
	return info.tcpi_data_segs_in;
}

std::string
sha256(const std::string &text)
{
	char digest[DIGEST_HEX_BYTES + 1];

	digest_sha256_hex(text.c_str(), digest);
	return digest;
}

bool
eventually(const std::function<bool()> &condition, uint32_t timeout_ms)
{
	auto end = std::chrono::steady_clock::now() +
	    std::chrono::milliseconds(timeout_ms);

	while (!condition()) {
		if (std::chrono::steady_clock::now() > end)
			return false;
		std::this_thread::sleep_for(std::chrono::milliseconds(20));
	}
	return true;
}

/* Reserves a port among all tests on this machine until this process exits. */
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

/* Searches below the kernel's ephemeral ports, from an offset that depends on
 * the process, so that concurrent tests seldom try the same ports. */
uint16_t
free_port()
{
	constexpr uint32_t FIRST_PORT = 10000, PORTS_COUNT = 20000,
			   PORTS_PER_PROCESS = 50;
	static uint32_t next_offset = (uint32_t)getpid() * PORTS_PER_PROCESS;
	uint16_t port;

	do
		port = (uint16_t)(FIRST_PORT + next_offset++ % PORTS_COUNT);
	while (!reserve_port(port) || !port_is_free(port));
	return port;
}

} // namespace e2e

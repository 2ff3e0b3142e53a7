/**
 * @file
 * Child processes, HTTP requests to them, and free loopback ports.
 */
#ifndef TESTS_E2E_PROCESS_H
#define TESTS_E2E_PROCESS_H

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace e2e
{

/** A child process that the destructor kills. */
class Process
{
      public:
	Process(const std::vector<std::string> &argv,
	    const std::string &log_path);
	~Process();
	Process(const Process &) = delete;
	Process &operator=(const Process &) = delete;

	void signal(int number) const;
	/** @return the exit status, or -1 if a signal ended the process */
	int wait();
	/** @return the exit status, -1 after a signal, or -2 after a timeout */
	int wait_with_timeout(uint32_t timeout_ms);
	std::string log() const;
	pid_t pid() const
	{
		return pid_;
	}

      private:
	pid_t pid_;
	std::string log_path_;
	bool ended_ = false;
	int status_ = 0;
};

/** An HTTP response, or the error that prevented it. */
struct Response {
	long status = 0;
	std::string body;
	std::map<std::string, std::string> headers; /* names in lower case */
	bool complete = false; /* received to its end */
	bool connection_refused = false;
	std::string error;
};

/** Sends an HTTP request; headers are given as full lines. */
Response send_request(const std::string &method, const std::string &url,
    const std::string &body = "", const std::vector<std::string> &headers = {},
    uint32_t timeout_ms = 30000);

/** @return number of TCP segments with data that a socket has received */
uint32_t received_segments_count(int fd);

std::string sha256(const std::string &text);

/** Polls until a condition holds. @return false after timeout_ms */
bool eventually(const std::function<bool()> &condition,
    uint32_t timeout_ms = 20000);

/** @return a free loopback port that no other test process uses */
uint16_t free_port();

} // namespace e2e

#endif

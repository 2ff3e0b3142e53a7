/**
 * @file
 * Callers that leave a chunked body unfinished.
 */
#ifndef TESTS_SOAK_UNFINISHED_CROWD_H
#define TESTS_SOAK_UNFINISHED_CROWD_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <vector>

namespace soak
{

/** Request ids of the crowd start so; none of them may run. */
constexpr char UNFINISHED_ID[] = "unfinished-";

/** Connections with a request whose last chunk never comes, closed at the
 * end. */
class UnfinishedCrowd
{
      public:
	UnfinishedCrowd(uint16_t port, const std::string &key, uint32_t number)
	{
		for (uint32_t i = 0; i < CALLERS_COUNT; i++) {
			std::string id = UNFINISHED_ID +
			    std::to_string(number) + "-" + std::to_string(i);
			fds_.push_back(
			    socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
			/* a daemon that is paused or gone takes no more */
			if (!send_request(fds_.back(), port, request(id, key)))
				return;
		}
	}

	~UnfinishedCrowd()
	{
		for (int fd : fds_)
			close(fd);
	}

	UnfinishedCrowd(const UnfinishedCrowd &) = delete;
	UnfinishedCrowd &operator=(const UnfinishedCrowd &) = delete;

      private:
	static constexpr uint32_t CALLERS_COUNT = 40;
	static constexpr size_t CHUNK_BYTES = 0x4000;

	static std::string request(const std::string &id,
	    const std::string &key)
	{
		return "POST /once/ HTTP/1.1\r\nHost: a.example\r\n"
		       "X-Bamboorudder-Request-Id: " +
		    id +
		    "\r\nX-Bamboorudder-Deadline-Ms: 3000\r\n"
		    "X-Bamboorudder-Credential: " +
		    key +
		    "\r\nTransfer-Encoding: chunked\r\n\r\n"
		    "4000\r\n" +
		    std::string(CHUNK_BYTES, 'u') + "\r\n4000\r\nu";
	}

	static bool send_request(int fd, uint16_t port, const std::string &text)
	{
		sockaddr_in address = {};
		timeval limit = { 0, 200000 };

		address.sin_family = AF_INET;
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		address.sin_port = htons(port);
		setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
		return connect(fd, reinterpret_cast<sockaddr *>(&address),
			   sizeof(address)) == 0 &&
		    send(fd, text.data(), text.size(), MSG_NOSIGNAL) ==
		    (ssize_t)text.size();
	}

	std::vector<int> fds_;
};

} // namespace soak

#endif

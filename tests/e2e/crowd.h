/**
 * @file
 * Many callers that send bytes of their own making and keep their connections
 * open.
 */
#ifndef TESTS_E2E_CROWD_H
#define TESTS_E2E_CROWD_H

#include <fcntl.h>

#include "gateway_fixture.h"

namespace e2e
{

/** What each caller of a crowd sends. */
struct CrowdKind {
	const char *name;
	size_t callers_count;
	std::string start;
	std::string piece; /**< sent again and again */
	size_t pieces_count;
};

inline void
PrintTo(const CrowdKind &kind, std::ostream *out)
{
	*out << kind.name;
}

/** Callers who send as much as the daemon takes, and never read. */
class Crowd
{
      public:
	Crowd(uint16_t port, const CrowdKind &kind) : kind_(kind)
	{
		for (size_t i = 0; i < kind.callers_count; i++)
			callers_.push_back({ open_connection(port), 0 });
	}

	~Crowd()
	{
		for (const member &caller : callers_)
			close(caller.fd);
	}

	Crowd(const Crowd &) = delete;
	Crowd &operator=(const Crowd &) = delete;

	/** Sends until all is sent, or until the daemon takes no more. */
	void send_all()
	{
		for (int idle_rounds = 0; idle_rounds < IDLE_ROUNDS_MAX_COUNT;)
			if (send_round() > 0)
				idle_rounds = 0;
			else {
				idle_rounds++;
				std::this_thread::sleep_for(
				    std::chrono::milliseconds(ROUND_MS));
			}
	}

      private:
	static constexpr int IDLE_ROUNDS_MAX_COUNT = 50;
	static constexpr int ROUND_MS = 20;
	/* of the callers' own sockets, so that little is on its way */
	static constexpr int SOCKET_BUFFER_BYTES = 16 * 1024;

	struct member {
		int fd;
		size_t sent_bytes;
	};

	static int open_connection(uint16_t port)
	{
		sockaddr_in address = {};
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		int bytes = SOCKET_BUFFER_BYTES;

		setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
		fcntl(fd, F_SETFL, O_NONBLOCK);
		address.sin_family = AF_INET;
		address.sin_port = htons(port);
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		(void)connect(fd, reinterpret_cast<sockaddr *>(&address),
		    sizeof(address));
		return fd;
	}

	size_t total_bytes() const
	{
		return kind_.start.size() +
		    kind_.pieces_count * kind_.piece.size();
	}

	/** The next bytes of a caller, within a piece. */
	std::pair<const char *, size_t> next_bytes(const member &caller) const
	{
		size_t at = caller.sent_bytes;

		if (at < kind_.start.size())
			return { kind_.start.data() + at,
				kind_.start.size() - at };
		at = (at - kind_.start.size()) % kind_.piece.size();
		return { kind_.piece.data() + at, kind_.piece.size() - at };
	}

	/** @return number of bytes that were sent */
	size_t send_round()
	{
		size_t sent_bytes = 0;

		for (member &caller : callers_) {
			if (caller.sent_bytes >= total_bytes())
				continue;
			auto [bytes, length] = next_bytes(caller);
			ssize_t count = ::send(caller.fd, bytes, length,
			    MSG_NOSIGNAL);
			if (count > 0) {
				caller.sent_bytes += (size_t)count;
				sent_bytes += (size_t)count;
			} else if (errno != EAGAIN && errno != ENOTCONN)
				caller.sent_bytes = total_bytes();
		}
		return sent_bytes;
	}

	const CrowdKind kind_;
	std::vector<member> callers_;
};

} // namespace e2e

#endif

/**
 * @file
 * A loopback proxy that injects faults into the connections through it.
 */
#ifndef TESTS_SOAK_FAULT_PROXY_H
#define TESTS_SOAK_FAULT_PROXY_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

namespace soak
{

/**
 * FAULT_ONE_WAY holds back what the target sends, FAULT_STALL what both sides
 * send.
 */
enum Fault {
	FAULT_NONE,
	FAULT_DELAY,
	FAULT_RESET,
	FAULT_ONE_WAY,
	FAULT_STALL,
	FAULT_COUNT
};

inline int
listen_on_loopback(uint16_t *port)
{
	sockaddr_in address = {};
	socklen_t length = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	address.sin_family = AF_INET;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address));
	listen(fd, 256);
	getsockname(fd, reinterpret_cast<sockaddr *>(&address), &length);
	*port = ntohs(address.sin_port);
	return fd;
}

/** Accepts connections and serves each one in its own thread. */
class TcpServer
{
      public:
	TcpServer() : fd_(listen_on_loopback(&port_))
	{
	}

	virtual ~TcpServer()
	{
		close(fd_);
	}

	TcpServer(const TcpServer &) = delete;
	TcpServer &operator=(const TcpServer &) = delete;

	std::string address() const
	{
		return "127.0.0.1:" + std::to_string(port_);
	}

      protected:
	void start()
	{
		thread_ = std::thread([this] { accept_connections(); });
	}

	/** Must be called by the destructor of the class that implements
	 * serve(), because the threads of the connections call it. */
	void stop()
	{
		stopping_ = true;
		thread_.join();
		while (workers_ > 0)
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(5));
	}

	/** Serves a connection and closes its descriptor. */
	virtual void serve(int fd) = 0;

	std::atomic<bool> stopping_{ false };

      private:
	void accept_connections()
	{
		while (!stopping_) {
			pollfd item = { fd_, POLLIN, 0 };
			if (poll(&item, 1, 20) != 1)
				continue;
			int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
			if (fd < 0)
				continue;
			workers_++;
			std::thread([this, fd] {
				serve(fd);
				workers_--;
			}).detach();
		}
	}

	uint16_t port_;
	int fd_;
	std::atomic<uint32_t> workers_{ 0 };
	std::thread thread_;
};

class FaultProxy : public TcpServer
{
      public:
	explicit FaultProxy(uint16_t target) : target_(target)
	{
		start();
	}

	~FaultProxy() override
	{
		stop();
	}

	std::atomic<Fault> fault{ FAULT_NONE };

      private:
	int connect_target() const
	{
		sockaddr_in address = {};
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

		address.sin_family = AF_INET;
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		address.sin_port = htons(target_);
		if (connect(fd, reinterpret_cast<sockaddr *>(&address),
			sizeof(address)) == 0)
			return fd;
		close(fd);
		return -1;
	}

	static void set_reset_on_close(int fd)
	{
		linger option = { 1, 0 };

		setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
	}

	static bool forward(int from, int to)
	{
		char buffer[16384];
		ssize_t count = recv(from, buffer, sizeof(buffer), 0);

		if (count <= 0)
			return false;
		for (ssize_t sent = 0; sent < count;) {
			ssize_t sent_count = send(to, buffer + sent,
			    (size_t)(count - sent), MSG_NOSIGNAL);
			if (sent_count <= 0)
				return false;
			sent += sent_count;
		}
		return true;
	}

	/** @return false if the connection must be closed */
	bool relay(int caller, int target)
	{
		Fault current_fault = fault;
		pollfd items[] = { { caller, POLLIN, 0 },
			{ target,
			    (short)(current_fault == FAULT_ONE_WAY ? 0
								   : POLLIN),
			    0 } };

		if (current_fault == FAULT_RESET) {
			set_reset_on_close(caller);
			set_reset_on_close(target);
			return false;
		}
		if (current_fault == FAULT_STALL) {
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(20));
			return true;
		}
		if (poll(items, 2, 20) <= 0)
			return true;
		if (current_fault == FAULT_DELAY)
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(80));
		if ((items[0].revents & (POLLIN | POLLHUP)) != 0 &&
		    !forward(caller, target))
			return false;
		return (items[1].revents & POLLIN) == 0 ||
		    forward(target, caller);
	}

	void serve(int fd) override
	{
		int target = connect_target();

		while (target >= 0 && !stopping_ && relay(fd, target))
			;
		if (target >= 0)
			close(target);
		close(fd);
	}

	uint16_t target_;
};

} // namespace soak

#endif

#include "bamboorudderd/listener.h"

#include <arpa/inet.h>
#include <glib.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ADDRESS_TEXT_BYTES 64
#define FD_SCAN_MAX 4096
#define TCP_FLAGS_OFFSET_BYTES 13
#define TCP_FLAGS_SYN_ACK 0x12u
#define TCP_FLAG_SYN 0x02u
#define FILTER_DROP 0u
#define FILTER_PASS UINT32_MAX

static bool
listens_on(int fd, const char *address)
{
	struct sockaddr_in bound = { 0 };
	socklen_t length = sizeof(bound);
	char host[INET_ADDRSTRLEN], text[ADDRESS_TEXT_BYTES];
	int listening = 0;
	socklen_t listening_length = sizeof(listening);

	if (getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listening,
		&listening_length) != 0 ||
	    listening == 0 ||
	    getsockname(fd, (struct sockaddr *)&bound, &length) != 0 ||
	    bound.sin_family != AF_INET ||
	    inet_ntop(AF_INET, &bound.sin_addr, host, sizeof(host)) == NULL)
		return false;
	snprintf(text, sizeof(text), "%s:%u", host, ntohs(bound.sin_port));
	return strcmp(text, address) == 0;
}

void
listener_init(struct listener *listener, const char *address)
{
	long open_max = MIN(sysconf(_SC_OPEN_MAX), FD_SCAN_MAX);

	listener->fd = -1;
	for (int fd = 0; fd < open_max && listener->fd < 0; fd++)
		if (listens_on(fd, address))
			listener->fd = fd;
}

bool
listener_drop_syn(const struct listener *listener)
{
	/* Drops SYN segments; handshakes in progress can complete. */
	struct sock_filter code[] = {
		BPF_STMT(BPF_LD | BPF_B | BPF_ABS, TCP_FLAGS_OFFSET_BYTES),
		BPF_STMT(BPF_ALU | BPF_AND | BPF_K, TCP_FLAGS_SYN_ACK),
		BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, TCP_FLAG_SYN, 0, 1),
		BPF_STMT(BPF_RET | BPF_K, FILTER_DROP),
		BPF_STMT(BPF_RET | BPF_K, FILTER_PASS),
	};
	struct sock_fprog program = { G_N_ELEMENTS(code), code };

	return listener->fd >= 0 &&
	    setsockopt(listener->fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
		sizeof(program)) == 0;
}

bool
listener_has_pending(const struct listener *listener)
{
	struct pollfd item = { .fd = listener->fd, .events = POLLIN };

	return listener->fd >= 0 && poll(&item, 1, 0) > 0;
}

#include "process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "bench.h"

#define CHILDREN_MAX_COUNT 512
#define PORT_FIRST 10000u
#define PORT_SPAN 20000u
#define PORT_STEP 50u
#define EXIT_SIGNAL_BASE 128
#define NS_PER_US 1000u

/* Read by the signal handler. Unused entries are 0. */
static volatile pid_t children[CHILDREN_MAX_COUNT];

static void
kill_children(void)
{
	for (int i = 0; i < CHILDREN_MAX_COUNT; i++)
		if (children[i] > 0)
			kill(children[i], SIGKILL);
}

static void
on_signal(int number)
{
	kill_children();
	_exit(EXIT_SIGNAL_BASE + number);
}

void
process_finish(void)
{
	kill_children();
	for (int i = 0; i < CHILDREN_MAX_COUNT; i++) {
		if (children[i] > 0)
			waitpid(children[i], NULL, 0);
		children[i] = 0;
	}
}

void
process_init(void)
{
	struct sigaction action = { .sa_handler = on_signal };

	sigaction(SIGINT, &action, NULL);
	sigaction(SIGTERM, &action, NULL);
	sigaction(SIGHUP, &action, NULL);
	signal(SIGPIPE, SIG_IGN);
	atexit(process_finish);
}

static void
exec_child(const char *const *argv, const char *log_path)
{
	int fd = open(log_path, O_WRONLY | O_CREAT | O_APPEND, 0644);

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	signal(SIGINT, SIG_DFL);
	signal(SIGTERM, SIG_DFL);
	signal(SIGHUP, SIG_DFL);
	if (fd >= 0) {
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		close(fd);
	}
	execv(argv[0], (char **)(void *)argv);
	_exit(EXIT_FAILURE);
}

pid_t
process_start(const char *const *argv, const char *log_path)
{
	pid_t pid;

	for (int i = 0; i < CHILDREN_MAX_COUNT; i++) {
		if (children[i] != 0)
			continue;
		pid = fork();
		if (pid == 0)
			exec_child(argv, log_path);
		if (pid < 0)
			bench_fatal("cannot start %s", argv[0]);
		children[i] = pid;
		return pid;
	}
	bench_fatal("too many child processes");
}

void
process_signal(pid_t pid, int signal_number)
{
	if (pid <= 0) /* kill() would signal a process group */
		return;
	kill(pid, signal_number);
	if (signal_number != SIGKILL)
		return;
	waitpid(pid, NULL, 0);
	for (int i = 0; i < CHILDREN_MAX_COUNT; i++)
		if (children[i] == pid)
			children[i] = 0;
}

uint64_t
process_cpu_us(pid_t pid)
{
	struct timespec used;
	clockid_t clock;

	if (clock_getcpuclockid(pid, &clock) != 0 ||
	    clock_gettime(clock, &used) != 0)
		return 0;
	return (uint64_t)used.tv_sec * US_PER_S +
	    (uint64_t)used.tv_nsec / NS_PER_US;
}

uint64_t
process_resident_kib(pid_t pid)
{
	char *path = g_strdup_printf("/proc/%d/status", (int)pid);
	uint64_t resident_kib = 0;
	char *text = NULL, *field;

	if (g_file_get_contents(path, &text, NULL, NULL)) {
		field = strstr(text, "VmRSS:");
		if (field != NULL)
			resident_kib = strtoull(field + strlen("VmRSS:"), NULL,
			    10);
	}
	g_free(text);
	g_free(path);
	return resident_kib;
}

uint16_t
process_free_port(void)
{
	static uint32_t next;
	struct sockaddr_in address = { .sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	bool bound = false;
	uint16_t port = 0;

	if (next == 0)
		next = (uint32_t)getpid() * PORT_STEP;
	while (!bound) {
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		port = (uint16_t)(PORT_FIRST + next++ % PORT_SPAN);
		address.sin_port = htons(port);
		bound = bind(fd, (struct sockaddr *)&address,
			    sizeof(address)) == 0;
		close(fd);
	}
	return port;
}

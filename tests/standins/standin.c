#include "standin.h"

#include <errno.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define BODY_MAX_BYTES (4u * 1024u * 1024u)
#define US_PER_S 1000000u
#define NS_PER_US 1000u

int
standin_serve(const char *address, const char *threads, standin_handler handle,
    void *context)
{
	const char *options[] = { "listening_ports", address, "num_threads",
		threads, "enable_keep_alive", "yes", "tcp_nodelay", "1",
		"request_timeout_ms", "600000", NULL };
	struct mg_callbacks callbacks = { 0 };
	struct mg_context *server;
	sigset_t signals;
	int signal_number;

	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	signal(SIGPIPE, SIG_IGN);
	mg_init_library(0);
	server = mg_start(&callbacks, context, options);
	if (server == NULL) {
		fprintf(stderr, "cannot listen on %s\n", address);
		return EXIT_FAILURE;
	}
	mg_set_request_handler(server, "**", handle, context);
	fprintf(stderr, "listening on %s\n", address);
	sigwait(&signals, &signal_number);
	/* mg_stop() would wait for connections that daemons keep open */
	_Exit(EXIT_SUCCESS);
}

void
standin_send_text(struct mg_connection *connection, uint32_t status,
    const char *etag, const char *text)
{
	char length[24];

	snprintf(length, sizeof(length), "%zu", strlen(text));
	mg_response_header_start(connection, (int)status);
	if (etag != NULL)
		mg_response_header_add(connection, "ETag", etag, -1);
	mg_response_header_add(connection, "Content-Type", "application/json",
	    -1);
	mg_response_header_add(connection, "Content-Length", length, -1);
	mg_response_header_send(connection);
	mg_write(connection, text, strlen(text));
}

void
standin_send_json(struct mg_connection *connection, uint32_t status,
    const char *etag, json_t *document)
{
	char *text = json_dumps(document, JSON_COMPACT);

	standin_send_text(connection, status, etag, text);
	free(text);
	json_decref(document);
}

char *
standin_read_body(struct mg_connection *connection)
{
	char *body = malloc(BODY_MAX_BYTES + 1);
	size_t length = 0;
	int count;

	while (length < BODY_MAX_BYTES &&
	    (count = mg_read(connection, body + length,
		 BODY_MAX_BYTES - length)) > 0)
		length += (size_t)count;
	body[length] = '\0';
	return body;
}

int64_t
standin_query_number(struct mg_connection *connection, const char *name,
    int64_t default_value)
{
	const char *query = mg_get_request_info(connection)->query_string;
	char value[32];

	if (query == NULL ||
	    mg_get_var(query, strlen(query), name, value, sizeof(value)) < 0)
		return default_value;
	return strtoll(value, NULL, 10);
}

void
standin_sleep_us(uint64_t duration_us)
{
	struct timespec remaining = { (time_t)(duration_us / US_PER_S),
		(long)(duration_us % US_PER_S * NS_PER_US) };

	while (nanosleep(&remaining, &remaining) != 0 && errno == EINTR)
		continue;
}

uint64_t
standin_now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * US_PER_S +
	    (uint64_t)now.tv_nsec / NS_PER_US;
}

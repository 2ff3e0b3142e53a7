/**
 * @file
 * HTTP server of the stand-ins, which replace external systems in tests.
 */
#ifndef TESTS_STANDINS_STANDIN_H
#define TESTS_STANDINS_STANDIN_H

#include <civetweb.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

typedef int (*standin_handler)(struct mg_connection *connection, void *context);

/** Serves on the address until SIGTERM or SIGINT. @return exit status */
int standin_serve(const char *address, const char *threads,
    standin_handler handle, void *context);

void standin_send_json(struct mg_connection *connection, uint32_t status,
    const char *etag, json_t *document);
void standin_send_text(struct mg_connection *connection, uint32_t status,
    const char *etag, const char *text);

/** @return the request body with a terminating zero, to be freed by free() */
char *standin_read_body(struct mg_connection *connection);

/** @return value of a query parameter, or default_value without it */
int64_t standin_query_number(struct mg_connection *connection, const char *name,
    int64_t default_value);

void standin_sleep_us(uint64_t duration_us);
uint64_t standin_now_us(void);

#endif

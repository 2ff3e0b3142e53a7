/**
 * @file
 * The platform's objects as the daemon's own types: the configuration and the
 * entries that endpoints write of themselves.
 */
#ifndef PLATFORM_DECODE_H
#define PLATFORM_DECODE_H

#include <jansson.h>
#include <stdbool.h>

#include "core/catalog.h"
#include "core/dispatch.h"

/**
 * @param spec the configuration object's own part
 * @param error receives why it can't be read; to be freed by g_free
 * @return a sealed catalog, or NULL
 */
struct catalog *decode_configuration(const json_t *spec, char **error);

/**
 * @param name the object's name
 * @return false if the entry names no endpoint that can be used
 */
bool decode_endpoint(const char *name, const json_t *spec,
    struct dispatch_listing *listing);

#endif

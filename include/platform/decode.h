/**
 * @file
 * The platform's objects as the daemon's own types: the configuration and the
 * entries that endpoints write of themselves.
 */
#ifndef PLATFORM_DECODE_H
#define PLATFORM_DECODE_H

#include <jansson.h>
#include <stdbool.h>

#include "core/config_snapshot.h"
#include "core/dispatch.h"

/**
 * @param spec the configuration object's own part
 * @param error receives why it can't be read; to be freed by g_free
 * @return a sealed configuration, or NULL
 */
struct config_snapshot *decode_configuration(const json_t *spec, char **error);

/**
 * @param name the object's name
 * @return false if the entry names no endpoint that can be used
 */
bool decode_endpoint(const char *name, const json_t *spec,
    struct dispatch_endpoint_info *info);

#endif

/**
 * @file
 * Decodes the objects of the platform's store: the configuration and the entries
 * that endpoints publish about themselves.
 */
#ifndef PLATFORM_DECODE_H
#define PLATFORM_DECODE_H

#include <jansson.h>
#include <stdbool.h>

#include "core/config_snapshot.h"
#include "core/dispatch.h"

/**
 * Decodes a configuration. Parts that can't be read are logged, counted and left
 * out, so that the rest holds: above all the keys that it takes away.
 * @param spec specification of the configuration object
 * @param error receives the reason of a failure; to be freed with g_free
 * @return a frozen snapshot, or NULL
 */
struct config_snapshot *decode_configuration(const json_t *spec, char **error);

/**
 * @param name name of the object
 * @return false if the entry describes no usable endpoint
 */
bool decode_endpoint(const char *name, const json_t *spec,
    struct dispatch_endpoint_info *info);

#endif

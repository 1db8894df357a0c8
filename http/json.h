/**
 * @file
 * Helpers over json-glib for request and response bodies.
 */
#ifndef WISTERIAVANE_HTTP_JSON_H
#define WISTERIAVANE_HTTP_JSON_H

#include <json-glib/json-glib.h>

#include "wisteriavane/status.h"

/**
 * Parses a body that must be one JSON object, nested at most 64 deep.
 *
 * @param status  receives WV_BAD_JSON and a message on failure
 * @return an immutable node to be released with json_node_unref(), or NULL
 */
JsonNode *wv_json_parse(struct wv_string body, struct wv_status *status);

/** Serializes a node. The string is owned by the caller. */
struct wv_string wv_json_serialize(JsonNode *node);

/**
 * Serializes an object and releases the caller's reference to it. The string
 * is owned by the caller.
 */
struct wv_string wv_json_serialize_object(JsonObject *object);

/**
 * Returns a string member, borrowed from the object, or an empty string if
 * there is none of this type.
 */
struct wv_string wv_json_get_string(JsonObject *object, const char *name);

/** Returns a number member, or the fallback if there is none of this type. */
double wv_json_get_number(
    JsonObject *object, const char *name, double fallback);

/** Returns a boolean member, or the fallback if there is none of this type. */
bool wv_json_get_bool(JsonObject *object, const char *name, bool fallback);

/**
 * Returns an array member, borrowed from the object, or NULL if there is none
 * of this type.
 */
JsonArray *wv_json_get_array(JsonObject *object, const char *name);

/**
 * Sets a string member.
 *
 * @param value  valid UTF-8 without NUL; copied
 */
void wv_json_set_string(
    JsonObject *object, const char *name, struct wv_string value);

/**
 * Serializes a status as an object with "code", "name" and "message". The
 * string is owned by the caller.
 */
struct wv_string wv_json_serialize_status(const struct wv_status *status);

/** Adds "code", "name" and "message" of a status to an object. */
void wv_json_add_status(JsonObject *object, const struct wv_status *status);

#endif

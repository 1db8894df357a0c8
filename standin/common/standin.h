/**
 * @file
 * Shared by the stand-ins for the platform: a timer thread, start and end of
 * the process, and helpers for JSON calls.
 */
#ifndef WISTERIAVANE_STANDIN_H
#define WISTERIAVANE_STANDIN_H

#include "http/json.h"
#include "http/server.h"

struct standin_timer;

/** Callback of a timer; runs on the timer thread. */
typedef void (*standin_timer_callback)(void *data);

/** Starts a timer thread, which runs until the process ends. */
struct standin_timer *standin_timer_create(void);

/** Calls due(data) once after a delay in ms. May be called on any thread. */
void standin_timer_add(struct standin_timer *timer, wv_msec delay,
    standin_timer_callback due, void *data);

/** Returns the monotonic time, ms. */
wv_msec standin_now(void);

/**
 * Blocks SIGINT and SIGTERM, so that only standin_wait_and_exit() receives
 * them, ignores SIGPIPE, and opens the standard streams that are closed. Must
 * be called before the first thread is started and before anything is opened.
 */
void standin_prepare(void);

/** Waits for SIGINT or SIGTERM and ends the process with exit code 0. */
void standin_wait_and_exit(void);

/**
 * Starts a server and prints "listening on IP:PORT" to standard output.
 * Ends the process with exit code 1 if it cannot listen on the address.
 */
struct wv_http_server *standin_listen(const char *address,
    uint32_t max_connections, struct wv_http_handler *handler);

/** Reads a JSON object from a file, or ends the process with exit code 1. */
JsonObject *standin_load_json(const char *path);

/**
 * Parses the body of a call. The caller owns the node.
 *
 * @return NULL if it is not a JSON object; the call has been failed then
 */
JsonNode *standin_parse_body(struct wv_http_call *call);

/** Answers with an object. Takes ownership of the object. */
void standin_answer(
    struct wv_http_call *call, unsigned int http_status, JsonObject *object);

/**
 * Answers with an object after a delay in ms, on the timer thread unless the
 * delay is 0. Takes ownership of the object.
 */
void standin_answer_delayed(struct standin_timer *timer, wv_msec delay,
    struct wv_http_call *call, unsigned int http_status, JsonObject *object);

/** Fails a call with {"code", "name", "message"}. */
void standin_fail(
    struct wv_http_call *call, enum wv_code code, const char *message);

/** Returns whether a call has this HTTP method. */
bool standin_has_method(const struct wv_http_call *call, const char *method);

#endif

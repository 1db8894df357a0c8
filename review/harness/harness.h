/**
 * @file
 * Harness of the review's scripts: stand-ins for the store, searchers and
 * clients on loopback addresses, and entry servers as separate processes.
 *
 * All stand-ins run in one event loop. What is sent, answered and run is
 * written to a record file with the time since the start.
 */
#ifndef REVIEW_HARNESS_H
#define REVIEW_HARNESS_H

#include <event2/event.h>
#include <stdio.h>
#include <sys/types.h>

#include "entry/client.h"
#include "entry/server.h"

/** Exit codes of a script. */
enum exit_code { EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN };

/** Kinds of objects in the store. */
#define KIND_CONFIG "config"
#define KIND_SERVERS "servers"

/** Limits of the store's answers: objects of a page and their bytes. */
#define PAGE_OBJECTS 500
#define PAGE_BYTES (1u << 20)
/** Time of an answer of the store, ms. */
#define STORE_TIME 4

struct harness;

/** A timer that calls a function once or periodically. */
struct task;

/** One version of an object. */
struct object {
	char *kind;
	char *name;
	char *spec; /**< JSON text */
	uint64_t revision;
	bool deleted;
};

/** An address of the store; each machine has its own. */
struct door {
	struct store *store;
	struct server *server;
	char *address; /**< IP:PORT */
	unsigned rejected_percent; /**< of the calls, answered 503 */
	unsigned rejected;
	wv_msec watched_at; /**< time of its last watch */
};

struct store {
	struct harness *harness;
	GPtrArray *objects; /**< newest versions, by name */
	GPtrArray *history; /**< all versions, oldest first */
	GQueue waiting; /**< watches without an event so far */
	uint64_t revision;
	uint64_t history_from; /**< changes up to this revision are forgotten */
	uint64_t calls;
	bool mute; /**< watches hear nothing of changes */
};

/** What a searcher does with a request. */
struct verdict {
	unsigned status; /**< 200, or a failure */
	bool not_run; /**< it is rejected before it runs */
};

struct searcher {
	struct harness *harness;
	struct server *server;
	char *service;
	char *id;
	char *address;
	uint64_t started; /**< Unix time, ms */
	uint64_t sequence;
	bool draining;
	unsigned work_ms;
	/** Decides on a request; NULL: each one is run and answered 200. */
	struct verdict (*decide)(struct searcher *searcher, const char *id);
	/** Called for each request that begins to run; NULL: not. */
	void (*ran)(struct searcher *searcher, const char *id);
};

/** An entry server. */
struct vm {
	struct harness *harness;
	unsigned index;
	char *name;
	char *ip;
	char *settings; /**< path of the settings file */
	char *callers; /**< IP:PORT */
	char *readiness; /**< IP:PORT */
	struct door *door; /**< the store as this machine reaches it */
	pid_t pid; /**< 0: not running */
	wv_msec started_at;
	unsigned own_ends; /**< ends that the harness did not cause */
	bool expect_end; /**< the harness ended it */
	struct client *client; /**< kept connection of the clients */
	struct request *request; /**< on the kept connection */
};

/** A client attempt and its answer. */
struct request {
	struct vm *vm;
	char *id;
	char *path;
	wv_msec sent_at;
	unsigned status; /**< 0: the connection ended */
	/** Called with the answer; the request is freed afterwards. */
	void (*answered)(struct request *request, const struct message *answer);
	struct client *client;
};

struct harness {
	struct event_base *base;
	FILE *record;
	char *dir; /**< settings and logs of the entry servers */
	char *program;
	bool trouble;
	wv_msec started_at;
	unsigned net; /**< second octet of the loopback addresses */
	unsigned port; /**< first of the ports, the same on all machines */
	struct store *store;
	GPtrArray *vms;
	GPtrArray *searchers;
	unsigned n_ids;
	int result;
};

/** Reads TROUBLE, opens the record and prepares a temporary folder. */
struct harness *harness_create(void);

/** Ends all processes, removes the folder and returns the exit code. */
int harness_finish(struct harness *harness);

/** Time since the start, ms. */
wv_msec harness_now(const struct harness *harness);

/** Writes a line to the record. */
void record(struct harness *harness, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

/** Runs the event loop for a time, ms. */
void run_for(struct harness *harness, wv_msec time);

/** Calls a function after a delay, and then periodically if period > 0. */
struct task *task_start(struct harness *harness, wv_msec delay, wv_msec period,
    void (*call)(void *data), void *data);
void task_stop(struct task *task);

/** Writes an object; returns its revision, which acknowledges it. */
uint64_t store_put(
    struct store *store, const char *kind, const char *name, const char *spec);
void store_remove(struct store *store, const char *kind, const char *name);
/** Forgets all history and ends the watches that wait. */
void store_compact(struct store *store);

/** Starts a searcher and registers it; it then sends its heartbeats. */
struct searcher *searcher_start(
    struct harness *harness, const char *service, const char *id);
/** Writes the searcher's entry as it is now. */
void searcher_register(struct searcher *searcher);

/** Adds an entry server; its process is not started yet. */
struct vm *vm_create(struct harness *harness, const char *name);
void vm_start(struct vm *vm);
/** Kills the process (SIGKILL) and waits for its end. */
void vm_kill(struct vm *vm);
/** Notices ended processes; restarts those that ended by themselves. */
void check_vms(struct harness *harness);

/**
 * Sends a request as a client does, on the kept connection if it is free, else
 * on one of its own.
 *
 * @param body      NULL: none
 * @param answered  called with the answer; NULL: not
 */
struct request *request_send(struct vm *vm, const char *method,
    const char *path, unsigned deadline_ms, const char *body,
    void (*answered)(struct request *request, const struct message *answer));

/** Returns the value of a field, or "" (owned by the caller). */
char *answer_field(const struct message *answer, const char *name);

#endif

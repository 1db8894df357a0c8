/**
 * @file
 * World of a review case: a store, searchers, callers and entry VMs on loopback
 * addresses. The VMs run as processes; all else runs in one event loop.
 *
 * Times are monotonic, in ms since the creation of the world.
 */
#ifndef WISTERIAVANE_REVIEW_STAND_2_WORLD_H
#define WISTERIAVANE_REVIEW_STAND_2_WORLD_H

#include <event2/event.h>
#include <stdio.h>

#include "entry/server.h"
#include "platform/standin/standin.h"

/** Exit codes of a case. */
#define CASE_HELD 0
#define CASE_BROKEN 1
#define CASE_NOT_RUN 2

struct world;

/** A searcher of the world. */
struct world_searcher {
	struct world *world;
	char *id;
	char *service;
	char *address; /**< IP:PORT */
	uint64_t born; /**< Unix time of its start as it tells it, ms */
	uint64_t sequence; /**< of its last entry */
	bool draining; /**< by its last entry */
	struct server *server; /**< NULL while it is down */
	wv_msec counted_from; /**< arrivals are late from then on; 0: none */
	unsigned late; /**< late arrivals that were run */
	unsigned runs; /**< requests that it has run */
};

/** Creates a world that writes its record to a file; NULL if it can't. */
struct world *world_create(const char *record);

/** Ends the VMs, removes the temporary folder and frees the world. */
void world_destroy(struct world *world);

/** Returns the store. Borrowed. */
struct standin_store *world_store(struct world *world);

/** Returns the time. */
wv_msec world_now(const struct world *world);

/** Writes a line with the time to the record. */
void world_record(struct world *world, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

/** Runs the event loop for a time, ms. */
void world_run_for(struct world *world, wv_msec time);

/** Creates a searcher on a free port and starts it. Lives as the world. */
struct world_searcher *world_add_searcher(
    struct world *world, const char *service, const char *id, uint64_t born);

/** Ends the process of a searcher: all its connections are closed. */
void world_crash_searcher(struct world_searcher *searcher);

/** Starts a searcher that is down, with the same id, at the same address. */
void world_restart_searcher(struct world_searcher *searcher, uint64_t born);

/** Writes the entry of a searcher to the store. */
void world_write_entry(struct world_searcher *searcher, bool draining);

/** Starts a VM; returns false if that is not possible. */
bool world_start_vm(struct world *world, const char *name);

/** Waits until all VMs are ready; returns false after a limit. */
bool world_wait_ready(struct world *world);

/** Ends a VM with SIGKILL for good; callers stop using it. */
void world_kill_vm(struct world *world, const char *name);

/** Ends all VMs with SIGKILL at once. */
void world_kill_all_vms(struct world *world);

/** Starts all VMs that were ended by world_kill_all_vms() again. */
bool world_restart_all_vms(struct world *world);

/**
 * Begins to send orders, which may run once, to the VMs in turn.
 *
 * @param interval  time between two requests, ms
 */
void world_start_callers(struct world *world, wv_msec interval);

/** Callers send no further orders until world_start_callers(). */
void world_pause_callers(struct world *world);

/** Records how the requests of the callers ended. */
void world_record_answers(struct world *world);

/** Returns how many requests were sent. */
unsigned world_count_sent(const struct world *world);

/** Returns how many requests were answered with success. */
unsigned world_count_served(const struct world *world);

/**
 * Main function of a case: plays it, with the disruption unless TROUBLE is 0.
 *
 * @return the exit code of the case
 */
int world_main(
    int argc, char **argv, int (*run_case)(struct world *world, bool trouble));

#endif

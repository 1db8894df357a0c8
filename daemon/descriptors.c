/**
 * @file
 * Division of the process's descriptors among its ports.
 */
#include <sys/resource.h>

#include "daemon/descriptors.h"

/**
 * Descriptors that are no connections: of the process and of each thread. An
 * idle daemon with two workers and two HTTP threads has 21.
 */
#define PROCESS_DESCRIPTORS 16
#define THREAD_DESCRIPTORS 4
/** Limit per HTTP thread of callers, and of the other ports. */
#define MAX_CONNECTIONS 1024
/** Parts of the remaining descriptors: 6, 1 and 2 sixteenths. */
#define PARTS 16
#define CALLERS_PARTS 6
#define OPERATORS_PARTS 1
#define PEERS_PARTS 2

size_t
descriptors_raise_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
		return 0;
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
	getrlimit(RLIMIT_NOFILE, &limit);
	return (size_t)limit.rlim_cur;
}

/* Returns some parts of a number, within limits. */
static size_t
take_parts(size_t number, size_t parts, size_t minimum, size_t maximum)
{
	size_t share = number / PARTS * parts + number % PARTS * parts / PARTS;

	return CLAMP(share, minimum, maximum);
}

struct descriptor_shares
descriptors_divide(const struct wv_settings *settings, size_t limit)
{
	size_t threads = settings->callers_threads;
	size_t used = PROCESS_DESCRIPTORS +
	    THREAD_DESCRIPTORS * (threads + settings->workers);
	size_t left = limit > used ? limit - used : 0;

	/* At its limit, an HTTP thread closes one connection for another. */
	return (struct descriptor_shares){
	    .callers = take_parts(
		left, CALLERS_PARTS, 2 * threads, threads * MAX_CONNECTIONS),
	    .operators = take_parts(left, OPERATORS_PARTS, 2, MAX_CONNECTIONS),
	    .peers = take_parts(left, PEERS_PARTS, 1, MAX_CONNECTIONS)};
}

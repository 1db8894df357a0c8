/**
 * @file
 * Measures the traffic and CPU time of membership and leases per VM at several
 * cluster sizes, and checks the traffic of membership against its limit. It
 * prints one line for each size:
 *
 *   build/test_control_cost --verbose
 *   valgrind --tool=callgrind --toggle-collect=measured_run \
 *       build/test_control_cost -p /control-cost/members/60
 */
#include <time.h>

#include "test/vm_network.h"

/* Maximum membership traffic that a VM may send, bytes per second. */
#define MAX_BYTES_PER_SECOND 11000.0
/* Rounds of heartbeats between two renewals of a lease. */
#define ROUNDS_PER_RENEWAL 2
/* Simulated time that is measured, s. */
#define MEASURED_SECONDS 20

/* Returns the CPU time that this process has used, s. */
static double
cpu_seconds(void)
{
	struct timespec time;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
	return (double)time.tv_sec + (double)time.tv_nsec / 1e9;
}

/*
 * Returns the longest time since a VM last saw the heartbeat of another one
 * increase, ms. Sets not_live to the number of entries that are not live.
 */
static wv_msec
longest_silence(const struct vm_network *network, size_t *not_live)
{
	const struct wv_member *all;
	wv_msec longest = 0;
	size_t n;

	*not_live = 0;
	for (size_t i = 0; i < network->n_nodes; i++) {
		all = wv_members_all(network->nodes[i].members, &n);
		for (size_t j = 1; j < n; j++) {
			longest = MAX(longest,
			    vm_network_now(network) - all[j].last_seen);
			*not_live += all[j].state != WV_MEMBER_LIVE;
		}
	}
	return longest;
}

/* Starts n VMs, runs them for warm_up ms and resets their counters. */
static struct vm_network *
start_vms(size_t n, wv_msec warm_up)
{
	struct vm_network *network = vm_network_create(n, 3, 11);

	for (size_t i = 0; i < n; i++)
		vm_network_set_vm_list(network, i, 0, n - 1);
	vm_network_run(network, warm_up);
	for (size_t i = 0; i < n; i++) {
		network->nodes[i].bytes = 0;
		network->nodes[i].messages = 0;
	}
	return network;
}

/* The measured part of a run; callgrind counts its instructions. */
static __attribute__((noinline)) void
measured_run(struct vm_network *network)
{
	vm_network_run(network, MEASURED_SECONDS * 1000);
}

/* The membership traffic of a VM must not grow with the number of VMs. */
static void
test_members(gconstpointer data)
{
	size_t n = GPOINTER_TO_SIZE(data);
	struct vm_network *network = start_vms(n, 60000);
	uint64_t bytes = 0;
	uint64_t messages = 0;
	size_t not_live;
	wv_msec silence;
	double cpu = cpu_seconds();

	measured_run(network);
	cpu = cpu_seconds() - cpu;
	for (size_t i = 0; i < n; i++) {
		bytes += network->nodes[i].bytes;
		messages += network->nodes[i].messages;
	}
	silence = longest_silence(network, &not_live);
	g_test_message("members %zu: %.0f bytes/s and %.1f frames/s sent a "
		       "node, %.4f%% of a core, longest silence %.0f ms, "
		       "%zu not live",
	    n, (double)bytes / n / MEASURED_SECONDS,
	    (double)messages / n / MEASURED_SECONDS,
	    100 * cpu / n / MEASURED_SECONDS, silence, not_live);
	g_assert_cmpfloat(
	    (double)bytes / n / MEASURED_SECONDS, <, MAX_BYTES_PER_SECOND);
	g_assert_cmpuint(not_live, ==, 0);
	vm_network_destroy(network);
}

/* Cost of one renewal of a VM's lanes: claims sent and grants received. */
struct renewal {
	uint64_t bytes;
	uint64_t frames;
};

/* Returns a frame without body. Its strings are literals. */
static Wisteriavane__Frame
make_frame(void)
{
	Wisteriavane__Frame frame = WISTERIAVANE__FRAME__INIT;

	frame.deployment = "anadolu";
	frame.protocol = WV_FRAME_PROTOCOL_VERSION;
	frame.vm = "vm-00000";
	frame.incarnation = 1000001;
	return frame;
}

/*
 * Encodes and decodes a frame and adds its size to the cost. Returns the
 * decoded frame, to be released with wv_frame_destroy().
 */
static Wisteriavane__Frame *
encode_and_decode(struct renewal *cost, struct wv_frame_decoder *decoder,
    const Wisteriavane__Frame *frame)
{
	GByteArray *bytes = g_byte_array_new();
	Wisteriavane__Frame *decoded;
	struct wv_status status;

	wv_frame_encode(frame, bytes, &status);
	cost->bytes += bytes->len;
	cost->frames++;
	wv_frame_decoder_push(decoder, bytes->data, bytes->len);
	wv_frame_decoder_next(decoder, &decoded, &status);
	g_assert_nonnull(decoded);
	g_byte_array_free(bytes, TRUE);
	return decoded;
}

/* Renews the n lanes that one granter grants: a heartbeat and its Ack. */
static void
renew_with_granter(struct renewal *cost, struct wv_frame_decoder *decoder,
    struct wv_granter *granter, char **lanes, size_t n)
{
	Wisteriavane__Heartbeat heartbeat = WISTERIAVANE__HEARTBEAT__INIT;
	Wisteriavane__Ack ack = WISTERIAVANE__ACK__INIT;
	Wisteriavane__Frame frame = make_frame();
	Wisteriavane__Frame *claims;
	struct wv_vm_id holder = {wv_string_borrow("vm-00000"), 1000001};

	heartbeat.sequence = 100000;
	heartbeat.roster_digest = 0x123456789abcdef;
	heartbeat.n_claims = n;
	heartbeat.claims = lanes;
	frame.body_case = WISTERIAVANE__FRAME__BODY_HEARTBEAT;
	frame.heartbeat = &heartbeat;
	claims = encode_and_decode(cost, decoder, &frame);
	for (size_t i = 0; i < n; i++)
		wv_granter_claim(granter, 5000,
		    wv_string_borrow(claims->heartbeat->claims[i]), holder);
	ack.sequence = 100000;
	ack.roster_digest = 0x123456789abcdef;
	ack.n_grants = n;
	ack.grants = claims->heartbeat->claims;
	frame.body_case = WISTERIAVANE__FRAME__BODY_ACK;
	frame.ack = &ack;
	wv_frame_destroy(encode_and_decode(cost, decoder, &frame));
	wv_frame_destroy(claims);
}

/* Lists the lanes that a VM grants and returns their number. */
static size_t
list_granted_lanes(const struct wv_roster *roster, char **all, size_t n_all,
    size_t vm, char **lanes)
{
	struct wv_string granters[WV_MAX_GRANTERS];
	size_t n_granters;
	size_t n = 0;

	for (size_t i = 0; i < n_all; i++) {
		n_granters = wv_roster_granters(roster,
		    wv_string_borrow(all[i]), granters, WV_MAX_GRANTERS);
		for (size_t j = 0; j < n_granters; j++) {
			if (vm_network_find(granters[j]) == vm)
				lanes[n++] = all[i];
		}
	}
	return n;
}

/* Lanes that one VM grants. */
struct granted {
	char *lanes[100];
	size_t n;
};

/* Renews all lanes once; callgrind counts its instructions. */
static __attribute__((noinline)) void
measured_renewal(struct vm_network *network, struct renewal *cost,
    struct wv_granter *granter, struct granted *granted)
{
	for (size_t vm = 1; vm < network->n_nodes; vm++) {
		if (granted[vm].n > 0)
			renew_with_granter(cost, network->nodes[0].decoder,
			    granter, granted[vm].lanes, granted[vm].n);
	}
}

/*
 * Renews all lanes of one VM in a cluster of n VMs. On average a VM grants as
 * many lanes as it claims. So the bytes of its claims and of the Acks to it
 * add up to what one VM sends.
 */
static void
test_leases(gconstpointer data)
{
	size_t n = GPOINTER_TO_SIZE(data) / 100;
	size_t n_lanes = GPOINTER_TO_SIZE(data) % 100;
	struct vm_network *network = start_vms(n, 1000);
	struct wv_granter *granter = wv_granter_create(0);
	struct renewal cost = {0};
	struct granted *granted = g_new0(struct granted, n + 1);
	char *all[100];
	double per_second = 1000 / (ROUNDS_PER_RENEWAL * WV_HEARTBEAT_INTERVAL);

	for (size_t i = 0; i < n_lanes; i++)
		all[i] = g_strdup_printf("race-eve-desk/%03zu", i);
	for (size_t vm = 1; vm < n; vm++)
		granted[vm].n = list_granted_lanes(network->nodes[0].roster,
		    all, n_lanes, vm, granted[vm].lanes);
	measured_renewal(network, &cost, granter, granted);
	g_test_message("leases: members %zu, lanes a node %zu: %.0f bytes/s, "
		       "%.0f frames/s sent a node",
	    n, n_lanes, (double)cost.bytes * per_second,
	    (double)cost.frames * per_second);
	for (size_t i = 0; i < n_lanes; i++)
		g_free(all[i]);
	g_free(granted);
	wv_granter_destroy(granter);
	vm_network_destroy(network);
}

int
main(int argc, char **argv)
{
	static const size_t members[] = {9, 60, 214, 620};
	static const size_t lanes[] = {1, 2, 4, 8};
	char path[64];

	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(members); i++) {
		g_snprintf(path, sizeof(path), "/control-cost/members/%zu",
		    members[i]);
		g_test_add_data_func(
		    path, GSIZE_TO_POINTER(members[i]), test_members);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(lanes); i++) {
		g_snprintf(
		    path, sizeof(path), "/control-cost/leases/9/%zu", lanes[i]);
		g_test_add_data_func(
		    path, GSIZE_TO_POINTER(900 + lanes[i]), test_leases);
		g_snprintf(path, sizeof(path), "/control-cost/leases/214/%zu",
		    lanes[i]);
		g_test_add_data_func(
		    path, GSIZE_TO_POINTER(21400 + lanes[i]), test_leases);
	}
	return g_test_run();
}

/**
 * @file
 * Sizes of the deployments, and the topologies built from them.
 */
#include "bench/driver/deployment.h"

const struct sim_deployment sim_anadolu = {"anadolu", 4, 0.5, 3};
const struct sim_deployment sim_sicilia = {"sicilia", 3, 1.5, 3};

const struct sim_shape sim_race_eve = {
    "race-eve", &sim_anadolu, 10, 3, 2, 25, 5};
const struct sim_shape sim_counter_sales = {
    "counter-sales", &sim_sicilia, 10, 3, 5, 40, 5};
static const struct sim_shape order_intake = {
    "order-intake", &sim_anadolu, 15, 3, 2, 25, 5};
static const struct sim_shape archive_reader = {
    "archive-reader", &sim_anadolu, 5, 1, 6, 100, 1};
static const struct sim_shape club_portal = {
    "club-portal", &sim_anadolu, 4, 1, 6, 100, 1};
static const struct sim_shape public_catalogue = {
    "public-catalogue", &sim_sicilia, 15, 3, 5, 40, 5};
const struct sim_shape sim_supplier_desk = {
    "supplier-desk", &sim_sicilia, 40, 1, 2, 40, 1};
static const struct sim_shape returns_desk = {
    "returns-desk", &sim_sicilia, 20, 1, 2, 40, 1};

const struct sim_shape *const sim_shapes[] = {&sim_race_eve, &order_intake,
    &archive_reader, &club_portal, &sim_counter_sales, &public_catalogue,
    &sim_supplier_desk, &returns_desk};
const size_t sim_n_shapes = G_N_ELEMENTS(sim_shapes);

wv_msec
sim_one_way_delay(
    const struct sim_deployment *deployment, uint32_t a, uint32_t b)
{
	return a == b ? 0.1 : deployment->zone_delay;
}

static void
append_searcher(GString *json, const struct sim_shape *shape, uint32_t service,
    uint32_t replica)
{
	uint32_t zone = (service + replica) % shape->deployment->zones;

	g_string_append_printf(json,
	    "%s{\"id\": \"s%u-%u\", \"address\": \"127.0.0.1:%u\", "
	    "\"zone\": \"z%u\", \"generation\": 1, \"slots\": %u, "
	    "\"connections\": %u, \"connect_cost_ms\": %g}",
	    replica > 0 ? ", " : "", service, replica,
	    10000 + service * 10 + replica, zone, shape->slots,
	    shape->connections, shape->connect_cost);
}

static struct wv_topology *
create_topology(const struct sim_shape *shape)
{
	GString *json = g_string_new(NULL);
	struct wv_topology *topology;
	struct wv_status status;

	g_string_append_printf(json,
	    "{\"back_end\": \"%s\", \"index_version\": 1, \"map\": 1, "
	    "\"lanes\": 1, \"services\": [",
	    shape->name);
	for (uint32_t i = 0; i < shape->services; i++) {
		g_string_append_printf(json,
		    "%s{\"name\": \"service%u\", \"searchers\": [",
		    i > 0 ? ", " : "", i);
		for (uint32_t j = 0; j < shape->replicas; j++)
			append_searcher(json, shape, i, j);
		g_string_append(json, "]}");
	}
	g_string_append(json, "]}");
	topology = wv_topology_parse(wv_string_borrow(json->str), 1, &status);
	if (topology == NULL)
		g_error("topology of %s: %s", shape->name, status.message);
	g_string_free(json, TRUE);
	return topology;
}

void
sim_back_end_init(struct sim_back_end *back_end, struct sim *sim,
    const struct sim_shape *shape)
{
	struct wv_topology *topology = create_topology(shape);

	back_end->shape = shape;
	back_end->topology = topology;
	back_end->searchers =
	    g_new0(struct sim_searcher, topology->n_searchers);
	back_end->job_runs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (size_t i = 0; i < topology->n_searchers; i++) {
		const struct wv_searcher_info *info = &topology->searchers[i];
		struct sim_searcher *searcher = &back_end->searchers[i];

		sim_searcher_init(searcher, sim, info, back_end->job_runs);
		searcher->zone =
		    (uint32_t)(info->service + i -
			topology->services[info->service].first_searcher) %
		    shape->deployment->zones;
		searcher->oldest_version = topology->index_version;
		searcher->index_version = topology->index_version;
		searcher->map = topology->map;
	}
}

void
sim_back_end_clear(struct sim_back_end *back_end)
{
	for (size_t i = 0; i < back_end->topology->n_searchers; i++)
		sim_searcher_clear(&back_end->searchers[i]);
	g_free(back_end->searchers);
	g_hash_table_destroy(back_end->job_runs);
	wv_topology_destroy(back_end->topology);
}

uint32_t
sim_back_end_count_slots(const struct sim_back_end *back_end)
{
	return back_end->shape->services * back_end->shape->replicas *
	    back_end->shape->slots;
}

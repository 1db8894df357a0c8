/**
 * @file
 * Builds the services and searchers of an executor from a topology.
 */
#include "src/executor_private.h"

/*
 * Returns how many slots of a searcher belong to a lane. The slots of a service
 * are assigned to the lanes round-robin, so lanes differ by at most one slot
 * per service.
 *
 * @param offset  slots of the service's searchers before this one
 */
static uint32_t
count_lane_slots(uint32_t slots, uint64_t offset, uint32_t lane, uint32_t lanes)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < slots; i++)
		n += (offset + i) % lanes == lane ? 1 : 0;
	return n;
}

static void
destroy_searcher(struct searcher *searcher)
{
	wv_replica_destroy(searcher->replica);
	wv_string_clear(&searcher->id);
	g_free(searcher);
}

static void
destroy_service(struct wv_executor *executor, struct service *service)
{
	g_ptr_array_remove(executor->dirty, service);
	wv_timers_remove(&executor->timers, &service->timer);
	wv_admission_destroy(service->admission);
	g_ptr_array_free(service->late_attempts, TRUE);
	wv_string_clear(&service->name);
	g_free(service->members);
	g_free(service);
}

void
wv_executor_sweep_retired(struct wv_executor *executor)
{
	for (guint i = executor->retired->len; i-- > 0;) {
		struct searcher *searcher = executor->retired->pdata[i];

		if (searcher->taken > 0)
			continue;
		g_ptr_array_remove_index_fast(executor->retired, i);
		destroy_searcher(searcher);
	}
}

static struct searcher *
create_searcher(const struct wv_topology *topology,
    const struct wv_searcher_info *info, wv_msec now)
{
	struct searcher *searcher = g_new0(struct searcher, 1);

	searcher->id = wv_string_copy(info->id);
	searcher->generation = info->generation;
	searcher->replica = wv_replica_create(info, now);
	searcher->map = topology->map;
	return searcher;
}

/*
 * Until a searcher reports its versions, it is assumed to hold the published
 * one.
 */
static void
assume_published(struct searcher *searcher, const struct wv_topology *topology)
{
	if (searcher->reported)
		return;
	searcher->versions[0] = topology->index_version;
	searcher->n_versions = 1;
	searcher->map = topology->map;
}

static void
update_generation(
    struct searcher *searcher, const struct wv_searcher_info *info, wv_msec now)
{
	if (info->generation <= searcher->generation)
		return;
	searcher->generation = info->generation;
	/* The new generation may hold other versions than the previous one. */
	searcher->reported = false;
	wv_replica_start_generation(searcher->replica, now, info);
}

static struct searcher *
find_or_create_searcher(GHashTable *previous,
    const struct wv_topology *topology, const struct wv_searcher_info *info,
    wv_msec now)
{
	struct searcher *searcher = g_hash_table_lookup(previous, &info->id);

	if (searcher == NULL)
		return create_searcher(topology, info, now);
	g_hash_table_remove(previous, &info->id);
	update_generation(searcher, info, now);
	return searcher;
}

static struct service *
create_service(struct wv_string name)
{
	struct service *service = g_new0(struct service, 1);

	service->name = wv_string_copy(name);
	service->admission = wv_admission_create();
	service->late_attempts = g_ptr_array_new();
	service->timer.kind = TIMER_SERVICE;
	return service;
}

/* Returns the service of this name from the previous topology, or a new one. */
static struct service *
find_service(
    struct service **previous, size_t n_previous, struct wv_string name)
{
	for (size_t i = 0; i < n_previous; i++) {
		struct service *service = previous[i];

		if (service != NULL && wv_string_equal(service->name, name)) {
			previous[i] = NULL;
			return service;
		}
	}
	return create_service(name);
}

/*
 * Sets the searchers of a service from the topology. Those without a slot in
 * this lane do not become members.
 */
static void
fill_service(struct wv_executor *executor, GHashTable *previous,
    const struct wv_topology *topology, struct service *service, wv_msec now)
{
	const struct wv_service_info *info =
	    &topology->services[service->index];
	uint64_t offset = 0;

	g_free(service->members);
	service->members = g_new0(struct searcher *, info->n_searchers);
	service->n_members = 0;
	for (size_t i = 0; i < info->n_searchers; i++) {
		size_t index = info->first_searcher + i;
		const struct wv_searcher_info *item =
		    &topology->searchers[index];
		struct searcher *searcher =
		    find_or_create_searcher(previous, topology, item, now);

		searcher->index = index;
		searcher->service = service;
		searcher->lane_slots = count_lane_slots(item->slots, offset,
		    executor->config.lane, topology->lanes);
		searcher->lane_slots =
		    MIN(searcher->lane_slots, item->connections);
		offset += item->slots;
		assume_published(searcher, topology);
		executor->searchers[index] = searcher;
		g_hash_table_insert(
		    executor->searcher_ids, &searcher->id, searcher);
		if (searcher->lane_slots > 0)
			service->members[service->n_members++] = searcher;
	}
	wv_service_recount(service);
}

/*
 * Clears the lists of tried searchers, since those may have been removed, and
 * leaves out shards that wait for a removed service.
 */
static void
leave_out_removed(struct wv_executor *executor, wv_msec now,
    struct service *const *removed, size_t n_removed)
{
	GPtrArray *left_out = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, executor->queries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct query *query = value;

		for (size_t i = 0; i < query->n_shards; i++) {
			struct shard *shard = &query->shards[i];

			shard->n_tried = 0;
			for (size_t j = 0; j < n_removed; j++) {
				if (removed[j] == NULL ||
				    shard->service != removed[j])
					continue;
				if (shard->waiter.queued)
					g_ptr_array_add(left_out, shard);
				break;
			}
		}
	}
	for (guint i = 0; i < left_out->len; i++) {
		struct shard *shard = left_out->pdata[i];

		/* An earlier shard of the same query may have ended it. */
		if (!shard->waiter.queued)
			continue;
		wv_admission_remove(shard->service->admission, &shard->waiter);
		wv_shard_leave_out(
		    executor, now, shard, WV_SNAPSHOT_UNAVAILABLE);
	}
	g_ptr_array_free(left_out, TRUE);
}

/* Detaches running shards from a removed service; they get no more attempts. */
static void
detach_service(struct wv_executor *executor, const struct service *service)
{
	GHashTableIter iter;
	gpointer value;

	while (service->late_attempts->len > 0)
		wv_attempt_set_late(service->late_attempts->pdata[0], false);
	g_hash_table_iter_init(&iter, executor->queries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct query *query = value;

		for (size_t i = 0; i < query->n_shards; i++) {
			if (query->shards[i].service == service)
				query->shards[i].service = NULL;
		}
	}
}

/*
 * Retires searchers that are not in the topology any more; they are destroyed
 * when their slots are free.
 */
static void
retire_searchers(struct wv_executor *executor, GHashTable *previous)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, previous);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct searcher *searcher = value;

		searcher->index = SIZE_MAX;
		searcher->service = NULL;
		searcher->lane_slots = 0;
		g_ptr_array_add(executor->retired, searcher);
	}
	wv_executor_sweep_retired(executor);
}

void
wv_executor_apply_topology(struct wv_executor *executor, wv_msec now,
    const struct wv_topology *topology)
{
	struct wv_topology *old_topology = executor->topology;
	struct service **old_services = executor->services;
	size_t n_old_services =
	    old_topology == NULL ? 0 : old_topology->n_services;
	GHashTable *previous = executor->searcher_ids;

	executor->topology = wv_topology_copy(topology);
	executor->services = g_new0(struct service *, topology->n_services);
	g_free(executor->searchers);
	executor->searchers = g_new0(struct searcher *, topology->n_searchers);
	executor->searcher_ids = wv_string_table_create(NULL);
	for (size_t i = 0; i < topology->n_services; i++) {
		executor->services[i] = find_service(
		    old_services, n_old_services, topology->services[i].name);
		executor->services[i]->index = i;
		fill_service(executor, previous, executor->topology,
		    executor->services[i], now);
	}
	executor->snapshot_stale = true;
	leave_out_removed(executor, now, old_services, n_old_services);
	retire_searchers(executor, previous);
	for (size_t i = 0; i < n_old_services; i++) {
		if (old_services[i] == NULL)
			continue;
		detach_service(executor, old_services[i]);
		destroy_service(executor, old_services[i]);
	}
	g_free(old_services);
	g_hash_table_destroy(previous);
	wv_topology_destroy(old_topology);
	wv_executor_apply_shares(executor);
	wv_executor_update_ignore_health(executor);
	wv_service_mark_all(executor);
}

void
wv_executor_clear_topology(struct wv_executor *executor)
{
	for (size_t i = 0; i < executor->topology->n_services; i++)
		destroy_service(executor, executor->services[i]);
	for (size_t i = 0; i < executor->topology->n_searchers; i++)
		destroy_searcher(executor->searchers[i]);
	for (guint i = 0; i < executor->retired->len; i++)
		destroy_searcher(executor->retired->pdata[i]);
	wv_topology_destroy(executor->topology);
	g_free(executor->services);
	g_free(executor->searchers);
	g_ptr_array_free(executor->retired, TRUE);
	g_hash_table_destroy(executor->searcher_ids);
}

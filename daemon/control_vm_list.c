/**
 * @file
 * Client of the platform's VM list. The list is only a hint.
 */
#include <string.h>

#include "daemon/control_private.h"
#include "http/json.h"

/** Time between reads of the list, ms. */
#define VM_LIST_INTERVAL 1000.0
/** Time between reads while this VM knows no other VM, ms. */
#define VM_LIST_INTERVAL_ALONE 500.0
/**
 * Time between reads when there are more VMs than one heartbeat is sent to, ms.
 */
#define VM_LIST_INTERVAL_LARGE 10000.0
/** Timeout of a read, ms. */
#define VM_LIST_TIMEOUT 2000.0

/*
 * Reports a searcher as leaving in every back end that has it, if the entry
 * says so. Without a generation in the entry, the one in the topology counts.
 */
static void
apply_searcher_entry(struct control *control, JsonObject *entry)
{
	struct wv_string id = wv_json_get_string(entry, "id");
	struct wv_string state = wv_json_get_string(entry, "state");
	GHashTableIter iter;
	void *value;
	size_t found;

	if (!wv_string_equal(state, wv_string_borrow("leaving")))
		return;
	g_hash_table_iter_init(&iter, control->back_ends);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct wv_topology *topology =
		    ((struct back_end *)value)->topology;

		found = wv_topology_find(topology, id);
		if (found == topology->n_searchers)
			continue;
		control_report_leaving(control, topology->back_end, id,
		    (uint64_t)wv_json_get_number(entry, "generation",
			(double)topology->searchers[found].generation),
		    WV_LEAVING_VM_LIST);
	}
}

/* Returns an entry of the list as a member that borrows its strings. */
static struct wv_member
parse_member(JsonObject *entry)
{
	struct wv_member member = {0};
	struct wv_string state = wv_json_get_string(entry, "state");

	member.id.name = wv_json_get_string(entry, "id");
	member.zone = wv_json_get_string(entry, "zone");
	member.peer_address = wv_json_get_string(entry, "peer");
	member.caller_address = wv_json_get_string(entry, "callers");
	member.state = wv_string_equal(state, wv_string_borrow("leaving"))
	    ? WV_MEMBER_DRAINING
	    : WV_MEMBER_JOINING;
	return member;
}

/* Applies the list. Entries without a peer address are searchers. */
static void
apply_vm_list(struct control *control, JsonArray *array)
{
	GArray *list = g_array_new(FALSE, TRUE, sizeof(struct wv_member));
	struct wv_member member;
	JsonNode *node;

	for (guint i = 0; i < json_array_get_length(array); i++) {
		node = json_array_get_element(array, i);
		if (!JSON_NODE_HOLDS_OBJECT(node))
			continue;
		member = parse_member(json_node_get_object(node));
		if (member.peer_address.length > 0)
			g_array_append_val(list, member);
		else
			apply_searcher_entry(
			    control, json_node_get_object(node));
	}
	wv_members_apply_vm_list(control->members, daemon_now(control->daemon),
	    (const struct wv_member *)(void *)list->data, list->len);
	control->routing_stale = true;
	g_array_unref(list);
}

static void
on_vm_list(void *data, const struct wv_http_response *answer)
{
	struct control *control = data;
	struct wv_status status = {WV_OK, ""};
	JsonNode *node = NULL;
	JsonArray *array;

	control->vm_list_call_pending = false;
	if (answer->outcome == WV_HTTP_COMPLETED && answer->http_status == 200)
		node = wv_json_parse(answer->body, &status);
	if (node == NULL)
		return;
	array = wv_json_get_array(json_node_get_object(node), "vms");
	if (array != NULL)
		apply_vm_list(control, array);
	json_node_unref(node);
}

static wv_msec
read_interval(size_t members)
{
	if (members <= 1)
		return VM_LIST_INTERVAL_ALONE;
	return members > WV_MAX_HEARTBEAT_FANOUT + 1 ? VM_LIST_INTERVAL_LARGE
						     : VM_LIST_INTERVAL;
}

void
control_tick_vm_list(struct control *control, wv_msec now)
{
	struct wv_http_request request = {0};
	size_t n;

	if (control->vm_list_call_pending || control->next_vm_list > now)
		return;
	wv_members_all(control->members, &n);
	control->next_vm_list = now + read_interval(n);
	control->vm_list_call_pending = true;
	request.method = "GET";
	request.address = control->daemon->settings->vm_list;
	request.path = "/v1/vms";
	request.timeout = VM_LIST_TIMEOUT;
	wv_counter_add(&control->daemon->stats.vm_list_reads, 1);
	wv_http_client_send(control->client, &request, on_vm_list, control);
}

/**
 * @file
 * Answers other VMs' requests for lists and changes from this VM's copy of the
 * store's data.
 */
#include "entry/store_sync_private.h"

void
store_sync_serve(struct store_sync *sync, struct server_conn *conn,
    const struct message *message)
{
	const struct platform_adapter *adapter = sync->deps.adapter;
	GPtrArray *encoded = g_ptr_array_new();
	struct wv_change_log *changes;
	bool after_outage = false;
	enum store_kind kind;
	uint64_t revision;
	GString *text;
	bool known = true;
	bool list;

	if (!adapter->parse_read(
		message_target(message), &kind, &list, &revision)) {
		g_ptr_array_free(encoded, TRUE);
		server_answer_text(conn, 404, "unknown path\n");
		return;
	}
	changes = sync->followers[kind].changes;
	if (list && sync->followers[kind].phase == PHASE_FOLLOW)
		wv_change_log_collect_objects(changes, encoded);
	else
		known = !list &&
		    wv_change_log_collect_after(
			changes, revision, encoded, &after_outage);
	text = adapter->encode_changes(
	    encoded, wv_change_log_revision(changes), after_outage);
	/* 410: the requested changes are no longer kept, or no list is known.
	 */
	server_answer(conn, known ? 200 : 410, NULL,
	    (struct wv_string){text->str, text->len});
	g_string_free(text, TRUE);
	g_ptr_array_free(encoded, TRUE);
}

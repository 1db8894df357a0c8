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
	GString *fields = g_string_new(NULL);
	struct wv_change_log *changes;
	bool after_outage = false;
	enum store_kind kind;
	enum phase phase;
	uint64_t position;
	GString *text;
	bool known = true;
	bool list;

	if (!adapter->parse_read(
		message_target(message), &kind, &list, &position)) {
		g_ptr_array_free(encoded, TRUE);
		g_string_free(fields, TRUE);
		server_answer_text(conn, 404, "unknown path\n");
		return;
	}
	changes = sync->followers[kind].changes;
	phase = sync->followers[kind].phase;
	if (list && (phase == PHASE_FOLLOW || phase == PHASE_CONFIRM))
		wv_change_log_collect_objects(changes, encoded);
	else
		known = !list &&
		    wv_change_log_collect_after(
			changes, position, encoded, &after_outage);
	position = wv_change_log_position(changes);
	text = adapter->encode_changes(
	    encoded, wv_position_revision(position), after_outage);
	g_string_append_printf(fields, "%s: %" G_GUINT64_FORMAT "\r\n",
	    adapter->era, wv_position_era(position));
	/* 410: the requested changes are no longer kept, or no list is known.
	 */
	server_answer(conn, known ? 200 : 410, fields,
	    (struct wv_string){text->str, text->len});
	g_string_free(text, TRUE);
	g_string_free(fields, TRUE);
	g_ptr_array_free(encoded, TRUE);
}

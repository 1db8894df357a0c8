/**
 * @file
 * Answers other VMs from what this one knows of the store.
 */
#include "entry/store_sync_private.h"

void
store_sync_serve(struct store_sync *sync, struct server_conn *conn,
    const struct message *message)
{
	const struct dialect *dialect = sync->entry->dialect;
	GPtrArray *texts = g_ptr_array_new();
	struct wv_changes *changes;
	bool after_outage = false;
	enum store_kind kind;
	uint64_t revision;
	GString *text;
	bool known = true;
	bool list;

	if (!dialect->parse_read(
		message_target(message), &kind, &list, &revision)) {
		g_ptr_array_free(texts, TRUE);
		server_answer_text(conn, 404, "unknown path\n");
		return;
	}
	changes = sync->followers[kind].changes;
	if (list && sync->followers[kind].phase == PHASE_FOLLOW)
		wv_changes_all(changes, texts);
	else
		known = !list &&
		    wv_changes_after(changes, revision, texts, &after_outage);
	text = dialect->encode_changes(
	    texts, wv_changes_revision(changes), after_outage);
	server_answer(conn, known ? 200 : 410, NULL,
	    (struct wv_string){text->str, text->len});
	g_string_free(text, TRUE);
	g_ptr_array_free(texts, TRUE);
}

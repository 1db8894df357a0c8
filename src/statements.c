/**
 * @file
 * What incarnations of searchers have said of themselves in their answers.
 */
#include "src/private.h"
#include "src/statements.h"

/** Time after which an incarnation that has left is forgotten, ms. */
#define RETENTION 3600000.0

struct statements {
	GHashTable *table; /* owned struct statement by owned id */
};

struct statements *
statements_create(void)
{
	struct statements *statements = g_new0(struct statements, 1);

	statements->table = g_hash_table_new_full(wv_string_key_hash,
	    wv_string_key_equal, wv_string_key_destroy, g_free);
	return statements;
}

void
statements_destroy(struct statements *statements)
{
	g_hash_table_unref(statements->table);
	g_free(statements);
}

const struct statement *
statements_find(
    const struct statements *statements, struct wv_string id, uint64_t started)
{
	const struct statement *statement =
	    g_hash_table_lookup(statements->table, &id);

	return statement != NULL && statement->started == started ? statement
								  : NULL;
}

static gboolean
is_outdated(gpointer key, gpointer value, gpointer data)
{
	const struct statement *statement = value;
	wv_msec now = *(const wv_msec *)data;

	(void)key;
	return now - statement->said_at > RETENTION &&
	    now > statement->rests_until;
}

struct statement *
statements_add(struct statements *statements, wv_msec now, struct wv_string id,
    uint64_t started)
{
	struct statement *statement;
	struct wv_string *key;

	g_hash_table_foreach_remove(statements->table, is_outdated, &now);
	statement = g_hash_table_lookup(statements->table, &id);
	if (statement == NULL) {
		statement = g_new(struct statement, 1);
		*statement = (struct statement){
		    .started = started, .rests_until = -WV_MSEC_NEVER};
		key = g_new(struct wv_string, 1);
		*key = wv_string_copy(id);
		g_hash_table_insert(statements->table, key, statement);
	}
	if (statement->started != started)
		*statement = (struct statement){
		    .started = started, .rests_until = -WV_MSEC_NEVER};
	statement->said_at = now;
	return statement;
}

/**
 * @file
 * Fuzz target: one entry among readable ones in what the platform's store
 * sends: lists and changes of each kind. Whatever the entry is, as long as its
 * quotes and brackets are closed, the answer must be accepted and the entries
 * before and after it must be found unchanged. Every object that is found must
 * reach other VMs unchanged.
 */
#include <string.h>

#include "entry/platform_adapter.h"
#include "fuzz/fuzz.h"

/** Revision of the composed answers. */
#define REVISION 9

/* Readable entries of each kind; they differ in their names only. */
static const char *const specs[STORE_KIND_COUNT] = {
    [STORE_ROUTES] =
	"{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
	"\"pathPrefix\":\"/a/\",\"routeType\":\"idempotent\",\"timeoutMs\":900,"
	"\"targetLatencyMs\":80,\"priority\":1,\"maxAttempts\":3,"
	"\"fanoutServices\":[\"s\"],\"topK\":5,\"minShardRatio\":0.75}],"
	"\"services\":[{\"name\":\"s\",\"maxConnections\":26}],"
	"\"limits\":{\"maxHeaderBytes\":100,\"maxBodyBytes\":200,"
	"\"headerTimeoutMs\":300,\"idleTimeoutMs\":400}}",
    [STORE_SEARCHERS] =
	"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	"\"version\":\"v1\",\"slots\":2,\"state\":\"ready\",\"coldLeftMs\":0,"
	"\"sequence\":4,\"born\":1700000000000}",
    [STORE_VMS] = "{\"peers\":\"10.0.0.1:80\",\"zone\":\"z\",\"capacity\":1}",
    [STORE_EVACUATIONS] = "{}",
};

/* Objects that were found in an answer, encoded as changes. */
struct found {
	enum store_kind kind;
	GPtrArray *changes; /* owned char * */
	unsigned readable;
};

static bool
is_readable(enum store_kind kind, const struct store_object *object)
{
	const struct platform_adapter *adapter = platform_get_adapter();
	struct wv_searcher_entry searcher;
	struct wv_status status = {0};
	struct vm_entry vm = {0};
	struct wv_routes *routes;

	if (kind == STORE_SEARCHERS)
		return adapter->decode_searcher(object, &searcher, &status);
	if (kind == STORE_VMS)
		return adapter->decode_vm(object, &vm);
	/* Only the name counts. */
	if (kind == STORE_EVACUATIONS)
		return true;
	routes = adapter->decode_routes(object, &status);
	wv_routes_unref(routes);
	return routes != NULL;
}

static void
add_found(void *data, const struct store_object *object)
{
	struct found *found = data;

	g_assert_cmpuint(object->name.length, >, 0);
	found->readable += is_readable(found->kind, object);
	g_ptr_array_add(
	    found->changes, platform_get_adapter()->encode_change(object));
}

static void
add_entry(GString *text, const char *name, const char *spec, bool event)
{
	g_string_append_printf(text,
	    "%s{\"meta\":{\"name\":\"%s\"},\"spec\":%s}%s",
	    event ? "{\"object\":" : "", name, spec, event ? "}" : "");
}

/*
 * Composes the entries of an answer: the input between two readable ones. In
 * changes it is the object of an event.
 */
static GString *
compose_entries(enum store_kind kind, struct wv_string input, bool events)
{
	GString *text = g_string_new("[");

	add_entry(text, "first", specs[kind], events);
	g_string_append(text, events ? ",{\"object\":" : ",");
	g_string_append_len(text, input.data, (gssize)input.length);
	g_string_append(text, events ? "}," : ",");
	add_entry(text, "last", specs[kind], events);
	return g_string_append_c(text, ']');
}

/* Decodes an answer; returns whether it is accepted. */
static bool
decode(const GString *body, struct store_page *page, struct found *found)
{
	struct wv_string text = {body->str, body->len};
	struct wv_status status = {0};
	bool accepted;

	found->readable = 0;
	found->changes = g_ptr_array_new_with_free_func(g_free);
	accepted = platform_get_adapter()->decode(
	    text, page, add_found, found, &status);
	return accepted;
}

/* Checks that the objects are the same after a VM has passed them on. */
static void
check_passed_on(const struct found *found)
{
	GString *body = platform_get_adapter()->encode_changes(
	    found->changes, REVISION, false);
	struct found again = {.kind = found->kind};
	struct store_page page = {0};

	if (!decode(body, &page, &again) ||
	    again.changes->len != found->changes->len)
		g_error("not passed on: %s", body->str);
	g_assert_cmpuint(page.unnamed, ==, 0);
	g_assert_cmpuint(again.readable, ==, found->readable);
	for (guint i = 0; i < found->changes->len; i++)
		g_assert_cmpstr(
		    again.changes->pdata[i], ==, found->changes->pdata[i]);
	g_free(page.last_name);
	g_ptr_array_unref(again.changes);
	g_string_free(body, TRUE);
}

/* Checks that a change is that of a readable entry with a name. */
static void
check_change(enum store_kind kind, const char *change, const char *name)
{
	GString *body = g_string_new("{\"items\":[");
	struct found alone = {.kind = kind};
	struct store_page page = {0};

	add_entry(body, name, specs[kind], false);
	g_string_append(body, "],\"atRev\":1}");
	g_assert_true(decode(body, &page, &alone));
	g_assert_cmpuint(alone.readable, ==, 1);
	g_assert_cmpstr(change, ==, alone.changes->pdata[0]);
	g_free(page.last_name);
	g_ptr_array_unref(alone.changes);
	g_string_free(body, TRUE);
}

static void
check_answer(
    enum store_kind kind, const GString *entries, bool events, bool closed)
{
	GString *body = g_string_new(events ? "{\"events\":" : "{\"items\":");
	struct found found = {.kind = kind};
	struct store_page page = {0};
	bool accepted;

	g_string_append_len(body, entries->str, (gssize)entries->len);
	g_string_append(body, ",\"hasMore\":true,\"atRev\":9}");
	accepted = decode(body, &page, &found);
	if (closed) {
		if (!accepted || found.changes->len < 2)
			g_error("an entry hides others: %s", body->str);
		g_assert_cmpuint(page.revision, ==, REVISION);
		g_assert_true(page.more);
		g_assert_cmpstr(page.last_name, ==, "last");
		check_change(kind, found.changes->pdata[0], "first");
		check_change(
		    kind, found.changes->pdata[found.changes->len - 1], "last");
	}
	if (accepted)
		check_passed_on(&found);
	g_free(page.last_name);
	g_ptr_array_unref(found.changes);
	g_string_free(body, TRUE);
}

/*
 * Returns the index after the string, or the object or array without regard to
 * the kinds of its brackets, that starts at index i; 0 if it does not end.
 */
static size_t
find_end(struct wv_string text, size_t i)
{
	size_t depth = 0;
	bool quoted = false;

	for (; i < text.length; i++) {
		char c = text.data[i];

		if (quoted && c == '\\')
			i++;
		else if (c == '"')
			quoted = !quoted;
		else if (!quoted && (c == '{' || c == '['))
			depth++;
		else if (!quoted && (c == '}' || c == ']') && depth-- == 0)
			return 0;
		if (depth == 0 && !quoted)
			return i + 1;
	}
	return 0;
}

/*
 * Returns whether a text can't end what it is written into: elements separated
 * by commas, each a string, an object or an array, or anything else in which
 * the quotes and brackets are closed.
 */
static bool
is_closed(struct wv_string text)
{
	bool empty = true, ended = false;

	for (size_t i = 0; i < text.length;) {
		char c = text.data[i];

		if (g_ascii_isspace(c)) {
			i++;
			continue;
		}
		if (c == ',' ? empty : ended)
			return false;
		ended = c != ',' && empty && strchr("\"{[", c) != NULL;
		empty = c == ',';
		i = find_end(text, i);
		if (i == 0)
			return false;
	}
	return !empty;
}

static bool
run(struct wv_string input)
{
	bool closed = is_closed(input);

	for (int i = 0; i < 2 * STORE_KIND_COUNT; i++) {
		enum store_kind kind = (enum store_kind)(i / 2);
		bool events = i % 2 == 1;
		GString *entries = compose_entries(kind, input, events);

		check_answer(kind, entries, events, closed);
		g_string_free(entries, TRUE);
	}
	return closed;
}

/* An object with a name and a content. */
#define OBJECT(name, spec) \
	"{\"meta\":{\"name\":\"" name "\"},\"spec\":" spec "}"

/* Contents of each kind. */
#define SEARCHER                                                         \
	"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\"," \
	"\"version\":\"v1\",\"slots\":2,\"state\":\"draining\","         \
	"\"coldLeftMs\":0,"                                              \
	"\"sequence\":4}"
#define VM "{\"peers\":\"10.0.0.2:80\",\"zone\":\"z\",\"capacity\":0.25}"
#define ROUTES "{\"version\":7,\"routes\":[],\"services\":[],\"limits\":{}}"

/* Brackets that nest, 32 and 64 deep. */
#define OPEN "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[["
#define CLOSE "]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]"
#define DEEP OPEN OPEN CLOSE CLOSE

static const char *const seeds[] = {OBJECT("i-1", SEARCHER), OBJECT("vm-1", VM),
    OBJECT("main", ROUTES),
    /* Names that can't be read, and entries that are no objects. */
    OBJECT("", "{}"), OBJECT("\\ud83d", "{}"), OBJECT("\\ud830d", "{}"),
    OBJECT("\xff", "{}"), "{\"meta\":{\"name\":7}}", "{\"meta\":null}", "{}",
    "[]", "null", "7", "\"text\"", "broken", "null\"]\"", "null[1,2]",
    /* Contents that can't be read. */
    OBJECT("i-2", "{\"zone\":\"\\ud83d\"}"),
    OBJECT("i-2", "{\"zone\":\"\xff\"}"), OBJECT("i-2", "{\"slots\":1e999}"),
    OBJECT("i-2", "{\"a\":[1,{}],\"a\":{\"]\":\"}\"}}"),
    OBJECT("i-2", "{\"a\":" DEEP "}"), OBJECT("i-2", DEEP DEEP),
    /* Cut in the middle, and a deletion. */
    "{\"meta\":{\"name\":\"i-2\"},\"spec\":{\"zone\":\"z",
    "{\"meta\":{\"name\":\"i-2\"}},\"deleted\":true", NULL};

const struct fuzz_target fuzz_store = {"store", run, seeds};

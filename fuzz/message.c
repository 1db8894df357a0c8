/**
 * @file
 * Fuzz target of HTTP requests: fed whole or byte by byte, the parser comes
 * to the same result, and what it accepts keeps to the stated form.
 */
#include <string.h>

#include "entry/message.h"
#include "fuzz/fuzz.h"

/** Bounds of the requests. */
#define HEADER_MOST 4096
#define BODY_MOST 2048

static enum parse_state
feed(struct message_parser *parser, struct wv_string input, size_t step)
{
	enum parse_state state = PARSE_MORE;
	size_t at = 0;

	message_parser_init(parser, HTTP_REQUEST, HEADER_MOST, BODY_MOST);
	while (state == PARSE_MORE && at < input.length) {
		size_t n = MIN(step, input.length - at);
		size_t used = 0;

		state = message_parser_feed(parser, input.data + at, n, &used);
		at += used;
	}
	return state;
}

static void
check_form(const struct message *message)
{
	g_assert_cmpuint(message->body->len, <=, BODY_MOST);
	g_assert_cmpuint(message_find(message, "content-length", NULL), <=, 1);
	for (guint i = 0; i < message->fields->len; i++) {
		struct wv_string name = message_name(message, i);
		struct wv_string value = message_value(message, i);

		g_assert_null(memchr(name.data, ':', name.length));
		g_assert_null(memchr(name.data, ' ', name.length));
		g_assert_null(memchr(value.data, '\r', value.length));
		g_assert_null(memchr(value.data, '\n', value.length));
	}
}

static bool
run(struct wv_string input)
{
	struct message_parser whole;
	struct message_parser bytes;
	enum parse_state state = feed(&whole, input, MAX(input.length, 1));
	enum parse_state other = feed(&bytes, input, 1);

	g_assert_true((state == PARSE_COMPLETE) == (other == PARSE_COMPLETE));
	if (state == PARSE_COMPLETE) {
		check_form(whole.message);
		g_assert_true(
		    g_string_equal(whole.message->text, bytes.message->text));
		g_assert_true(
		    g_string_equal(whole.message->body, bytes.message->body));
	}
	message_parser_clear(&whole);
	message_parser_clear(&bytes);
	return state == PARSE_COMPLETE;
}

static const char *const seeds[] = {
    "POST /a/b?c=1 HTTP/1.1\r\nHost: h\r\nX-Two: a\r\nContent-Length: 5\r\n"
    "\r\nhello",
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3\r\nabc\r\n0\r\n\r\n",
    "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", NULL};

const struct fuzz_target fuzz_message = {"message", run, seeds};

/**
 * @file
 * Fuzz target: HTTP requests. The parser must give the same result for an input
 * in one piece and byte by byte, and accept only well-formed messages.
 */
#include <string.h>

#include "entry/message.h"
#include "fuzz/fuzz.h"

/* Limits of the header and the body of a request, bytes. */
#define MAX_HEADER_SIZE 4096
#define MAX_BODY_SIZE 2048

/* Parses the input in chunks of the given size. */
static enum parse_state
parse_in_chunks(
    struct message_parser *parser, struct wv_string input, size_t chunk_size)
{
	enum parse_state state = PARSE_INCOMPLETE;
	size_t offset = 0;

	message_parser_init(
	    parser, HTTP_REQUEST, MAX_HEADER_SIZE, MAX_BODY_SIZE);
	while (state == PARSE_INCOMPLETE && offset < input.length) {
		size_t n = MIN(chunk_size, input.length - offset);
		size_t used = 0;

		state =
		    message_parser_feed(parser, input.data + offset, n, &used);
		offset += used;
	}
	return state;
}

static void
check_well_formed(const struct message *message)
{
	g_assert_cmpuint(message->body->len, <=, MAX_BODY_SIZE);
	g_assert_cmpuint(
	    message_find_field(message, "content-length", NULL), <=, 1);
	for (guint i = 0; i < message->fields->len; i++) {
		struct wv_string name = message_field_name(message, i);
		struct wv_string value = message_field_value(message, i);

		g_assert_null(memchr(name.data, ':', name.length));
		g_assert_null(memchr(name.data, ' ', name.length));
		g_assert_null(memchr(value.data, '\r', value.length));
		g_assert_null(memchr(value.data, '\n', value.length));
	}
}

static bool
run(struct wv_string input)
{
	struct message_parser whole_parser;
	struct message_parser byte_parser;
	enum parse_state state =
	    parse_in_chunks(&whole_parser, input, MAX(input.length, 1));
	enum parse_state byte_state = parse_in_chunks(&byte_parser, input, 1);

	g_assert_true(
	    (state == PARSE_COMPLETE) == (byte_state == PARSE_COMPLETE));
	if (state == PARSE_COMPLETE) {
		check_well_formed(whole_parser.message);
		g_assert_true(g_string_equal(
		    whole_parser.message->text, byte_parser.message->text));
		g_assert_true(g_string_equal(
		    whole_parser.message->body, byte_parser.message->body));
	}
	message_parser_clear(&whole_parser);
	message_parser_clear(&byte_parser);
	return state == PARSE_COMPLETE;
}

static const char *const seeds[] = {
    "POST /a/b?c=1 HTTP/1.1\r\nHost: h\r\nX-Two: a\r\nContent-Length: 5\r\n"
    "\r\nhello",
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3\r\nabc\r\n0\r\n\r\n",
    "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", NULL};

const struct fuzz_target fuzz_message = {"message", run, seeds};

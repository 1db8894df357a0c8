/**
 * @file
 * HTTP/1.1 messages.
 */
#include <string.h>

#include "entry/message.h"

/** Initial sizes of a message's text and body, bytes. */
#define TEXT_SIZE 512
#define BODY_SIZE 256

/** Hop-by-hop fields, in lower case. */
static const char *const hop_by_hop_fields[] = {"connection", "keep-alive",
    "proxy-connection", "transfer-encoding", "content-length", "te", "trailer",
    "upgrade", "proxy-authenticate", "proxy-authorization", "expect"};

static struct message *
message_create(void)
{
	struct message *message = g_new0(struct message, 1);

	message->text = g_string_sized_new(TEXT_SIZE);
	message->fields =
	    g_array_sized_new(FALSE, FALSE, sizeof(struct message_field), 16);
	message->body = g_string_sized_new(BODY_SIZE);
	return message;
}

void
message_destroy(struct message *message)
{
	if (message == NULL)
		return;
	g_string_free(message->text, TRUE);
	g_array_free(message->fields, TRUE);
	g_string_free(message->body, TRUE);
	g_free(message);
}

struct wv_string
message_target(const struct message *message)
{
	struct wv_string target = {message->text->str, message->target_length};

	return target;
}

static const struct message_field *
field_at(const struct message *message, guint i)
{
	return &g_array_index(message->fields, struct message_field, i);
}

struct wv_string
message_field_name(const struct message *message, guint i)
{
	const struct message_field *field = field_at(message, i);
	struct wv_string name = {
	    message->text->str + field->name, field->name_length};

	return name;
}

struct wv_string
message_field_value(const struct message *message, guint i)
{
	const struct message_field *field = field_at(message, i);
	struct wv_string value = {
	    message->text->str + field->value, field->value_length};

	return value;
}

bool
message_name_equals(struct wv_string name, const char *text)
{
	return strlen(text) == name.length &&
	    g_ascii_strncasecmp(name.data, text, name.length) == 0;
}

unsigned
message_find_field(
    const struct message *message, const char *name, struct wv_string *value)
{
	unsigned found = 0;

	for (guint i = 0; i < message->fields->len; i++) {
		if (!message_name_equals(message_field_name(message, i), name))
			continue;
		if (found++ == 0 && value != NULL)
			*value = message_field_value(message, i);
	}
	return found;
}

/* Returns whether a comma-separated list contains a word, ignoring case. */
static bool
list_contains(struct wv_string list, struct wv_string word)
{
	size_t at = 0;

	while (at < list.length) {
		size_t end = at;

		while (end < list.length && list.data[end] != ',')
			end++;
		while (at < end && g_ascii_isspace(list.data[at]))
			at++;
		if (end - at >= word.length &&
		    g_ascii_strncasecmp(
			list.data + at, word.data, word.length) == 0) {
			size_t rest = at + word.length;

			while (rest < end && g_ascii_isspace(list.data[rest]))
				rest++;
			if (rest == end)
				return true;
		}
		at = end + 1;
	}
	return false;
}

bool
message_is_hop_by_hop_field(const struct message *message, guint i)
{
	struct wv_string name = message_field_name(message, i);

	for (size_t k = 0; k < G_N_ELEMENTS(hop_by_hop_fields); k++) {
		if (message_name_equals(name, hop_by_hop_fields[k]))
			return true;
	}
	for (guint k = 0; k < message->fields->len; k++) {
		if (message_name_equals(
			message_field_name(message, k), "connection") &&
		    list_contains(message_field_value(message, k), name))
			return true;
	}
	return false;
}

static struct message *
message_of(http_parser *parser)
{
	return ((struct message_parser *)parser->data)->message;
}

static int
on_url(http_parser *parser, const char *at, size_t length)
{
	struct message *message = message_of(parser);

	g_string_append_len(message->text, at, (gssize)length);
	message->target_length = (guint)message->text->len;
	return 0;
}

static int
on_field_name(http_parser *parser, const char *at, size_t length)
{
	struct message_parser *self = parser->data;
	struct message *message = self->message;
	struct message_field *field;

	if (self->headers_done)
		return 0; /* a trailer field */
	if (message->fields->len == 0 || self->last_was_value) {
		struct message_field new_field = {
		    (guint)message->text->len, 0, 0, 0};

		g_array_append_val(message->fields, new_field);
		self->last_was_value = false;
	}
	field = &g_array_index(
	    message->fields, struct message_field, message->fields->len - 1);
	g_string_append_len(message->text, at, (gssize)length);
	field->name_length += (guint)length;
	return 0;
}

static int
on_field_value(http_parser *parser, const char *at, size_t length)
{
	struct message_parser *self = parser->data;
	struct message *message = self->message;
	struct message_field *field;

	if (self->headers_done)
		return 0; /* a trailer field */
	field = &g_array_index(
	    message->fields, struct message_field, message->fields->len - 1);
	if (!self->last_was_value)
		field->value = (guint)message->text->len;
	self->last_was_value = true;
	g_string_append_len(message->text, at, (gssize)length);
	field->value_length += (guint)length;
	return 0;
}

static bool
is_token(struct wv_string name)
{
	for (size_t i = 0; i < name.length; i++) {
		if (!g_ascii_isalnum(name.data[i]) &&
		    strchr("!#$%&'*+-.^_`|~", name.data[i]) == NULL)
			return false;
	}
	return name.length > 0;
}

static bool
is_valid_value(struct wv_string value)
{
	for (size_t i = 0; i < value.length; i++) {
		unsigned char c = (unsigned char)value.data[i];

		if ((c < 0x20 && c != '\t') || c == 0x7f)
			return false;
	}
	return true;
}

static void
trim_values(struct message *message)
{
	for (guint i = 0; i < message->fields->len; i++) {
		struct message_field *field =
		    &g_array_index(message->fields, struct message_field, i);
		const char *text = message->text->str;

		while (field->value_length > 0 &&
		    strchr(" \t",
			text[field->value + field->value_length - 1]) != NULL)
			field->value_length--;
	}
}

/* Returns whether all fields are valid and no length field is repeated. */
static bool
are_fields_valid(const struct message *message)
{
	for (guint i = 0; i < message->fields->len; i++) {
		if (!is_token(message_field_name(message, i)) ||
		    !is_valid_value(message_field_value(message, i)))
			return false;
	}
	return message_find_field(message, "content-length", NULL) <= 1 &&
	    message_find_field(message, "transfer-encoding", NULL) <= 1;
}

/* Returns whether the end of the connection ends an answer's body. */
static bool
has_no_length(const http_parser *parser)
{
	return parser->status_code >= 200 && parser->status_code != 204 &&
	    parser->status_code != 304 &&
	    (parser->flags & (F_CHUNKED | F_CONTENTLENGTH)) == 0;
}

static int
on_header_end(http_parser *parser)
{
	struct message_parser *self = parser->data;
	struct message *message = self->message;

	trim_values(message);
	if (!are_fields_valid(message)) {
		self->fault = MESSAGE_MALFORMED;
		return -1;
	}
	self->headers_done = true;
	message->method = parser->method;
	message->status = parser->status_code;
	message->keep_alive = http_should_keep_alive(parser) != 0;
	message->until_close = parser->type == HTTP_RESPONSE &&
	    !self->no_body && has_no_length(parser);
	parser->upgrade = 0;
	if ((parser->flags & F_CONTENTLENGTH) != 0 &&
	    parser->content_length > self->body_limit) {
		self->fault = MESSAGE_BODY_TOO_LARGE;
		return -1;
	}
	return self->no_body ? 1 : 0;
}

static int
on_body(http_parser *parser, const char *at, size_t length)
{
	struct message_parser *self = parser->data;

	if (self->message->body->len + length > self->body_limit) {
		self->fault = MESSAGE_BODY_TOO_LARGE;
		return -1;
	}
	g_string_append_len(self->message->body, at, (gssize)length);
	return 0;
}

static int
on_complete(http_parser *parser)
{
	struct message_parser *self = parser->data;

	self->complete = true;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings callbacks = {.on_url = on_url,
    .on_header_field = on_field_name,
    .on_header_value = on_field_value,
    .on_headers_complete = on_header_end,
    .on_body = on_body,
    .on_message_complete = on_complete};

void
message_parser_init(struct message_parser *parser, enum http_parser_type type,
    size_t header_limit, size_t body_limit)
{
	memset(parser, 0, sizeof(*parser));
	parser->header_limit = header_limit;
	parser->body_limit = body_limit;
	http_parser_init(&parser->parser, type);
	parser->parser.data = parser;
}

void
message_parser_clear(struct message_parser *parser)
{
	message_destroy(parser->message);
	parser->message = NULL;
}

void
message_parser_reset(struct message_parser *parser, bool no_body)
{
	enum http_parser_type type = parser->parser.type;
	size_t header_limit = parser->header_limit;
	size_t body_limit = parser->body_limit;

	message_parser_clear(parser);
	message_parser_init(parser, type, header_limit, body_limit);
	parser->no_body = no_body;
}

bool
message_parser_has_started(const struct message_parser *parser)
{
	return parser->header_bytes > 0;
}

/* Returns whether the status of an answer is one, from its status line. */
static bool
is_valid_status(const char line[MESSAGE_STATUS_BYTES])
{
	static const char version[] = "HTTP/1.";
	const char *code = line + sizeof(version) + 1;

	return memcmp(line, version, sizeof(version) - 1) == 0 &&
	    g_ascii_isdigit(code[-2]) && code[-1] == ' ' && code[0] >= '1' &&
	    code[0] <= '5' && g_ascii_isdigit(code[1]) &&
	    g_ascii_isdigit(code[2]) && (code[3] == ' ' || code[3] == '\r');
}

/*
 * Checks a byte of the status line. http_parser accepts any number of digits as
 * a status; a caller must not get such an answer.
 */
static bool
check_status_byte(struct message_parser *parser, size_t at, char c)
{
	if (at < MESSAGE_STATUS_BYTES)
		parser->status_line[at] = c;
	if (at + 1 < MESSAGE_STATUS_BYTES)
		return c != '\n';
	return at >= MESSAGE_STATUS_BYTES ||
	    is_valid_status(parser->status_line);
}

/*
 * Checks the status line and the line ends of header bytes. Returns the number
 * of bytes up to the end of the header, or of all if it ends later; -1 if they
 * are rejected.
 */
static gssize
check_header(struct message_parser *parser, const char *data, size_t length)
{
	for (size_t i = 0; i < length; i++) {
		char c = data[i];

		if (parser->parser.type == HTTP_RESPONSE &&
		    !check_status_byte(parser, parser->header_bytes + i, c))
			return -1;
		if (c == '\n') {
			if (parser->last_byte != '\r')
				return -1;
			if (parser->line_length == 1 &&
			    parser->header_bytes + i > 2)
				return (gssize)i + 1;
			parser->line_length = 0;
		} else {
			bool folded =
			    parser->line_length == 0 && (c == ' ' || c == '\t');

			if (folded || parser->last_byte == '\r' || c == '\0')
				return -1;
			parser->line_length++;
		}
		parser->last_byte = c;
	}
	return (gssize)length;
}

static enum parse_state
reject(struct message_parser *parser, enum message_fault fault)
{
	if (parser->fault == MESSAGE_OK)
		parser->fault = fault;
	return PARSE_FAULT;
}

static enum parse_state
parse_result(struct message_parser *parser)
{
	enum http_errno error = HTTP_PARSER_ERRNO(&parser->parser);

	if (parser->fault != MESSAGE_OK)
		return PARSE_FAULT;
	if (parser->complete)
		return PARSE_COMPLETE;
	if (error == HPE_HEADER_OVERFLOW)
		return reject(parser, MESSAGE_HEADER_TOO_LARGE);
	if (error != HPE_OK)
		return reject(parser, MESSAGE_MALFORMED);
	return PARSE_INCOMPLETE;
}

enum parse_state
message_parser_feed(struct message_parser *parser, const char *data,
    size_t length, size_t *used)
{
	size_t at = 0;

	if (parser->message == NULL)
		parser->message = message_create();
	if (!parser->headers_done) {
		gssize head = check_header(parser, data, length);

		if (head < 0)
			return reject(parser, MESSAGE_MALFORMED);
		parser->header_bytes += (size_t)head;
		at = http_parser_execute(
		    &parser->parser, &callbacks, data, (size_t)head);
		*used = at;
		if (parser->header_bytes > parser->header_limit)
			return reject(parser, MESSAGE_HEADER_TOO_LARGE);
		if (parse_result(parser) != PARSE_INCOMPLETE ||
		    (size_t)head == length)
			return parse_result(parser);
	}
	*used = at +
	    http_parser_execute(
		&parser->parser, &callbacks, data + at, length - at);
	return parse_result(parser);
}

enum parse_state
message_parser_end(struct message_parser *parser)
{
	if (!parser->headers_done || parser->complete)
		return PARSE_FAULT;
	http_parser_execute(&parser->parser, &callbacks, NULL, 0);
	return parser->complete ? PARSE_COMPLETE : PARSE_FAULT;
}

struct message *
message_parser_take(struct message_parser *parser)
{
	struct message *message = parser->message;

	parser->message = NULL;
	return message;
}

void
message_append_field(
    GString *out, struct wv_string name, struct wv_string value)
{
	g_string_append_len(out, name.data, (gssize)name.length);
	g_string_append_len(out, ": ", 2);
	g_string_append_len(out, value.data, (gssize)value.length);
	g_string_append_len(out, "\r\n", 2);
}

bool
message_parse_number(struct wv_string text, uint64_t *number)
{
	*number = 0;
	if (text.length == 0 || text.length > 18)
		return false;
	for (size_t i = 0; i < text.length; i++) {
		if (!g_ascii_isdigit(text.data[i]))
			return false;
		*number = *number * 10 + (uint64_t)(text.data[i] - '0');
	}
	return true;
}

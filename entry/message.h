/**
 * @file
 * HTTP/1.1 messages and their incremental parser.
 *
 * The parser accepts only messages that every reader understands in the same
 * way: line ends are CR LF, no folded fields, at most one length, no length
 * beside chunks, field names of token characters.
 */
#ifndef WISTERIAVANE_ENTRY_MESSAGE_H
#define WISTERIAVANE_ENTRY_MESSAGE_H

#include <glib.h>
#include <http_parser.h>

#include "wisteriavane/types.h"

/** One header field; positions in the message's text. */
struct message_field {
	guint name;
	guint name_length;
	guint value;
	guint value_length;
};

/** One request or answer. */
struct message {
	GString *text; /**< owned: target, field names and values */
	GArray *fields; /**< owned: struct message_field */
	GString *body; /**< owned */
	guint target_length; /**< request: length of the target at 0 */
	unsigned method; /**< request: enum http_method */
	unsigned status; /**< answer: the status code */
	bool keep_alive; /**< the sender keeps the connection */
	bool until_close; /**< answer: no length; it ends with the connection */
};

/** Why a message is refused. */
enum message_fault {
	MESSAGE_OK,
	MESSAGE_MALFORMED,
	MESSAGE_HEADER_TOO_LARGE,
	MESSAGE_BODY_TOO_LARGE
};

/** What feeding bytes led to. */
enum parse_state {
	PARSE_MORE, /**< the message needs more bytes */
	PARSE_COMPLETE, /**< the message is complete */
	PARSE_FAULT /**< the bytes are refused */
};

/** Parser of one message at a time. */
struct message_parser {
	http_parser parser;
	struct message *message; /**< the one in progress; owned */
	size_t header_limit; /**< bytes */
	size_t body_limit; /**< bytes */
	size_t header_bytes; /**< of the message so far */
	enum message_fault fault;
	bool headers_done;
	bool complete;
	bool no_body; /**< answer to a HEAD request */
	bool value_last; /**< the last piece belonged to a field's value */
	char last_byte; /**< of the headers, to check line ends */
	unsigned line_length; /**< bytes of the current header line */
};

/** Releases a message. NULL is allowed. */
void message_destroy(struct message *message);

/** Returns the target of a request. Borrowed. */
struct wv_string message_target(const struct message *message);

/** Returns the name of field i. Borrowed. */
struct wv_string message_name(const struct message *message, guint i);

/** Returns the value of field i. Borrowed. */
struct wv_string message_value(const struct message *message, guint i);

/**
 * Finds a field by name, without regard to case.
 *
 * @param value  set to the first one's value; may be NULL
 * @return how many fields have the name
 */
unsigned message_find(
    const struct message *message, const char *name, struct wv_string *value);

/** Returns whether a name equals text, without regard to case. */
bool message_name_is(struct wv_string name, const char *text);

/**
 * Returns whether a field concerns one connection only, by its name or since
 * the Connection field names it.
 */
bool message_is_hop_field(const struct message *message, guint i);

/** Prepares a parser for requests or answers. */
void message_parser_init(struct message_parser *parser,
    enum http_parser_type type, size_t header_limit, size_t body_limit);

/** Releases what it holds. */
void message_parser_clear(struct message_parser *parser);

/** Makes it ready for the next message; no_body for answers to HEAD. */
void message_parser_next(struct message_parser *parser, bool no_body);

/** Returns whether bytes of a message have been read. */
bool message_parser_started(const struct message_parser *parser);

/**
 * Reads bytes.
 *
 * @param used  set to the number of bytes that belong to this message
 */
enum parse_state message_parser_feed(struct message_parser *parser,
    const char *data, size_t length, size_t *used);

/** The connection has ended; returns PARSE_COMPLETE if that ends an answer. */
enum parse_state message_parser_end(struct message_parser *parser);

/** Returns the complete message, which the caller owns then. */
struct message *message_parser_take(struct message_parser *parser);

/** Appends "name: value" and a line end. */
void message_append_field(
    GString *out, struct wv_string name, struct wv_string value);

/** Parses an unsigned decimal number; returns false if it is none. */
bool message_parse_number(struct wv_string text, uint64_t *number);

#endif

/**
 * @file
 * HTTP/1.1 messages and their incremental parser.
 *
 * The parser is strict, so that no two parsers can disagree about where a
 * message ends (request smuggling): lines end with CR LF, no folded fields, at
 * most one Content-Length, none together with chunked encoding, and field names
 * consist of token characters. The status of an answer has exactly three digits
 * and is between 100 and 599. Trailer fields, after a chunked body, are
 * dropped: they aren't checked, and none of them may replace a field of the
 * header.
 */
#ifndef WISTERIAVANE_ENTRY_MESSAGE_H
#define WISTERIAVANE_ENTRY_MESSAGE_H

#include <glib.h>
#include <http_parser.h>

#include "wisteriavane/types.h"

/** A header field: offsets and lengths in the message's text, bytes. */
struct message_field {
	guint name;
	guint name_length;
	guint value;
	guint value_length;
};

/** A request or an answer. */
struct message {
	GString *text; /**< owned: target, then field names and values */
	GArray *fields; /**< owned: struct message_field */
	GString *body; /**< owned */
	guint target_length; /**< request: length of the target, at offset 0 */
	unsigned method; /**< request: enum http_method */
	unsigned status; /**< answer: the status code */
	bool keep_alive; /**< the sender keeps the connection open */
	bool until_close; /**< answer: the end of the connection ends it */
};

/** Why a message is rejected. */
enum message_fault {
	MESSAGE_OK,
	MESSAGE_MALFORMED,
	MESSAGE_HEADER_TOO_LARGE,
	MESSAGE_BODY_TOO_LARGE
};

/** State of the parser after bytes were parsed. */
enum parse_state {
	PARSE_INCOMPLETE, /**< the message needs more bytes */
	PARSE_COMPLETE, /**< the message is complete */
	PARSE_FAULT /**< the bytes are rejected */
};

/** Bytes of a status line up to the one after the code: "HTTP/1.1 200 ". */
#define MESSAGE_STATUS_BYTES 13

/** Incremental parser; parses one message at a time. */
struct message_parser {
	http_parser parser;
	struct message *message; /**< owned: the message being parsed */
	size_t header_limit; /**< bytes */
	size_t body_limit; /**< bytes */
	size_t header_bytes; /**< header bytes parsed so far */
	enum message_fault fault; /**< valid after PARSE_FAULT */
	bool headers_done;
	bool complete;
	bool no_body; /**< answer to a HEAD request */
	bool last_was_value; /**< the last callback was for a field's value */
	char last_byte; /**< last header byte, to check line ends */
	unsigned line_length; /**< bytes of the current header line */
	char status_line[MESSAGE_STATUS_BYTES]; /**< answer: its begin */
};

/** Releases a message. NULL is allowed. */
void message_destroy(struct message *message);

/** Returns the target of the request line. Borrowed. */
struct wv_string message_target(const struct message *message);

/** Returns the name of field i. Borrowed. */
struct wv_string message_field_name(const struct message *message, guint i);

/** Returns the value of field i. Borrowed. */
struct wv_string message_field_value(const struct message *message, guint i);

/**
 * Finds the fields with a name, ignoring case.
 *
 * @param value  set to the value of the first one, borrowed, and left unchanged
 *               if there is none; may be NULL
 * @return the number of fields with the name
 */
unsigned message_find_field(
    const struct message *message, const char *name, struct wv_string *value);

/** Returns whether a name equals a text, ignoring case. */
bool message_name_equals(struct wv_string name, const char *text);

/**
 * Returns whether field i is hop-by-hop and must not be forwarded: by its name,
 * or because a Connection field lists it.
 */
bool message_is_hop_by_hop_field(const struct message *message, guint i);

/**
 * Initializes a parser.
 *
 * @param type          HTTP_REQUEST or HTTP_RESPONSE
 * @param header_limit  largest header, bytes
 * @param body_limit    largest body, bytes
 */
void message_parser_init(struct message_parser *parser,
    enum http_parser_type type, size_t header_limit, size_t body_limit);

/** Releases the message being parsed. */
void message_parser_clear(struct message_parser *parser);

/**
 * Resets the parser for the next message.
 *
 * @param no_body  whether it is the answer to a HEAD request
 */
void message_parser_reset(struct message_parser *parser, bool no_body);

/** Returns whether bytes of the message have been parsed. */
bool message_parser_has_started(const struct message_parser *parser);

/**
 * Parses bytes.
 *
 * @param used  set to the number of bytes that belong to this message; may be
 *              left unset by PARSE_FAULT
 */
enum parse_state message_parser_feed(struct message_parser *parser,
    const char *data, size_t length, size_t *used);

/**
 * Informs the parser that the connection has ended. Returns PARSE_COMPLETE if
 * that completes an answer without a length, else PARSE_FAULT.
 */
enum parse_state message_parser_end(struct message_parser *parser);

/** Returns the complete message and passes its ownership to the caller. */
struct message *message_parser_take(struct message_parser *parser);

/** Appends "name: value" and CR LF. */
void message_append_field(
    GString *out, struct wv_string name, struct wv_string value);

/** Parses 1 to 18 decimal digits; returns false for any other text. */
bool message_parse_number(struct wv_string text, uint64_t *number);

#endif

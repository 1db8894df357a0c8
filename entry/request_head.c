/**
 * @file
 * Heads of the requests to searchers.
 */
#include "entry/request_head.h"

/* Returns whether upstream_send() sets a field itself for each attempt. */
static bool
is_attempt_field(const struct platform_adapter *adapter, struct wv_string name)
{
	return message_name_equals(name, adapter->deadline) ||
	    message_name_equals(name, adapter->expected_searcher);
}

/*
 * Returns whether a field tells who the caller is. Searchers get the team's
 * name instead, never a key.
 */
static bool
is_identity_field(const struct platform_adapter *adapter, struct wv_string name)
{
	return message_name_equals(name, adapter->authorization) ||
	    message_name_equals(name, adapter->team);
}

/*
 * Returns whether a field of a request is passed on to searchers.
 *
 * with_teams: the routes have teams
 */
static bool
is_passed_on(const struct platform_adapter *adapter,
    const struct message *message, guint i, bool with_teams)
{
	struct wv_string name = message_field_name(message, i);

	return !message_is_hop_by_hop_field(message, i) &&
	    !is_attempt_field(adapter, name) &&
	    !(with_teams && is_identity_field(adapter, name));
}

GString *
request_head_compose(const struct platform_adapter *adapter,
    const struct message *message, bool with_teams, const struct wv_team *team)
{
	const char *method = http_method_str((enum http_method)message->method);
	GString *head = g_string_sized_new(message->text->len + 128);
	struct wv_string target = message_target(message);

	g_string_append(head, method);
	g_string_append_c(head, ' ');
	g_string_append_len(head, target.data, (gssize)target.length);
	g_string_append_len(head, " HTTP/1.1\r\n", 11);
	for (guint i = 0; i < message->fields->len; i++) {
		if (is_passed_on(adapter, message, i, with_teams))
			message_append_field(head,
			    message_field_name(message, i),
			    message_field_value(message, i));
	}
	if (team != NULL)
		message_append_field(
		    head, wv_string_borrow(adapter->team), team->name);
	if (message->body->len > 0 || message->method == HTTP_POST ||
	    message->method == HTTP_PUT)
		g_string_append_printf(head, "Content-Length: %zu\r\n",
		    (size_t)message->body->len);
	return head;
}

/**
 * @file
 * Requests to VMs and output of their answers.
 */
#include <stdio.h>

#include "ctl/ctl.h"

/* Returns the exit code for a result code. */
static enum ctl_exit
exit_code_for(enum wv_code code)
{
	switch (code) {
	case WV_OK:
		return CTL_OK;
	case WV_VERSION_CONFLICT:
		return CTL_CONFLICT;
	case WV_OUTCOME_OPEN:
	case WV_JOB_UNKNOWN:
	case WV_JOB_IN_PROGRESS:
		return CTL_UNKNOWN;
	default:
		return CTL_REFUSED;
	}
}

/*
 * Parses an answer into a node and a status. If the answer has no code, as is
 * usual for results, the HTTP status decides whether it is an error.
 */
static enum ctl_exit
parse_answer(struct wv_string body, unsigned int http_status, JsonNode **answer,
    struct wv_status *status)
{
	JsonObject *object;
	enum wv_code code;

	*answer = wv_json_parse(body, status);
	if (*answer == NULL) {
		wv_status_set(status, WV_BAD_JSON,
		    "the answer with HTTP status %u is not a JSON object",
		    http_status);
		return CTL_REFUSED;
	}
	object = json_node_get_object(*answer);
	code = (enum wv_code)wv_json_get_number(
	    object, "code", http_status == 200 ? WV_OK : WV_INTERNAL);
	wv_status_set(
	    status, code, "%s", wv_json_get_string(object, "message").data);
	return exit_code_for(code);
}

enum ctl_exit
ctl_call_quietly(const struct ctl *ctl, const char *address, const char *method,
    const char *path, JsonObject *body, JsonNode **answer,
    struct wv_status *status)
{
	struct wv_http_request request = {0};
	struct wv_string text = {NULL, 0}, reply = {NULL, 0};
	unsigned int http_status;
	enum ctl_exit result;

	*answer = NULL;
	wv_status_clear(status);
	if (body != NULL)
		text = wv_json_serialize_object(body);
	request.method = method;
	request.address =
	    wv_string_borrow(address != NULL ? address : ctl->address);
	request.path = path;
	request.body = text;
	request.token = ctl->token;
	request.timeout = ctl->timeout;
	/* A repeated job or change would conflict with the first one. */
	request.at_most_once = body != NULL;
	http_status = wv_http_client_call(&request, &reply, status);
	result = http_status == 0
	    ? CTL_NO_ANSWER
	    : parse_answer(reply, http_status, answer, status);
	wv_string_clear(&text);
	wv_string_clear(&reply);
	return result;
}

enum ctl_exit
ctl_call(const struct ctl *ctl, const char *address, const char *method,
    const char *path, JsonObject *body, JsonNode **answer)
{
	struct wv_status status;
	enum ctl_exit result =
	    ctl_call_quietly(ctl, address, method, path, body, answer, &status);

	if (result == CTL_NO_ANSWER)
		fprintf(stderr, "no answer from %s: %s\n",
		    address != NULL ? address : ctl->address, status.message);
	else if (result != CTL_OK)
		fprintf(stderr, "error %d %s: %s\n", status.code,
		    wv_code_name(status.code), status.message);
	return result;
}

enum ctl_exit
ctl_call_and_print(const struct ctl *ctl, const char *address,
    const char *method, const char *path, JsonObject *body)
{
	JsonNode *answer;
	enum ctl_exit result =
	    ctl_call(ctl, address, method, path, body, &answer);

	if (answer != NULL) {
		if (result == CTL_OK || ctl->json)
			ctl_print(ctl, answer);
		json_node_unref(answer);
	}
	return result;
}

void
ctl_print(const struct ctl *ctl, JsonNode *node)
{
	char *text = json_to_string(node, !ctl->json);

	printf("%s\n", text);
	g_free(text);
}

enum ctl_exit
ctl_usage(const char *message)
{
	fprintf(stderr, "%s\n", message);
	return CTL_USAGE;
}

char *
ctl_path(const char *prefix, const char *segment, const char *suffix)
{
	char *escaped = g_uri_escape_string(segment, NULL, FALSE);
	char *joined = g_strconcat(prefix, escaped, suffix, NULL);

	g_free(escaped);
	return joined;
}

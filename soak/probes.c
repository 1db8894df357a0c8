/**
 * @file
 * Probes of the soak: requests to each VM, whatever the addresses say, which
 * show whether it answers callers.
 */
#include "entry/client.h"
#include "entry/platform_adapter.h"
#include "soak/action.h"
#include "soak/probes.h"
#include "soak/teams.h"

/** Time between two probes of a VM, ms. */
#define PROBE_INTERVAL 200.0
/** Deadline of a probe, ms, and after how many intervals it is given up. */
#define PROBE_DEADLINE_MS 500
#define PROBE_INTERVALS 5

/* The probes of a VM. */
struct probe {
	struct soak *soak;
	struct vm *vm;
	struct client *client; /* NULL: no probe is in progress */
	pid_t pid; /* of the process to which it was sent */
	unsigned intervals; /* since it was sent */
	unsigned count; /* probes sent */
};

static void
end_probe(struct probe *probe)
{
	if (probe->client != NULL)
		client_destroy(probe->client);
	probe->client = NULL;
}

static bool
on_answer(void *data, struct client *client, struct message *answer)
{
	struct probe *probe = data;

	(void)client;
	if (probe->vm->pid == probe->pid) {
		probe->vm->answered = true;
		if (answer->status == 200)
			probe->vm->served_at = soak_now(probe->soak);
	}
	message_destroy(answer);
	end_probe(probe);
	return true;
}

static void
on_end(void *data, struct client *client, enum client_end_reason end)
{
	(void)client;
	(void)end;
	end_probe(data);
}

static void
send_probe(struct probe *probe)
{
	static const struct client_ops ops = {on_answer, on_end};
	const struct platform_adapter *adapter = platform_get_adapter();
	GString *text = g_string_new(NULL);
	char *field = standin_key_field(cluster_team_key(0));
	char tag[VM_TAG_SIZE];
	char id[64];

	vm_write_tag(probe->vm, tag);
	g_snprintf(id, sizeof(id), "%sprobe-%u", tag, ++probe->count);
	teams_mark_request(id, sizeof(id), 0);
	g_string_append_printf(text,
	    "GET /search/q?n=1 HTTP/1.1\r\nHost: maps.example\r\n"
	    "%s: %s\r\n%s: %d\r\n%s\r\n",
	    adapter->request_id, id, adapter->deadline, PROBE_DEADLINE_MS,
	    field);
	g_free(field);
	probe->pid = probe->vm->pid;
	probe->intervals = 0;
	probe->client = client_create(soak_base(probe->soak),
	    probe->vm->listeners[VM_CALLERS], &ops, probe);
	client_send(
	    probe->client, (struct wv_string){text->str, text->len}, false);
	g_string_free(text, TRUE);
}

static void
probe_next(struct action *action)
{
	struct probe *probe = action->owner;

	if (probe->pid != probe->vm->pid ||
	    ++probe->intervals >= PROBE_INTERVALS)
		end_probe(probe);
	if (probe->client == NULL && probe->vm->pid != 0)
		send_probe(probe);
	action_repeat(action, PROBE_INTERVAL);
}

void
probes_create(struct soak *soak, struct vms *vms)
{
	for (unsigned i = 0; i < vms_count(vms); i++) {
		struct probe *probe = g_new0(struct probe, 1);

		probe->soak = soak;
		probe->vm = vms_get(vms, i);
		action_schedule(soak, PROBE_INTERVAL, probe, probe_next);
	}
}

#!/bin/sh
# Installs the packages, builds, and demonstrates three entry VMs on loopback:
# searches and jobs of all ranks, a contract change that takes effect on every
# VM, and a planned stop, under load, of the VM that holds a lane. Then runs the
# soak. The last line of a successful run is "demo: ok".
set -eu
cd "$(dirname "$0")/.."

sh tools/packages.sh
sh tools/build.sh

TOKEN=demo-operator-token
dir=$(mktemp -d "${TMPDIR:-/tmp}/wisteriavane-demo.XXXXXX")
pids=""

# Ends the processes that this script started, by id, and removes the folder
# unless the demo failed.
clean_up()
{
	status=$?
	trap - EXIT
	for pid in $pids; do
		kill "$pid" 2>/dev/null || true
	done
	# A planned stop by SIGTERM takes as long as addresses live, so the
	# processes are killed.
	sleep 0.2
	for pid in $pids; do
		kill -9 "$pid" 2>/dev/null || true
	done
	if [ "$status" -eq 0 ]; then
		rm -rf "$dir"
	else
		echo "demo: failed; logs are in $dir"
	fi
	exit "$status"
}
trap clean_up EXIT
trap 'exit 1' INT TERM

fail()
{
	echo "demo: $*"
	exit 1
}

step()
{
	echo
	echo "== $*"
}

# Starts a program in the background with its output in NAME.log:
# start NAME COMMAND...
start()
{
	name=$1
	shift
	"$@" >"$dir/$name.log" 2>&1 &
	pids="$pids $!"
	eval "pid_$name=$!"
}

# Waits until a stand-in has printed the addresses of N listeners:
# wait_listening NAME N
wait_listening()
{
	for _ in $(seq 100); do
		n=$(grep -c '^listening on ' "$dir/$1.log" || true)
		[ "$n" -lt "$2" ] || return 0
		sleep 0.1
	done
	fail "$1 does not listen; see $dir/$1.log"
}

# Prints the address of the Nth listener of a stand-in: address NAME N
address()
{
	grep '^listening on ' "$dir/$1.log" | sed -n "$2s/^listening on //p"
}

ctl()
{
	build/wisteriavanectl --token "$TOKEN" "$@"
}

# Writes the definition of a back end of 4 services with 3 searchers each.
write_back_end()
{
	name=$1
	printf '{"back_end":"%s","index_version":1,"map":1,"services":[' "$name"
	for service in 1 2 3 4; do
		[ "$service" -eq 1 ] || printf ','
		printf '{"name":"%s-%s","searchers":[' "$name" "$service"
		for replica in 1 2 3; do
			[ "$replica" -eq 1 ] || printf ','
			printf '{"id":"%s-%s-%s","address":"%s","zone":"z%s",' \
			    "$name" "$service" "$replica" \
			    "$(address "$name" $(((service - 1) * 3 + replica)))" \
			    "$replica"
			printf '"generation":1,"slots":2,"connections":25,'
			printf '"connect_cost_ms":5}'
		done
		printf ']}'
	done
	printf ']}'
}

# Writes the contract: write_contract RATE, where RATE is that of background
# requests per second.
write_contract()
{
	terms='"burst":100,"concurrency":200,"deadline_ms":3000'
	ranks="\"urgent\":{\"share\":0.5,\"rate\":500,$terms,\"coverage_minimum\":0.5},"
	ranks="$ranks\"standard\":{\"share\":0.3,\"rate\":300,$terms,\"coverage_minimum\":0.5},"
	ranks="$ranks\"background\":{\"share\":0.2,\"rate\":$1,$terms,\"coverage_minimum\":0.5}"
	budgets='"hedge_budget":0.05,"retry_budget":0.05'
	printf '{"customer":"kestane","job_retention_s":86400,"back_ends":{'
	printf '"desk":{%s,"ranks":{%s}},' "$budgets" "$ranks"
	printf '"orders":{%s,"ranks":{%s}}}}' "$budgets" "$ranks"
}

# Writes the settings of a VM: write_settings NAME ZONE CALLERS OPERATORS PEERS
write_settings()
{
	cat <<END
{"vm":"$1","zone":"$2","deployment":"demo",
"callers":"127.0.0.1:$3","operators":"127.0.0.1:$4","peers":"127.0.0.1:$5",
"store":"$(address store 1)","vm_list":"$(address vmlist 1)",
"operator_token":"$TOKEN","address_lifetime_ms":2000}
END
}

# Writes a VM of the VM list: write_vm NAME ZONE CALLERS OPERATORS PEERS
write_vm()
{
	printf '{"id":"%s","zone":"%s","peer":"127.0.0.1:%s",' "$1" "$2" "$5"
	printf '"callers":"127.0.0.1:%s","state":"live"}' "$3"
}

# Waits until a VM reports three live members, the contract of the customer and
# a holder for both lanes: wait_ready OPERATORS
wait_ready()
{
	for _ in $(seq 300); do
		if ctl state "$1" >"$dir/state" 2>/dev/null; then
			live=$(grep -c '^member .* state live' "$dir/state" || true)
			held=$(grep -c '^lane .* holder vm' "$dir/state" || true)
			known=$(grep -c '^customer kestane' "$dir/state" || true)
			if [ "$live" -eq 3 ] && [ "$held" -eq 2 ] &&
			    [ "$known" -eq 1 ]; then
				return 0
			fi
		fi
		sleep 0.1
	done
	cat "$dir/state"
	fail "the VM with operators' address $1 is not ready after 30 s"
}

# Waits until a search of a back end succeeds: wait_search BACK_END
# A new holder of a lane first waits until attempts of a possible previous holder
# have ended: the lease, its margin and the maximum deadline of the contracts,
# 4.2 s here.
wait_search()
{
	for _ in $(seq 100); do
		if ctl --address "$first_callers" search --customer kestane \
		    --back-end "$1" --query "ready" --deadline-ms 2000 \
		    >"$dir/answer" 2>&1; then
			return 0
		fi
		sleep 0.2
	done
	cat "$dir/answer"
	fail "no search on $1 is answered after 20 s"
}

step "starting the stand-ins: searchers, store, VM list"
start desk build/standin-searcher --count 12 --service-ms 5
start orders build/standin-searcher --count 12 --service-ms 5 --seed 2
wait_listening desk 12
wait_listening orders 12
printf '{"contracts/kestane":%s,"backends/desk":%s,"backends/orders":%s}' \
    "$(write_contract 100)" "$(write_back_end desk)" \
    "$(write_back_end orders)" >"$dir/store.json"
start store build/standin-store --load "$dir/store.json"

# Nine free ports, three for each VM.
# shellcheck disable=SC2046
set -- $(build/standin-ports 9)
vm1="vm1 z1 $1 $2 $3"
vm2="vm2 z2 $4 $5 $6"
vm3="vm3 z3 $7 $8 $9"
callers="127.0.0.1:$1 127.0.0.1:$4 127.0.0.1:$7"
operators="127.0.0.1:$2 127.0.0.1:$5 127.0.0.1:$8"
members="--member 127.0.0.1:$2 --member 127.0.0.1:$5 --member 127.0.0.1:$8"
first_callers=127.0.0.1:$1
first_operators=127.0.0.1:$2
# shellcheck disable=SC2086
printf '{"vms":[%s,%s,%s]}' "$(write_vm $vm1)" "$(write_vm $vm2)" \
    "$(write_vm $vm3)" >"$dir/vms.json"
start vmlist build/standin-vmlist --load "$dir/vms.json"
wait_listening store 1
wait_listening vmlist 1

step "starting three entry VMs"
for vm in "$vm1" "$vm2" "$vm3"; do
	name=${vm%% *}
	# shellcheck disable=SC2086
	write_settings $vm >"$dir/$name.json"
	build/wisteriavaned --check-settings "$dir/$name.json"
	start "$name" build/wisteriavaned --settings "$dir/$name.json"
done
for vm in $operators; do
	wait_ready "$vm"
done
grep -E '^(member|lane)' "$dir/state"
wait_search desk
wait_search orders

step "searches and jobs of all ranks"
for rank in urgent standard background; do
	ctl --json --address "$first_callers" search --customer kestane \
	    --back-end desk --rank "$rank" --query "controls" \
	    --deadline-ms 2000 >"$dir/answer" || fail "a $rank search failed"
	grep -q '"full":true' "$dir/answer" || fail "the answer is not full"
	echo "$rank search: full answer," \
	    "$(grep -o '"coverage":{[^}]*}' "$dir/answer")"
	ctl --json --address "$first_callers" submit --customer kestane \
	    --back-end orders --rank "$rank" --payload "maps" \
	    --deadline-ms 3000 >"$dir/answer" || fail "a $rank job failed"
	grep -q '"state":"done"' "$dir/answer" || fail "the job is not done"
	echo "$rank job: $(grep -o '"result":"[^"]*"' "$dir/answer")"
done

step "a contract change, in force on all three VMs"
version=$(ctl --json --address "$first_operators" contract get kestane |
    grep -o '"version":[0-9]*' | head -1 | cut -d: -f2)
write_contract 200 >"$dir/contract.json"
# shellcheck disable=SC2086
ctl --address "$first_operators" $members contract put kestane \
    "$dir/contract.json" --if-version "$version" ||
    fail "the change is not in force everywhere"
if ctl --address "$first_operators" contract put kestane \
    "$dir/contract.json" --if-version "$version" 2>"$dir/conflict"; then
	fail "a change of an old version was accepted"
fi
echo "the same change again: $(tail -1 "$dir/conflict")"

step "a planned stop of the VM that holds the lane of desk, under load"
holder=$(ctl state "$first_operators" |
    sed -n 's/^lane desk.* holder \(vm[123]\) .*/\1/p')
[ -n "$holder" ] || fail "no VM holds the lane of desk"
eval "set -- \$$holder"
stopped_operators=127.0.0.1:$4
eval "stopped_pid=\$pid_$holder"
cat >"$dir/plan.json" <<'END'
{"seconds": 12, "seed": 1, "streams": [
{"kind":"search","customer":"kestane","back_end":"desk","rank":"urgent","rate":40,"deadline_ms":2000},
{"kind":"search","customer":"kestane","back_end":"desk","rank":"standard","rate":20,"deadline_ms":2000},
{"kind":"search","customer":"kestane","back_end":"desk","rank":"background","rate":10,"deadline_ms":2000},
{"kind":"job","customer":"kestane","back_end":"orders","rank":"urgent","rate":5,"deadline_ms":3000},
{"kind":"job","customer":"kestane","back_end":"orders","rank":"standard","rate":3,"deadline_ms":3000},
{"kind":"job","customer":"kestane","back_end":"orders","rank":"background","rate":2,"deadline_ms":3000}]}
END
set --
for address in $callers; do
	set -- "$@" --address "$address"
done
build/wisteriavane-load --plan "$dir/plan.json" "$@" \
    --searcher "$(address desk 1)" --searcher "$(address orders 1)" \
    --report "$dir/report.json" >"$dir/load.log" &
load_pid=$!
pids="$pids $load_pid"
sleep 4
ctl --json --address "$stopped_operators" stop >/dev/null
echo "$holder was told to stop 4 s after the start of the load"
load_status=0
wait "$load_pid" || load_status=$?
vm_status=0
wait "$stopped_pid" || vm_status=$?
echo "$holder ended with exit code $vm_status"

step "what the callers saw"
cat "$dir/load.log"
[ "$load_status" -eq 0 ] || fail "the load tool ended with $load_status"
[ "$vm_status" -eq 0 ] || fail "$holder ended with $vm_status"
for fault in cut timed_out unreachable; do
	if grep -q "\"$fault\":[1-9]" "$dir/report.json"; then
		fail "callers met: $fault"
	fi
done

step "four entry servers on the platform's stand-in, under random faults"
build/wisteriavane-soak --seeds 4 --seconds 5 ||
    fail "a promise was broken under faults"
echo
echo "demo: ok"

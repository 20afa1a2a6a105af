"""Renders docs/CAPACITY.md from the measured figures."""

from __future__ import annotations

from typing import Any, NamedTuple

DAEMONS = 810
SEARCHERS = 5500
QUERIES_PER_SECOND = 170_000
SEARCHERS_PER_QUERY = 93
CONNECTIONS_PER_SEARCHER = 35
CHANGES_PER_DAY = 480
REPLACEMENTS_PER_DAY = 1123
SECONDS_PER_DAY = 86_400
MAX_CONTROL_CORE_SHARE = 0.039
MAX_CONTROL_BYTES_PER_SECOND = 17_000
CONTROL_MEMORY_MB = 256
MAX_PROPAGATION_SECONDS = 6.0
TARGET_LATENCY_SECONDS = 0.33
FAILURE_DOMAINS = 8
WATCHERS = 2 * FAILURE_DOMAINS


class LinearFit(NamedTuple):
    """A straight line fitted to measured points."""

    intercept: float
    slope: float

    def at(self, size: float) -> float:
        """Value of the line at a number of peers."""
        return self.intercept + self.slope * size


class DaemonLoad(NamedTuple):
    """Load of one daemon at the target size: rates per second, and open connections."""

    queries: float
    shard_calls: float
    connections: float


def fit_line(rows: list[dict[str, float]], key: str) -> LinearFit:
    """Fit a straight line over the number of peers by least squares."""
    sizes = [row["peers"] for row in rows]
    values = [row[key] for row in rows]
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    squared_deviations = sum((size - mean_size) ** 2 for size in sizes)
    slope = (
        sum(
            (size - mean_size) * (value - mean_value)
            for size, value in zip(sizes, values, strict=True)
        )
        / squared_deviations
    )
    return LinearFit(mean_value - slope * mean_size, slope)


def extrapolate_to_target(rows: list[dict[str, float]], key: str) -> float:
    """Value at the target size, by a straight line through the measured sizes.

    Never below the value at the largest measured size, so that a falling line counts as no gain.
    """
    return max(fit_line(rows, key).at(DAEMONS), rows[-1][key])


def target_load() -> DaemonLoad:
    """Load of one daemon when all share the target load evenly."""
    queries = QUERIES_PER_SECOND / DAEMONS
    return DaemonLoad(
        queries,
        queries * SEARCHERS_PER_QUERY,
        SEARCHERS * CONNECTIONS_PER_SEARCHER / DAEMONS,
    )


def check_bound(value: float, bound: float) -> str:
    """Say whether a value is within its bound."""
    return "within" if value <= bound else "**beyond**"


def render_page(figures: dict[str, Any]) -> str:
    """Render the whole page."""
    return "\n".join(
        (
            PAGE_HEADER.format(commit=figures["commit"], command=figures["command"]),
            slopes_section(figures),
            entry_section(figures),
            peer_forwarding_section(figures),
            membership_section(figures),
            watcher_section(figures),
            controller_section(),
            NOT_BUILT_SECTION,
        )
    )


PAGE_HEADER = """# Capacity

This page is computed from `measurements/capacity.json` (commit {commit}, `{command}`); a test holds
it against that file. All times are processor times of one noisy machine. What was measured is in
the first table; everything below it is arithmetic on those slopes, and says so.

The target: 810 daemons over 5,500 searchers; 170,000 queries/s, each to 93 searchers; 330 ms for 99
in 100; 2 regions with 4 failure domains each; 480 configuration changes a day in force within 6 s;
for control at most 3.9 % of a core, 256 MB and 17 KB/s a daemon; 23 failures and 1,100 replacements
a day. An entry instance is the only daemon: watcher, move controller and share holder are roles that
some entry instances take.

![slopes](../measurements/capacity.png)
"""


def slopes_section(figures: dict[str, Any]) -> str:
    """Tables of the measured figures."""
    wide, narrow = figures["cost"]["wide"], figures["cost"]["narrow"]
    rows = [
        ("processor time a shard call, 93 a query", f"{wide['us_per_shard_call']:.0f} us"),
        ("processor time a query of 93 shard calls", f"{wide['us_per_query']:.0f} us"),
        ("processor time a query of 10 shard calls", f"{narrow['us_per_query']:.0f} us"),
        ("processor time a merged hit, 930 hits", f"{figures['merge_us_per_hit']['930']:.3f} us"),
        ("memory of an entry with 93 upstreams", f"{wide['resident_mb']:.0f} MB"),
        ("memory an upstream", f"{figures['upstream_bytes'] / 1000:.1f} KB"),
        ("memory a kept connection", f"{figures['connection_bytes'] / 1000:.1f} KB"),
        ("memory an open query of 93 shards", f"{figures['query_bytes'] / 1000:.0f} KB"),
    ]
    lines = ["## Measured slopes", "", "| figure | measured |", "| --- | --- |"]
    lines += [f"| {name} | {value} |" for name, value in rows]
    lines += [
        "",
        "Control traffic, peers in one process on an in-memory network (paused clock, so times are"
        " exact and processor time is without sockets):",
        "",
        "| peers | frames/s | bytes/s | us/s | store calls/s (fleet) | change: s | change: bytes"
        " | replacement: s | replacement: bytes |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for row in figures["mesh"]:
        lines.append(
            f"| {row['peers']} | {row['frames_per_second']:.1f} | {row['bytes_per_second']:.0f} |"
            f" {row['us_per_second']:.0f} | {row['store_calls_per_second']:.2f} |"
            f" {row['seconds_per_change']:.2f} | {row['bytes_per_change']:.0f} |"
            f" {row['seconds_per_replacement']:.2f} | {row['bytes_per_replacement']:.0f} |"
        )
    lines += [
        "",
        "Peers on loopback with real sockets and keys, eight in each process:",
        "",
        "| peers | us/s a peer | memory a pair |",
        "| --- | --- | --- |",
    ]
    for row in figures["zmq"]:
        lines.append(
            f"| {row['peers']} | {row['us_per_second']:.0f} |"
            f" {row['bytes_per_peer_pair'] / 1000:.1f} KB |"
        )
    return "\n".join([*lines, ""])


def entry_section(figures: dict[str, Any]) -> str:
    """Section on serving in the entry role."""
    load = target_load()
    wide = figures["cost"]["wide"]
    cores = load.shard_calls * wide["us_per_shard_call"] / 1e6
    open_queries = load.queries * TARGET_LATENCY_SECONDS
    upstream_mb = SEARCHERS * figures["upstream_bytes"] / 1e6
    connection_mb = load.connections * figures["connection_bytes"] / 1e6
    query_mb = open_queries * figures["query_bytes"] / 1e6
    total = wide["resident_mb"] + upstream_mb + connection_mb + query_mb
    poll_rate = SEARCHERS
    return f"""## Entry: serving

State: a view of each upstream (ramp, health, snapshots), kept connections, open queries, the copies
of configuration and instance list. Mechanisms: one task a connection over one libcurl multi handle,
shares of limits by share table, hedges and retries within token budgets, admission by priority.

- Load of a daemon: 170,000 / 810 = {load.queries:.0f} queries/s; × 93 = {load.shard_calls:,.0f}
  shard calls/s.
- Processor time: {load.shard_calls:,.0f} × {wide['us_per_shard_call']:.0f} us =
  **{cores:.1f} cores** a daemon. One Python process has one. {check_bound(cores, 1.0)} what a process gives;
  the cost target of 50 us a shard call is {check_bound(wide['us_per_shard_call'], 50.0)}.
- Connections: 5,500 × 35 / 810 = {load.connections:.0f} a daemon, so a daemon cannot hold one to
  each of 5,500 searchers: see docs/design/reach.md.
- Memory: base {wide['resident_mb']:.0f} MB + 5,500 upstreams × {figures['upstream_bytes'] / 1000:.1f}
  KB = {upstream_mb:.0f} MB + {load.connections:.0f} connections ×
  {figures['connection_bytes'] / 1000:.1f} KB = {connection_mb:.1f} MB + {open_queries:.0f} open
  queries (rate × 330 ms) × {figures['query_bytes'] / 1000:.0f} KB = {query_mb:.0f} MB; together
  **{total:.0f} MB**. The bound of {CONTROL_MEMORY_MB} MB is for control alone; all of serving with it is
  {check_bound(total, CONTROL_MEMORY_MB)} it.
- Status polls of every upstream once a second would be {poll_rate:,} a second at each daemon: **beyond**
  everything. Today's 93 upstreams fit. What replaces it: a daemon polls only the upstreams that it
  holds connections to, and shares what it learns as facts.
"""


def peer_forwarding_section(figures: dict[str, Any]) -> str:
    """Section on forwarding to a peer to reach searchers."""
    cost = figures["forward"]
    per_call = cost["shard_call_sender_us"] + cost["shard_call_receiver_us"]
    shard_calls_us = SEARCHERS_PER_QUERY * per_call
    query_us = cost["query_sender_us"] + cost["query_receiver_us"]
    return f"""## Entry: reaching searchers through a peer

Not built; measured with a sending and a receiving process on loopback, in processor time of both.

- Shard call by shard call: {cost['shard_call_sender_us']:.0f} us at the sender +
  {cost['shard_call_receiver_us']:.0f} us at the receiver; × 93 = **{shard_calls_us:,.0f} us** a query more.
- The whole query once: {cost['query_sender_us']:.0f} us + {cost['query_receiver_us']:.0f} us =
  **{query_us:,.0f} us** a query more, {shard_calls_us / query_us:.0f} times less.
"""


def membership_section(figures: dict[str, Any]) -> str:
    """Section on membership and exchange."""
    mesh, zmq = figures["mesh"], figures["zmq"]
    idle_bytes = extrapolate_to_target(mesh, "bytes_per_second")
    change_bytes = extrapolate_to_target(mesh, "bytes_per_change")
    replacement_bytes = extrapolate_to_target(mesh, "bytes_per_replacement")
    change_rate = CHANGES_PER_DAY / SECONDS_PER_DAY
    replacement_rate = REPLACEMENTS_PER_DAY / SECONDS_PER_DAY
    rate = idle_bytes + change_bytes * change_rate + replacement_bytes * replacement_rate
    memory_us = extrapolate_to_target(mesh, "us_per_second")
    socket_us = extrapolate_to_target(zmq, "us_per_second")
    replacement_us = extrapolate_to_target(mesh, "us_per_replacement") * replacement_rate
    change_us = extrapolate_to_target(mesh, "us_per_change") * change_rate
    cores = (max(memory_us, socket_us) + replacement_us + change_us) / 1e6
    pair = zmq[-1]["bytes_per_peer_pair"]
    pair_mb = pair * DAEMONS / 1e6
    propagation_seconds = extrapolate_to_target(mesh, "seconds_per_change")
    return f"""## Entry: membership and exchange

State: a record of each member, facts, positions of peers, a socket a peer. Mechanisms: SWIM probes
with suspicion, push-pull of deltas on each probe, urgent push to three peers; copies merge by store
revision. Figures at 810 are straight lines through the measured sizes, an extrapolation of
{DAEMONS / mesh[-1]['peers']:.0f} times (bytes) and {DAEMONS / zmq[-1]['peers']:.0f} times (sockets).

- Bytes: at rest {idle_bytes:,.0f} B/s + {CHANGES_PER_DAY} changes a day × {change_bytes:,.0f} B +
  {REPLACEMENTS_PER_DAY:,} replacements a day × {replacement_bytes:,.0f} B = **{rate:,.0f} B/s** a daemon;
  {check_bound(rate, MAX_CONTROL_BYTES_PER_SECOND)} 17 KB/s.
- Processor time: {max(memory_us, socket_us):,.0f} us/s at rest (the greater of the two lines) +
  {replacement_us:,.1f} us/s for replacements + {change_us:,.1f} us/s for changes =
  **{cores * 100:.2f} % of a core**; {check_bound(cores, MAX_CONTROL_CORE_SHARE)} 3.9 %.
- Memory: {DAEMONS} peers × {pair / 1000:.1f} KB a pair (both ends) = **{pair_mb:.0f} MB**;
  {check_bound(pair_mb, CONTROL_MEMORY_MB)} 256 MB. A socket to each of 810 peers is what grows worst; what replaces
  it is closing a peer's socket after its probe, so that only recent ones are open.
- In force: {mesh[-1]['seconds_per_change']:.2f} s at {mesh[-1]['peers']} peers; the line gives
  {propagation_seconds:.1f} s at 810, and rounds of random exchange grow with the logarithm of the
  fleet; {check_bound(propagation_seconds, MAX_PROPAGATION_SECONDS)} 6 s.
"""


def watcher_section(figures: dict[str, Any]) -> str:
    """Section on the watcher role."""
    mesh = figures["mesh"]
    last = mesh[-1]
    per_domain = last["store_calls_per_second"] / 4
    return f"""## Watcher: two entry instances of each failure domain

State: nothing more. Mechanism: the first two members of a failure domain in rendezvous order hold a
waiting watch on the objects and one on the instance list; all others get changes from peers.

- Store calls: {mesh[0]['store_calls_per_second']:.2f}/s at {mesh[0]['peers']} peers,
  {last['store_calls_per_second']:.2f}/s at {last['peers']} with 4 failure domains, so
  {per_domain:.2f}/s a failure domain; × {FAILURE_DOMAINS} failure domains of 2 regions =
  **{per_domain * FAILURE_DOMAINS:.1f}/s** at rest, whatever the fleet, and
  {WATCHERS} more a change.
- Not in these figures: one write and one read a replacement for the share table (1,123 a day), and
  two writes a keyed operation: several hundred store writes a second bear about 150 keyed
  operations a second, and no more.
"""


def controller_section() -> str:
    """Section on the move controller role."""
    return """## Move controller: one entry instance, by lease

State: the fencing number and the moves' versions. Mechanism: a lease in the store with conditional
updates; every instance counts evidence and may give the verdict that a version is bad. While moves
are active: a renewal (two calls) each 3 s, a status write for each stage, and a read of the lease
by each candidate each 3 s: 16 candidates make 5 calls/s. Evidence is one fact an instance, route and
move twice a second, spread to all: at 810 daemons that is 1,620 facts/s everywhere, which is
**beyond** 17 KB/s. What replaces it: sums by failure domain, by one instance of each.
"""


NOT_BUILT_SECTION = """## What is not built, and what breaks first

Built is what today's sizes need: 8 instances a cluster, 93 upstreams. In the order in which growth
meets it:

1. Processor time of a shard call. One process carries a few thousand calls a second. Next: fewer
   wake-ups a call, then several entry processes an instance, each a member with its own share.
2. Status polls of all upstreams, and views of upstreams that a daemon does not talk to.
3. Direct connections to all upstreams: a query is forwarded once to a peer that holds connections
   to the service's searchers (docs/design/reach.md). Not built.
4. The share table: one object with a row a share serves one fleet of tens. Next: a table a service
   and region, with as many shares as instances that serve it.
5. Sockets to all peers, evidence facts of all instances: see above.
6. Two regions: one cluster a region is assumed; configuration that reaches both is not built.
7. Counts of usage (worked out from sizes of messages, not measured): an instance sends its counts to four others at most
   twice a second, some 15 bytes an organisation. At 810 daemons and 78 organisations that is 9 KB/s sent by each, and 1.9 MB/s
   received by each collector, beyond its 17 KB/s. Next: differences in place of whole windows, and a collector a failure domain.
8. Confirmations of the configuration (worked out likewise): one question and answer of some 130 bytes each in 0.7 s, 0.4 KB/s
   a daemon. Four confirmers share 1,160 questions a second at 810 daemons, and read the store five times a second together.
9. Admission and intake keep state for the instance alone, and exchange nothing.
"""

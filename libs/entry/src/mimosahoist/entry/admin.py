"""HTTP handlers for operators and the load balancer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
import tornado.web

from mimosahoist.core.tasks import now
from mimosahoist.peers.members import OBSERVED_PREFIX, MemberState

if TYPE_CHECKING:
    from mimosahoist.entry.application import EntryApplication
    from mimosahoist.query.service import Service
    from mimosahoist.upstream.upstream import Upstream


class AdminHandler(tornado.web.RequestHandler):
    """Base class of the handlers on the admin address."""

    def initialize(self, app: EntryApplication) -> None:
        """Store the application that the handler reports on."""
        self.app = app

    def finish_json(self, value: Any) -> None:
        """Finish the response with a JSON body."""
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(value))


class HealthHandler(AdminHandler):
    """Readiness check for the load balancer."""

    def get(self) -> None:
        """Respond with 200 if the instance accepts requests, else with 503."""
        ready = self.app.ready()
        self.set_status(200 if ready else 503)
        self.finish_json({"ready": ready, "draining": self.app.draining})


class MetricsHandler(AdminHandler):
    """Counters and latency quantiles."""

    def get(self) -> None:
        """Respond with the metrics in text format."""
        self.set_header("Content-Type", "text/plain")
        self.finish(self.app.metrics.render())


class TracesHandler(AdminHandler):
    """Recent trace spans."""

    def get(self) -> None:
        """Respond with the spans kept in memory."""
        self.finish_json(list(self.app.traces.exporter.spans))


class StatusHandler(AdminHandler):
    """State of this instance and its view of the cluster."""

    def get(self) -> None:
        """Respond with the applied revision, members, services and moves."""
        app = self.app
        self.finish_json(
            {
                "instance": app.identity.instance,
                "incarnation": app.identity.incarnation,
                "failure_domain": app.identity.failure_domain,
                "draining": app.draining,
                "revision": app.directory.applied_revision,
                "store_available": app.feed.available,
                "watcher": app.feed.is_watcher(),
                "share": app.shares.index,
                "members": member_reports(app),
                "services": [service_report(item) for item in app.directory.services.values()],
                "moves": move_reports(app),
            }
        )


def member_reports(app: EntryApplication) -> list[dict[str, Any]]:
    """Return the cluster members known to this instance."""
    report = []
    for name, member in sorted(app.exchange.members().items()):
        observed = app.fact_table.value(OBSERVED_PREFIX + name)
        report.append(
            {
                "name": name,
                "state": MemberState(member.state).name.lower(),
                "failure_domain": member.failure_domain,
                "revision": observed[1] if observed else 0,
            }
        )
    return report


def service_report(service: Service) -> dict[str, Any]:
    """Return the state of a service and its upstreams."""
    plan = service.plan()
    return {
        "organisation": service.organisation,
        "service": service.spec["name"],
        "snapshot": plan.snapshot if plan else None,
        "shards": plan.total if plan else 0,
        "domains_out": sorted(service.pool.domains_out),
        "concurrency": service.concurrency(),
        "upstreams": [upstream_report(item) for item in service.pool.upstreams.values()],
    }


def upstream_report(upstream: Upstream) -> dict[str, Any]:
    """Return the state of one upstream."""
    return {
        "name": upstream.name,
        "failure_domain": upstream.failure_domain,
        "version": upstream.version,
        "available": upstream.available(now()),
        "leaving": upstream.listed_leaving or upstream.reported_draining,
        "warm": upstream.ramp.warm,
        "stage": upstream.ramp.state.stage,
        "limit": upstream.limit,
        "in_flight": upstream.in_flight,
    }


def move_reports(app: EntryApplication) -> list[dict[str, Any]]:
    """Return the moves with the phase and weight that this instance applies."""
    return [
        {
            "organisation": move.spec["organisation"],
            "service": move.spec["service"],
            "source": move.spec["source"],
            "target": move.spec["target"],
            "phase": app.follower.phase(move),
            "weight": app.follower.weight(move),
            "verdict": app.follower.verdict(move),
        }
        for move in app.follower.moves.values()
    ]

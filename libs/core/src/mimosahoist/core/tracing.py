"""Request traces with one span per hop, kept in a bounded in-memory buffer."""

from __future__ import annotations

import random
from collections import deque
from typing import TYPE_CHECKING, Any, TypedDict

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor, SpanExporter, SpanExportResult
from opentelemetry.trace import set_span_in_context

if TYPE_CHECKING:
    from collections.abc import Sequence

    from opentelemetry.trace import Span

MAX_BUFFERED_SPANS = 2000


class SpanRecord(TypedDict):
    """JSON form of a finished span."""

    trace: str
    span: str
    parent: str | None
    name: str
    start_ns: int
    end_ns: int
    attributes: dict[str, Any]


class BufferExporter(SpanExporter):
    """Span exporter that keeps the most recent spans in memory."""

    def __init__(self) -> None:
        self.spans: deque[SpanRecord] = deque(maxlen=MAX_BUFFERED_SPANS)

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Append finished spans to the buffer."""
        for span in spans:
            self.spans.append(span_record(span))
        return SpanExportResult.SUCCESS


def span_record(span: ReadableSpan) -> SpanRecord:
    """Convert a finished span to its JSON form."""
    return SpanRecord(
        trace=f"{span.context.trace_id:032x}",
        span=f"{span.context.span_id:016x}",
        parent=f"{span.parent.span_id:016x}" if span.parent else None,
        name=span.name,
        start_ns=span.start_time or 0,
        end_ns=span.end_time or 0,
        attributes=dict(span.attributes or {}),
    )


class Traces:
    """Creates spans for a sampled fraction of requests.

    An unsampled request creates no span objects: a span for each of a hundred shard calls would
    cost more than the calls themselves.
    """

    def __init__(self, instance: str, sample_ratio: float, rng: random.Random) -> None:
        self.exporter = BufferExporter()
        self.provider = TracerProvider(resource=Resource({"service.instance.id": instance}))
        self.provider.add_span_processor(SimpleSpanProcessor(self.exporter))
        self.tracer = self.provider.get_tracer("mimosahoist")
        self.sample_ratio = sample_ratio
        self.rng = rng

    def begin(self, name: str, forced: bool = False, **attributes: Any) -> Span | None:
        """Start the root span of a request; return None if the request is not sampled."""
        if not forced and self.rng.random() >= self.sample_ratio:
            return None
        return self.tracer.start_span(name, attributes=attributes)

    def child(self, parent: Span | None, name: str, **attributes: Any) -> Span | None:
        """Start a child span of `parent`; return None if the request is not sampled."""
        if parent is None:
            return None
        context = set_span_in_context(parent)
        return self.tracer.start_span(name, context=context, attributes=attributes)


def finish(span: Span | None, **attributes: Any) -> None:
    """Set attributes on a span and end it; do nothing for an unsampled request."""
    if span is not None:
        span.set_attributes(attributes)
        span.end()

"""Plots of the measured capacity figures."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import matplotlib as mpl

if TYPE_CHECKING:
    from pathlib import Path

mpl.use("Agg")

MESH_PANELS = (
    ("bytes_per_second", "control bytes/s a peer, at rest"),
    ("us_per_second", "control us/s a peer, at rest (in memory)"),
    ("bytes_per_change", "bytes a peer for one change"),
    ("bytes_per_replacement", "bytes a peer for one replacement"),
    ("store_calls_per_second", "store calls/s of the fleet"),
    ("seconds_per_change", "s until a change is everywhere"),
)


def plot_slopes(figures: dict[str, Any], folder: Path) -> None:
    """Write an image with one panel for each figure."""
    from matplotlib import pyplot

    figure, panels = pyplot.subplots(3, 3, figsize=(13, 10))
    flat = panels.ravel()
    for panel, (key, title) in zip(flat, MESH_PANELS, strict=False):
        plot_by_peers(panel, figures["mesh"], key, title)
    plot_by_peers(
        flat[6], figures["zmq"], "us_per_second", "control us/s a peer (sockets and keys)"
    )
    plot_by_peers(flat[7], figures["zmq"], "bytes_per_peer_pair", "bytes of memory a pair of peers")
    merge = figures["merge_us_per_hit"]
    flat[8].semilogx([int(size) for size in merge], list(merge.values()), marker="o")
    flat[8].set_title("us a merged hit, by hits")
    figure.tight_layout()
    figure.savefig(folder / "capacity.png", dpi=70, metadata={"Software": None})
    pyplot.close(figure)


def plot_by_peers(panel: Any, rows: list[dict[str, float]], key: str, title: str) -> None:
    """Plot one key of the rows against the number of peers."""
    panel.plot([row["peers"] for row in rows], [row[key] for row in rows], marker="o")
    panel.set_title(title, fontsize=9)
    panel.set_xlabel("peers", fontsize=8)
    panel.set_ylim(bottom=0)

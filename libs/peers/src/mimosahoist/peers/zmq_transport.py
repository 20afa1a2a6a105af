"""Peer transport over ZeroMQ, with CURVE encryption and authentication."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

import zmq
import zmq.asyncio
import zmq.auth.asyncio

from mimosahoist.core.tasks import TaskSet, now
from mimosahoist.peers.transport import PeerTransport

if TYPE_CHECKING:
    from collections.abc import Callable

    from mimosahoist.core.metrics import Metrics

MAX_FRAME_BYTES = 4 * 1024 * 1024
SEND_QUEUE_FRAMES = 64
MIN_RECONNECT_MS = 100
MAX_RECONNECT_MS = 2000
# Each instance sends to a few peers a second, chosen among all. If connections to all stayed open,
# their memory would grow with the fleet.
IDLE_CONNECTION_SECONDS = 5.0
IDLE_CHECK_INTERVAL_SECONDS = 1.0


class ClusterKeys(NamedTuple):
    """CURVE key pair shared by all instances of a cluster, as Z85 text."""

    public: str
    secret: str


class ClusterKeyVerifier:
    """Accepts only clients that authenticate with the cluster's CURVE key."""

    def __init__(self, public: str, metrics: Metrics) -> None:
        self.public = public
        self.metrics = metrics

    def callback(self, domain: str, key: str | bytes) -> bool:
        """Return whether a client's public key is the cluster's; count other clients."""
        text = key.decode() if isinstance(key, bytes) else key
        if text != self.public:
            self.metrics.count("peer_strangers_rejected")
            return False
        return True


class ZmqPeerTransport(PeerTransport):
    """Receives on one ROUTER socket, and sends on one DEALER socket per peer.

    A socket that is not used for some seconds is closed, and opened again for the next frame.

    Without keys, connections are neither encrypted nor authenticated; use this only on networks
    that only instances can reach.
    """

    def __init__(self, bind: str, keys: ClusterKeys | None, metrics: Metrics) -> None:
        self.bind = bind
        self.keys = keys
        self.metrics = metrics
        self.context = zmq.asyncio.Context()
        self.receiver: zmq.asyncio.Socket | None = None
        self.senders: dict[str, zmq.Socket] = {}
        self.last_sent_at: dict[str, float] = {}
        self.sync_context: zmq.Context | None = None
        self.authenticator: zmq.auth.asyncio.AsyncioAuthenticator | None = None
        self.tasks = TaskSet()

    async def start(self, handler: Callable[[bytes], None]) -> None:
        """Bind the ROUTER socket and start receiving."""
        self.receiver = self.context.socket(zmq.ROUTER)
        self.receiver.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
        self.receiver.setsockopt(zmq.LINGER, 0)
        if self.keys is not None:
            self.require_cluster_key(self.keys)
        self.receiver.bind(f"tcp://{self.bind}")
        self.sync_context = zmq.Context.shadow(self.context.underlying)
        self.tasks.keep_running(partial(self.receive, handler), "peer receiver")
        self.tasks.keep_running(self.close_idle_connections, "close idle peer connections")

    def require_cluster_key(self, keys: ClusterKeys) -> None:
        """Require clients to authenticate with the cluster's key."""
        self.authenticator = zmq.auth.asyncio.AsyncioAuthenticator(self.context)
        self.authenticator.start()
        verifier = ClusterKeyVerifier(keys.public, self.metrics)
        self.authenticator.configure_curve_callback(credentials_provider=verifier)
        self.receiver.curve_server = True
        self.receiver.curve_secretkey = keys.secret.encode()
        self.receiver.curve_publickey = keys.public.encode()

    async def close(self) -> None:
        """Close all sockets."""
        await self.tasks.close()
        for address in list(self.senders):
            self.disconnect(address)
        if self.receiver is not None:
            self.receiver.close(0)
        if self.authenticator is not None:
            self.authenticator.stop()
        self.context.term()

    async def receive(self, handler: Callable[[bytes], None]) -> None:
        """Pass each received frame to the handler."""
        while True:
            parts = await self.receiver.recv_multipart()
            frame = parts[-1]
            self.metrics.count("peer_frames_received")
            self.metrics.count("peer_bytes_received", len(frame))
            handler(frame)

    async def close_idle_connections(self) -> None:
        """Periodically close the sockets to which nothing was sent for a while."""
        while True:
            await asyncio.sleep(IDLE_CHECK_INTERVAL_SECONDS)
            idle_since = now() - IDLE_CONNECTION_SECONDS
            for address, at in list(self.last_sent_at.items()):
                if at < idle_since:
                    self.disconnect(address)

    def send(self, address: str, frame: bytes) -> None:
        """Queue a frame for a peer; drop and count it if the queue is full."""
        self.last_sent_at[address] = now()
        sender = self.senders.get(address)
        if sender is None:
            sender = self.connect(address)
        try:
            sender.send(frame, zmq.NOBLOCK)
        except zmq.Again:
            self.metrics.count("peer_frames_dropped")
            return
        self.metrics.count("peer_frames_sent")
        self.metrics.count("peer_bytes_sent", len(frame))

    def connect(self, address: str) -> zmq.Socket:
        """Open the socket for a peer."""
        sender = self.sync_context.socket(zmq.DEALER)
        sender.setsockopt(zmq.LINGER, 0)
        sender.setsockopt(zmq.SNDHWM, SEND_QUEUE_FRAMES)
        sender.setsockopt(zmq.RECONNECT_IVL, MIN_RECONNECT_MS)
        sender.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_MS)
        if self.keys is not None:
            sender.curve_serverkey = self.keys.public.encode()
            sender.curve_publickey = self.keys.public.encode()
            sender.curve_secretkey = self.keys.secret.encode()
        sender.connect(f"tcp://{address}")
        self.senders[address] = sender
        return sender

    def disconnect(self, address: str) -> None:
        """Close the socket of a peer."""
        self.last_sent_at.pop(address, None)
        sender = self.senders.pop(address, None)
        if sender is not None:
            sender.close(0)

"""Generation of cluster keys."""

from __future__ import annotations

import zmq

from mimosahoist.peers.zmq_transport import ClusterKeys


def create_cluster_keys() -> ClusterKeys:
    """Generate a CURVE key pair, encoded as Z85 text."""
    public, secret = zmq.curve_keypair()
    return ClusterKeys(public.decode(), secret.decode())

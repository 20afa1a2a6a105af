"""Curl client that can be closed while requests are open, such as waiting watches."""

from __future__ import annotations

from tornado.curl_httpclient import CurlAsyncHTTPClient


class ClosableCurlClient(CurlAsyncHTTPClient):
    """`CurlAsyncHTTPClient` without a timer after its close.

    Tornado removes its timer and then closes the open requests, for which libcurl sets the timer
    again; it would fail once it fires.
    """

    def close(self) -> None:
        """Close the connections of all requests and remove the timer."""
        super().close()
        if self._timeout is not None:
            self.io_loop.remove_timeout(self._timeout)
            self._timeout = None

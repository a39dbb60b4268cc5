"""The Engine port over an engine's HTTP API."""

from __future__ import annotations

import json
from collections.abc import AsyncGenerator
from typing import Any

from wasabimux.adapters.http_client import HttpClient
from wasabimux.ports import EngineRefused, Headers, PrefillResult


class EngineClient:
    """Calls the engine beside an agent; a context manager.

    Args:
        host: Address of the engine.
        port: Port of the engine.
    """

    def __init__(self, host: str, port: int) -> None:
        self._http = HttpClient(host, port)

    async def __aenter__(self) -> EngineClient:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self._http.close()

    async def prefill(self, run: str, body: bytes, patient: bool) -> PrefillResult:
        """Computes the KV cache of a prompt."""
        headers = [(b"x-patient", b"1")] if patient else []
        answer = await self._call("POST", "/v1/prefill", run, body, headers)
        return PrefillResult(
            answer["source"],
            answer["handle"],
            answer["prompt_tokens"],
            answer["cached_tokens"],
        )

    async def import_kv(self, run: str, source: str, handle: str) -> None:
        """Fetches a KV cache from another engine into a slot for `run`."""
        body = json.dumps({"source": source, "handle": handle}).encode()
        await self._call("POST", "/v1/import", run, body)

    async def decode(
        self, run: str, body: bytes, chat: bool
    ) -> AsyncGenerator[bytes, None]:
        """Streams the answer for an imported prompt, as the caller gets it."""
        headers = [(b"x-run", run.encode())]
        if chat:
            headers.append((b"x-chat", b"1"))
        response = await self._http.request(
            "POST", "/v1/decode", headers, body, idempotent=False
        )
        async with response:
            if response.status != 200:
                raise EngineRefused(response.status, "decode refused")
            async for piece in response.pieces():
                yield piece

    async def cancel(self, run: str) -> None:
        """Ends a run and frees its memory. Returns once that is certain."""
        await self._call("POST", "/v1/cancel", run)

    async def runs(self) -> list[str]:
        """Lists the runs that hold memory."""
        answer = await self._call("GET", "/v1/runs", "")
        return list(answer["runs"])

    async def is_cold(self) -> bool:
        """Tells whether the engine reports that it is in cold start."""
        answer = await self._call("GET", "/v1/load", "")
        return bool(answer["cold"])

    async def _call(
        self,
        method: str,
        target: str,
        run: str,
        body: bytes = b"",
        headers: Headers | None = None,
    ) -> Any:
        sent = [(b"x-run", run.encode()), *(headers or [])]
        response = await self._http.request(method, target, sent, body)
        async with response:
            answer = json.loads(await response.body())
        if response.status != 200:
            raise EngineRefused(response.status, str(answer.get("error", "")))
        return answer

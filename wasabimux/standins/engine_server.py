"""HTTP server and client for the API of the engine stand-in."""

from __future__ import annotations

import json
from collections.abc import AsyncGenerator

from wasabimux.adapters.http_client import HttpClient
from wasabimux.adapters.http_server import HttpRequest, HttpResponse, json_response
from wasabimux.headers import CALL_ID_HEADER
from wasabimux.ports import EngineRefused, UpstreamLost
from wasabimux.standins.engine import EngineModel


async def fetch_kv_over_http(source: str, handle: str) -> int:
    """Fetches a KV cache from another engine; returns its length in tokens.

    Args:
        source: Address of the other engine, as `IP:PORT`.
        handle: KV cache handle.
    """
    host, _, port = source.rpartition(":")
    async with HttpClient(host, int(port)) as client:
        response = await client.request("GET", f"/v1/export/{handle}")
        async with response:
            body = json.loads(await response.body())
    if response.status != 200:
        raise EngineRefused(response.status, body.get("error", ""))
    return int(body["tokens"])


class EngineServer:
    """Serves the API of an engine over HTTP.

    Args:
        model: State and timing of the engine.

    Attributes:
        headers_seen: Headers of all calls, as `name: value`.
    """

    def __init__(self, model: EngineModel) -> None:
        self.model = model
        self.headers_seen: set[str] = set()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handles an HTTP request: a call, or one that reads state or sets faults."""
        if request.path == "/_standin/state":
            state = self.model.state() | {"headers": sorted(self.headers_seen)}
            return json_response(200, state)
        if request.path == "/_standin/faults":
            self._apply_faults(json.loads(await request.body()))
            return json_response(200, {})
        for name, value in request.headers:
            self.headers_seen.add(f"{name.decode()}: {value.decode('latin-1')}")
        try:
            response = await self._handle_call(request)
        except EngineRefused as refusal:
            response = json_response(refusal.status, {"error": refusal.message})
        call_id = request.header(CALL_ID_HEADER)
        if call_id is not None:
            response.headers.append((CALL_ID_HEADER, call_id))
        return response

    async def _handle_call(self, request: HttpRequest) -> HttpResponse:
        model = self.model
        body = await request.body()
        run = (request.header(b"x-run") or b"").decode()
        match request.method, request.path.strip("/").split("/"):
            case "POST", ["v1", "prefill"]:
                patient = request.header(b"x-patient") == b"1"
                result = await model.prefill(run, body, patient)
                return json_response(
                    200,
                    {
                        "source": result.source,
                        "handle": result.handle,
                        "prompt_tokens": result.prompt_tokens,
                        "cached_tokens": result.cached_tokens,
                    },
                )
            case "GET", ["v1", "export", handle]:
                return json_response(200, {"tokens": await model.export(handle)})
            case "POST", ["v1", "import"]:
                kv_source = json.loads(body)
                await model.import_kv(run, kv_source["source"], kv_source["handle"])
                return json_response(200, {})
            case "POST", ["v1", "decode"]:
                chat = request.header(b"x-chat") == b"1"
                return HttpResponse(200, body=self._decode(run, body, chat))
            case "POST", ["v1", "cancel"]:
                await model.cancel(run)
                return json_response(200, {})
            case "POST", ["v1", "orders"]:
                await model.accept_command(int(json.loads(body)["fence"]))
                return json_response(200, {})
            case "GET", ["v1", "runs"]:
                return json_response(200, {"runs": await model.runs()})
            case "GET", ["v1", "load"]:
                return json_response(200, {"cold": await model.is_cold()})
        return json_response(404, {"error": "no such call"})

    async def _decode(
        self, run: str, body: bytes, chat: bool
    ) -> AsyncGenerator[bytes, None]:
        try:
            async for chunk in self.model.decode(run, body, chat):
                yield chunk
        except EngineRefused as refusal:
            raise UpstreamLost(refusal.message, sent=True) from refusal

    def _apply_faults(self, faults: dict[str, object]) -> None:
        for name, value in faults.items():
            if name == "turn_cold":
                self.model.begin_cold_start()
            elif name == "crash":
                self.model.crash()
            elif name == "restart":
                self.model.restart()
            else:
                setattr(self.model.faults, name, value)

"""Implementation of the Engine port over an engine's HTTP API."""

from __future__ import annotations

import json
from collections.abc import AsyncGenerator
from typing import TypeVar

from pydantic import BaseModel, ConfigDict, ValidationError

from wasabimux.adapters.http_client import (
    MAX_DOCUMENT_BYTES,
    ClientResponse,
    EchoedHeader,
    HttpClient,
)
from wasabimux.headers import CALL_ID_HEADER
from wasabimux.ids import new_request_id
from wasabimux.json_documents import DocumentError, decode_document
from wasabimux.link.messages import TokenCount
from wasabimux.ports import EngineRefused, Headers, PrefillResult, UpstreamLost

STATUS_OK = 200


class _Answer(BaseModel):
    """Body of an engine's successful response."""

    model_config = ConfigDict(extra="ignore", frozen=True, strict=True)


class _PrefillAnswer(_Answer):
    source: str
    handle: str
    prompt_tokens: TokenCount
    cached_tokens: TokenCount


class _RunsAnswer(_Answer):
    runs: list[str]


class _LoadAnswer(_Answer):
    cold: bool


class _ErrorAnswer(_Answer):
    error: str = ""


_AnswerType = TypeVar("_AnswerType", bound=_Answer)


class EngineClient:
    """HTTP client of the engine that an agent controls; a context manager.

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
        """Computes the KV cache of a prompt; `patient` work may wait for other work."""
        headers = [(b"x-patient", b"1")] if patient else []
        response = await self._send("/v1/prefill", run, body, headers)
        answer = await _read_answer(response, _PrefillAnswer)
        return PrefillResult(
            answer.source, answer.handle, answer.prompt_tokens, answer.cached_tokens
        )

    async def import_kv(self, run: str, source: str, handle: str) -> None:
        """Fetches a KV cache from another engine into a decode slot for `run`."""
        body = json.dumps({"source": source, "handle": handle}).encode()
        response = await self._send("/v1/import", run, body)
        await _read_answer(response, _Answer)

    async def decode(
        self, run: str, body: bytes, chat: bool
    ) -> AsyncGenerator[bytes, None]:
        """Streams the response for an imported prompt in the client's format."""
        headers = [(b"x-chat", b"1")] if chat else []
        response = await self._send("/v1/decode", run, body, headers)
        async with response:
            if response.status != STATUS_OK:
                raise EngineRefused(
                    response.status, "engine rejected the decode request"
                )
            async for chunk in response.pieces():
                yield chunk
            if not response.is_framed:
                raise UpstreamLost("the stream may not be complete", sent=True)

    async def cancel(self, run: str) -> None:
        """Ends a run and frees its memory. Returns once the engine confirms it."""
        response = await self._ask("POST", "/v1/cancel", run)
        await _read_answer(response, _Answer)

    async def runs(self) -> list[str]:
        """Returns the IDs of the runs that hold memory."""
        response = await self._ask("GET", "/v1/runs")
        return (await _read_answer(response, _RunsAnswer)).runs

    async def is_cold(self) -> bool:
        """Returns whether the engine reports that it is in cold start."""
        response = await self._ask("GET", "/v1/load")
        return (await _read_answer(response, _LoadAnswer)).cold

    async def _send(
        self, target: str, run: str, body: bytes, headers: Headers | None = None
    ) -> ClientResponse:
        """Sends work, which must not be done twice, on a new connection."""
        return await self._request("POST", target, run, body, headers or [], False)

    async def _ask(self, method: str, target: str, run: str = "") -> ClientResponse:
        """Sends a call that may repeat; its connection may be a reused one."""
        return await self._request(method, target, run, b"", [], True)

    async def _request(
        self,
        method: str,
        target: str,
        run: str,
        body: bytes,
        headers: Headers,
        idempotent: bool,
    ) -> ClientResponse:
        call_id = EchoedHeader(CALL_ID_HEADER, new_request_id().encode())
        all_headers = [
            (b"x-run", run.encode()),
            (call_id.name, call_id.value),
            *headers,
        ]
        return await self._http.request(
            method, target, all_headers, body, idempotent, call_id
        )


async def _read_answer(
    response: ClientResponse, answer_type: type[_AnswerType]
) -> _AnswerType:
    """Returns the body of a response.

    Raises:
        EngineRefused: The engine answers with an error.
        UpstreamLost: The response ends early, or nothing can be read from it.
    """
    async with response:
        body = await response.body(max_bytes=MAX_DOCUMENT_BYTES)
    if response.status != STATUS_OK:
        raise EngineRefused(response.status, _error_text(body))
    try:
        return answer_type.model_validate(decode_document(body))
    except (DocumentError, ValidationError) as error:
        raise UpstreamLost("the response cannot be read", sent=True) from error


def _error_text(body: bytes) -> str:
    try:
        return _ErrorAnswer.model_validate(decode_document(body)).error
    except (DocumentError, ValidationError):
        return ""

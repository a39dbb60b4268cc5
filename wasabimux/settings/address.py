"""Parses and validates addresses in settings, as `IP:PORT`."""

from __future__ import annotations

import ipaddress
import re
from typing import Annotated, NamedTuple

from pydantic import AfterValidator

MAX_PORT = 65_535

#: An IP address, which may name the interface of a link-local one, and a port.
ADDRESS = re.compile(r"\[?([0-9A-Fa-f:.]+(?:%[\w.-]+)?)\]?:([0-9]{1,5})", re.ASCII)


class HostPort(NamedTuple):
    """An address.

    Attributes:
        host: IP address, without brackets.
        port: Port, 0 for any free port.
    """

    host: str
    port: int


def parse_address(text: str) -> HostPort:
    """Parses an address `IP:PORT`; an IPv6 address is in brackets.

    Raises:
        ValueError: The text is not such an address.
    """
    match = ADDRESS.fullmatch(text)
    if match is None or int(match[2]) > MAX_PORT:
        raise ValueError("an address in the form IP:PORT")
    try:
        ipaddress.ip_address(match[1])
    except ValueError:
        raise ValueError("an address in the form IP:PORT") from None
    return HostPort(match[1], int(match[2]))


def _validate_address(text: str) -> str:
    parse_address(text)
    return text


def _validate_remote_address(text: str) -> str:
    if parse_address(text).port == 0:
        raise ValueError("a port above 0")
    return text


#: Text that has been validated as an address. Port 0 means any free port.
Address = Annotated[str, AfterValidator(_validate_address)]

#: Text that has been validated as the address of another process.
RemoteAddress = Annotated[str, AfterValidator(_validate_remote_address)]

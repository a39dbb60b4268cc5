"""Parses and validates addresses in settings, as `IP:PORT`."""

from __future__ import annotations

import ipaddress
from typing import Annotated, NamedTuple

from pydantic import AfterValidator

MAX_PORT = 65_535


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
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not port.isdecimal() or int(port) > MAX_PORT:
        raise ValueError("an address in the form IP:PORT")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError("an address in the form IP:PORT") from None
    return HostPort(host, int(port))


def _validate_address(text: str) -> str:
    parse_address(text)
    return text


#: Text that has been validated as an address. Port 0 means any free port.
Address = Annotated[str, AfterValidator(_validate_address)]

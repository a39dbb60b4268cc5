"""Addresses in settings, as `IP:PORT`."""

from __future__ import annotations

import ipaddress
from typing import Annotated, NamedTuple

from pydantic import AfterValidator

PORT_MAX = 65_535


class HostPort(NamedTuple):
    """The parts of an address."""

    host: str
    port: int


def parse_address(text: str) -> HostPort:
    """Splits an address `IP:PORT`, with IPv6 addresses in brackets.

    Raises:
        ValueError: The text is not an address.
    """
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not port.isdecimal() or int(port) > PORT_MAX:
        raise ValueError("an address, as IP:PORT")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError("an address, as IP:PORT") from None
    return HostPort(host, int(port))


def _check_address(text: str) -> str:
    parse_address(text)
    return text


#: A text that has been checked to be an address. Port 0 stands for any port.
Address = Annotated[str, AfterValidator(_check_address)]

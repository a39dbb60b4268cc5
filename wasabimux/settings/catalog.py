"""Definitions of all settings that a branch of the settings tree may set."""

from __future__ import annotations

from enum import Enum
from typing import Any, NamedTuple


class Urgency(Enum):
    """Urgency of the requests of a route.

    Attributes:
        INTERACTIVE: Responses are needed at once.
        PATIENT: Requests may wait behind interactive ones, up to their deadline.
    """

    INTERACTIVE = "interactive"
    PATIENT = "patient"


class RetryPolicy(Enum):
    """Requests of a non-generation HTTP service that may be sent more than once.

    Attributes:
        NEVER: No requests.
        SAFE_METHODS: Requests with a safe HTTP method.
        ALWAYS: All requests.
    """

    NEVER = "never"
    SAFE_METHODS = "safe_methods"
    ALWAYS = "always"


class Setting(NamedTuple):
    """Definition of one setting.

    Attributes:
        name: Key of the setting in a branch.
        type: `float`, `int` or an `Enum` with string values.
        unit: Unit of a number; empty for none.
        default: Value if no branch sets one.
        minimum: Minimum of a number, None for an `Enum`.
        maximum: Maximum of a number, None for an `Enum`.
        description: One line of documentation.
    """

    name: str
    type: Any
    unit: str
    default: Any
    minimum: float | None
    maximum: float | None
    description: str

    def parse(self, value: Any) -> Any:
        """Validates a JSON value and converts it to the type of the setting.

        Args:
            value: The decoded JSON value.

        Returns:
            The value as `type`.

        Raises:
            ValueError: The value is invalid; the message says what was expected.
        """
        if issubclass(self.type, Enum):
            choices = [choice.value for choice in self.type]
            if value not in choices:
                raise ValueError(f"one of {', '.join(choices)}")
            return self.type(value)
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            raise ValueError(f"a number ({self.unit})")
        if self.type is int and value != int(value):
            raise ValueError(f"an integer ({self.unit})")
        minimum, maximum = self.minimum or 0, self.maximum or 0
        if not minimum <= value <= maximum:
            raise ValueError(f"{self.minimum} to {self.maximum} {self.unit}")
        return self.type(value)


SETTINGS = (
    Setting(
        "rate_tokens_per_s",
        float,
        "tokens/s",
        1_000.0,
        0,
        1e9,
        "Rate limit of a workspace over all instances together.",
    ),
    Setting(
        "burst_tokens",
        float,
        "tokens",
        20_000.0,
        0,
        1e10,
        "Tokens that a workspace may use at once after being idle.",
    ),
    Setting(
        "weight",
        float,
        "",
        1.0,
        0.01,
        1_000,
        "Weight of a workspace in the fair queues of full upstreams.",
    ),
    Setting(
        "deadline_s",
        float,
        "s",
        60.0,
        0.1,
        86_400,
        "Maximum time from the arrival of a request to the end of its response.",
    ),
    Setting(
        "first_token_target_s",
        float,
        "s",
        0.69,
        0.01,
        3_600,
        "Target for the time to the first token of an interactive response.",
    ),
    Setting(
        "max_output_tokens",
        int,
        "tokens",
        512,
        1,
        1_000_000,
        "Default and maximum of the output token limit of a request.",
    ),
    Setting(
        "urgency",
        Urgency,
        "",
        Urgency.INTERACTIVE,
        None,
        None,
        "Whether requests are interactive or may wait behind interactive ones.",
    ),
    Setting(
        "repeat",
        RetryPolicy,
        "",
        RetryPolicy.SAFE_METHODS,
        None,
        None,
        "Requests of a non-generation service that may be sent more than once.",
    ),
)

SETTINGS_BY_NAME = {setting.name: setting for setting in SETTINGS}

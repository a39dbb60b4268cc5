"""Every setting that a branch may hold: type, unit, default, bounds, meaning."""

from __future__ import annotations

from enum import Enum
from typing import Any, NamedTuple


class Urgency(Enum):
    """How soon the callers of a route need their answers."""

    INTERACTIVE = "interactive"
    PATIENT = "patient"


class RetryPolicy(Enum):
    """Which requests of a plain service may be sent again."""

    NEVER = "never"
    SAFE_METHODS = "safe_methods"
    ALWAYS = "always"


class Setting(NamedTuple):
    """Definition of one setting.

    Attributes:
        name: Key in a branch.
        type: `float`, `int` or an `Enum` whose values are texts.
        unit: Unit of a number, empty otherwise.
        default: Value where no branch gives one.
        minimum: Smallest value of a number.
        maximum: Largest value of a number.
        doc: One line of documentation.
    """

    name: str
    type: Any
    unit: str
    default: Any
    minimum: float | None
    maximum: float | None
    description: str

    def parse(self, value: Any) -> Any:
        """Checks a JSON value and returns it in its type.

        Args:
            value: Decoded JSON value.

        Returns:
            The typed value.

        Raises:
            ValueError: With what was expected.
        """
        if issubclass(self.type, Enum):
            choices = [choice.value for choice in self.type]
            if value not in choices:
                raise ValueError(f"one of {', '.join(choices)}")
            return self.type(value)
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            raise ValueError(f"a number ({self.unit})")
        if self.type is int and value != int(value):
            raise ValueError(f"a whole number ({self.unit})")
        lowest, highest = self.minimum or 0, self.maximum or 0
        if not lowest <= value <= highest:
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
        "Tokens a workspace may use each second over all instances.",
    ),
    Setting(
        "burst_tokens",
        float,
        "tokens",
        20_000.0,
        0,
        1e10,
        "Tokens a workspace may use at once after being idle.",
    ),
    Setting(
        "weight",
        float,
        "",
        1.0,
        0.01,
        1_000,
        "Share of a workspace relative to others when upstreams are full.",
    ),
    Setting(
        "deadline_s",
        float,
        "s",
        60.0,
        0.1,
        86_400,
        "Longest time from the arrival of a request to the end of its answer.",
    ),
    Setting(
        "first_token_target_s",
        float,
        "s",
        0.69,
        0.01,
        3_600,
        "Time within which the first token of an interactive answer is due.",
    ),
    Setting(
        "max_output_tokens",
        int,
        "tokens",
        512,
        1,
        1_000_000,
        "Output tokens of a request that names no limit, and the largest limit.",
    ),
    Setting(
        "urgency",
        Urgency,
        "",
        Urgency.INTERACTIVE,
        None,
        None,
        "Whether answers are due at once or may wait for a quiet moment.",
    ),
    Setting(
        "repeat",
        RetryPolicy,
        "",
        RetryPolicy.SAFE_METHODS,
        None,
        None,
        "Which calls of a plain service may be sent to an upstream again.",
    ),
)

SETTINGS_BY_NAME = {setting.name: setting for setting in SETTINGS}

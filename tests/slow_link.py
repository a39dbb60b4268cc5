"""A link among relays whose messages wait until a test takes them off."""

from __future__ import annotations

from wasabimux.link.messages import Message


class SlowLink:
    """A link that keeps messages until they are taken off."""

    def __init__(self) -> None:
        self.queued: list[Message] = []
        self.sent: list[Message] = []

    def send(self, stream_id: int, message: Message) -> None:
        """Queues a message."""
        self.queued.append(message)
        self.sent.append(message)

    def is_queued(self, message: Message) -> bool:
        """Returns whether a message has not left this process."""
        return any(item is message for item in self.queued)

"""Start-time fair queueing of requests by weighted shares of workspaces."""

from __future__ import annotations

#: Virtual time that an idle workspace can save up, in tokens at a weight of one.
MAX_CREDIT_TOKENS = 512.0

#: Workspaces kept in memory; above this, those without recent requests are dropped.
MAX_WORKSPACES = 4_096


class FairQueueTags:
    """Start and finish tags of start-time fair queueing with a bounded credit.

    The start tag of a request is the virtual time at which it would start if every
    workspace got its weighted share of the upstream. A workspace that used less than
    its share starts up to MAX_CREDIT_TOKENS earlier, so that a workspace with bursty
    requests still gets its share.
    """

    def __init__(self) -> None:
        self._virtual_time = 0.0
        self._finish_by_workspace: dict[str, float] = {}

    def start_tag(self, workspace: str, cost: float, weight: float) -> float:
        """Adds a request and returns its start tag; the lowest is served first.

        Args:
            workspace: Workspace of the request.
            cost: Expected cost, in any unit that all requests share.
            weight: Share of the workspace relative to others.
        """
        previous_finish = self._finish_by_workspace.get(workspace, 0.0)
        start = max(self._virtual_time - MAX_CREDIT_TOKENS, previous_finish)
        self._finish_by_workspace[workspace] = start + cost / weight
        if len(self._finish_by_workspace) > MAX_WORKSPACES:
            self._drop_idle_workspaces()
        return start

    def on_grant(self, start_tag: float) -> None:
        """Advances the virtual time to the start tag of a request now served."""
        self._virtual_time = max(self._virtual_time, start_tag)

    def on_abandoned(self, workspace: str, cost: float, weight: float) -> None:
        """Subtracts the cost of a request that left the queue without being served."""
        if workspace in self._finish_by_workspace:
            self._finish_by_workspace[workspace] -= cost / weight

    def _drop_idle_workspaces(self) -> None:
        self._finish_by_workspace = {
            workspace: finish
            for workspace, finish in self._finish_by_workspace.items()
            if finish > self._virtual_time - MAX_CREDIT_TOKENS
        }

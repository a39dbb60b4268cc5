"""Ranks of waiting requests by weighted fair shares of workspaces."""

from __future__ import annotations

#: Virtual time, in tokens for a weight of one, that a workspace can save up.
CREDIT_TOKENS = 512.0

#: Workspaces remembered; beyond it those without recent requests are forgotten.
MAX_WORKSPACES = 4_096


class FairQueueTags:
    """Start-time fair queueing with a bounded credit.

    A request's rank is the virtual time at which it would start if every workspace
    had its weighted share of the upstream. A workspace that used less than its
    share starts up to CREDIT_TOKENS earlier, so that one whose requests come in
    bunches still gets what it is due.
    """

    def __init__(self) -> None:
        self._virtual_time = 0.0
        self._finish_by_workspace: dict[str, float] = {}

    def start_tag(self, workspace: str, cost: float, weight: float) -> float:
        """Returns the rank of a new request; the lowest is served first.

        Args:
            workspace: Workspace of the request.
            cost: Expected cost, in any unit that all requests share.
            weight: Share of the workspace relative to others.
        """
        earlier = self._finish_by_workspace.get(workspace, 0.0)
        start = max(self._virtual_time - CREDIT_TOKENS, earlier)
        self._finish_by_workspace[workspace] = start + cost / weight
        if len(self._finish_by_workspace) > MAX_WORKSPACES:
            self._forget_idle()
        return start

    def on_grant(self, start_tag: float) -> None:
        """Notes the rank of a request that is now served."""
        self._virtual_time = max(self._virtual_time, start_tag)

    def on_abandoned(self, workspace: str, cost: float, weight: float) -> None:
        """Takes back the cost of a request that left without being served."""
        if workspace in self._finish_by_workspace:
            self._finish_by_workspace[workspace] -= cost / weight

    def _forget_idle(self) -> None:
        self._finish_by_workspace = {
            workspace: finish
            for workspace, finish in self._finish_by_workspace.items()
            if finish > self._virtual_time - CREDIT_TOKENS
        }

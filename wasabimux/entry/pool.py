"""Pool of links from an entry to the agents of its subset of upstreams."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Collection

from wasabimux.decisions.placement import Candidate, PlacementPolicy, rendezvous_top
from wasabimux.ids import InstanceId, SettingsVersion, UpstreamId
from wasabimux.link.link import Link, LinkCallbacks, LinkTraffic
from wasabimux.link.messages import (
    Hello,
    LoadReport,
    Message,
    OpenStream,
    SettingsUpdate,
)
from wasabimux.link.stream import LinkLost, LinkStream
from wasabimux.ports import Channel
from wasabimux.settings.address import parse_address
from wasabimux.settings.fleet import Upstream
from wasabimux.settings.index import FleetIndex
from wasabimux.settings.views import UpstreamSettings, build_upstream_settings
from wasabimux.timeline import Timeline

MIN_RECONNECT_DELAY_S = 0.05
MAX_RECONNECT_DELAY_S = 1.0

Connect = Callable[[str, int], Awaitable[Channel]]

UNKNOWN_LOAD = LoadReport(limit=0, running=0, waiting=0, accepting=False)


class PooledStream:
    """Context manager of a stream that counts as load of its agent while open.

    Args:
        agent: Agent at the other end.
        stream: Stream on the link to the agent.
    """

    def __init__(self, agent: PooledAgent, stream: LinkStream) -> None:
        self.stream = stream
        self._agent = agent

    def __enter__(self) -> LinkStream:
        self._agent.in_flight += 1
        return self.stream

    def __exit__(self, *exc_info: object) -> None:
        self._agent.in_flight -= 1
        self.stream.close()


class PooledAgent:
    """Maintains the link to one agent and reconnects after a loss.

    Args:
        upstream: Settings of the upstream.
        hello: Identity of this entry, sent first on the link.
        connect: Connects to an address.
        timeline: Records events.
        traffic: Byte counters of all links of the process.
        on_newer_settings: Called when the agent sends newer settings.
    """

    def __init__(
        self,
        upstream: Upstream,
        hello: Hello,
        connect: Connect,
        timeline: Timeline,
        traffic: LinkTraffic,
        on_newer_settings: Callable[[SettingsVersion, UpstreamSettings], None],
    ) -> None:
        self.upstream = upstream
        self._on_newer_settings = on_newer_settings
        self.in_flight = 0
        self.leaving = False
        self._hello = hello
        self._connect = connect
        self._timeline = timeline
        self._traffic = traffic
        self._settings: SettingsUpdate | None = None
        self._link: Link | None = None
        self._load = UNKNOWN_LOAD
        self._in_flight_at_report = 0
        self._task = asyncio.ensure_future(self._maintain_link())

    @property
    def id(self) -> UpstreamId:
        """Id of the upstream."""
        return UpstreamId(self.upstream.id)

    @property
    def incarnation(self) -> int | None:
        """Incarnation of the linked agent, None without a link."""
        if self._link is None or self._link.peer is None:
            return None
        return self._link.peer.incarnation

    @property
    def accepting(self) -> bool:
        """True if the agent is linked, accepts new work and is not leaving."""
        return self._link is not None and self._load.accepting and not self.leaving

    def candidate(self) -> Candidate:
        """Returns the agent as a placement candidate.

        The load is that of the last report, corrected by the streams that this entry
        has opened and closed since.
        """
        since_report = self.in_flight - self._in_flight_at_report
        load = self._load.running + self._load.waiting + since_report
        return Candidate(self.id, self._load.limit, max(0, load))

    def open(self, message: OpenStream) -> PooledStream:
        """Opens a stream.

        Raises:
            LinkLost: There is no link to the agent.
        """
        if self._link is None:
            raise LinkLost()
        return PooledStream(self, self._link.open(message))

    def update(self, upstream: Upstream, settings: SettingsUpdate) -> None:
        """Applies changed settings and sends them to the agent."""
        self.upstream = upstream
        self._settings = settings
        if self._link is not None:
            self._link.send(0, settings)

    def close(self) -> None:
        """Closes the link and stops reconnecting."""
        self._task.cancel()
        if self._link is not None:
            self._link.close()

    async def _maintain_link(self) -> None:
        delay_s = MIN_RECONNECT_DELAY_S
        while True:
            host, port = parse_address(self.upstream.agent)
            try:
                channel = await self._connect(host, port)
            except OSError:
                await asyncio.sleep(delay_s)
                delay_s = min(MAX_RECONNECT_DELAY_S, delay_s * 2)
                continue
            await self._run_link(channel)
            delay_s = MIN_RECONNECT_DELAY_S
            await asyncio.sleep(delay_s)

    async def _run_link(self, channel: Channel) -> None:
        events = LinkCallbacks(on_control=self._on_control)
        clock = self._timeline.clock
        with Link(channel, self._hello, clock, events, True, self._traffic) as link:
            link.start()
            await link.ready.wait()
            if self._settings is not None:
                link.send(0, self._settings)
            self._link = link
            self._timeline.record("agent_linked", upstream=self.id)
            try:
                await link.closed.wait()
            finally:
                self._link = None
                self._load = UNKNOWN_LOAD
        self._timeline.record("agent_lost", upstream=self.id)

    def _on_control(self, link: Link, message: Message) -> None:
        if isinstance(message, LoadReport):
            self._load = message
            self._in_flight_at_report = self.in_flight
        elif isinstance(message, SettingsUpdate):
            version = SettingsVersion(message.version)
            view = UpstreamSettings.model_validate_json(message.value)
            self._on_newer_settings(version, view)


class AgentPool:
    """Agents that an entry links to; a context manager that closes the links.

    Args:
        instance: Name of this entry, the key of its rendezvous-hashed subset.
        incarnation: Incarnation of this entry.
        connect: Connects to an address.
        subset_size: Maximum number of agents of a group to link to.
        timeline: Records events.
        traffic: Byte counters of all links of the process.
        on_newer_settings: Called when an agent sends newer settings.
    """

    def __init__(
        self,
        instance: InstanceId,
        incarnation: int,
        connect: Connect,
        subset_size: int,
        timeline: Timeline,
        traffic: LinkTraffic,
        on_newer_settings: Callable[[SettingsVersion, UpstreamSettings], None],
    ) -> None:
        self._on_newer_settings = on_newer_settings
        self._instance = instance
        self._hello = Hello("entry", instance, incarnation)
        self._connect = connect
        self._subset_size = subset_size
        self._timeline = timeline
        self._traffic = traffic
        self._agents_by_id: dict[UpstreamId, PooledAgent] = {}
        self._ids_by_group: dict[str, list[UpstreamId]] = {}
        self._views_by_id: dict[UpstreamId, UpstreamSettings] = {}

    def __enter__(self) -> AgentPool:
        return self

    def __exit__(self, *exc_info: object) -> None:
        for agent in self._agents_by_id.values():
            agent.close()

    def apply(self, index: FleetIndex) -> None:
        """Applies new settings: links to added agents and closes removed ones."""
        selected: dict[UpstreamId, Upstream] = {}
        self._ids_by_group = {}
        for group, upstreams in index.upstreams_by_group.items():
            by_id = {UpstreamId(item.id): item for item in upstreams}
            subset = rendezvous_top(self._instance.encode(), by_id, self._subset_size)
            ids = [UpstreamId(item) for item in subset]
            self._ids_by_group[group] = ids
            selected.update({upstream_id: by_id[upstream_id] for upstream_id in ids})
        for removed_id in set(self._agents_by_id) - set(selected):
            self._agents_by_id.pop(removed_id).close()
        for upstream_id, upstream in selected.items():
            view = build_upstream_settings(index.fleet, upstream, index.withdrawn_keys)
            self._views_by_id[upstream_id] = view
            update = SettingsUpdate(index.version, view.model_dump_json().encode())
            self._get_or_create_agent(upstream).update(upstream, update)

    def mark_leaving(self, leaving: frozenset[InstanceId]) -> None:
        """Marks the agents whose instances the platform lists as leaving."""
        for agent in self._agents_by_id.values():
            agent.leaving = InstanceId(agent.id) in leaving

    def agents(self, group: str) -> list[PooledAgent]:
        """Returns the agents of a group that this entry links to."""
        return [self._agents_by_id[item] for item in self._ids_by_group.get(group, [])]

    def agent(self, upstream_id: UpstreamId) -> PooledAgent | None:
        """Returns the agent of an upstream, None if it is not in the pool."""
        return self._agents_by_id.get(upstream_id)

    def usable(self, group: str) -> list[PooledAgent]:
        """Returns the agents of a group that may be sent new work."""
        return [
            agent
            for agent in self.agents(group)
            if agent.accepting and self._views_by_id[agent.id].accepting
        ]

    def choose(
        self,
        group: str,
        policy: PlacementPolicy,
        rng: random.Random,
        avoid: Collection[UpstreamId] = (),
        affinity: bytes = b"",
    ) -> PooledAgent | None:
        """Chooses an agent that may be sent new work.

        Args:
            group: Group of upstreams.
            policy: Chooses among the candidates.
            rng: Random number generator for the policy.
            avoid: Upstreams to choose only if there are no others.
            affinity: Bytes that requests with the same cached prefix have in common.

        Returns:
            The agent, None if no agent of the group may be sent work.
        """
        usable = self.usable(group)
        if not usable:
            return None
        preferred = [agent for agent in usable if agent.id not in avoid]
        agents = {agent.id: agent for agent in preferred or usable}
        candidates = [agent.candidate() for agent in agents.values()]
        return agents[policy.choose(candidates, affinity, rng).upstream]

    def _get_or_create_agent(self, upstream: Upstream) -> PooledAgent:
        upstream_id = UpstreamId(upstream.id)
        agent = self._agents_by_id.get(upstream_id)
        if agent is None or agent.upstream.agent != upstream.agent:
            if agent is not None:
                agent.close()
            agent = PooledAgent(
                upstream,
                self._hello,
                self._connect,
                self._timeline,
                self._traffic,
                self._on_newer_settings,
            )
            self._agents_by_id[upstream_id] = agent
        return agent

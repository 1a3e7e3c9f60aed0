"""States of the tier's versions: read as differences, and complete ones of an earlier release."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from collections.abc import AsyncIterator, Mapping
from pathlib import Path
from typing import Any

import msgspec
import pytest

from sailhitch.daemon.plan import StaleBaseError, identity
from sailhitch.daemon.schema import parse_text, parse_value
from sailhitch.daemon.state import State, canonical, from_file, with_node_ban
from sailhitch.daemon.state_applier import (
    ApplyError,
    StateChange,
)
from sailhitch.daemon.state_tree import StateTreeError, to_tree
from sailhitch.daemon.store import AppliedState
from sailhitch.daemon.tier_link import TierLink
from sailhitch.daemon.tier_source import TierStateSource
from sailhitch.daemon.version_states import VersionStates
from sailhitch.lab.ports import free_port
from sailhitch.pages import Key, Tree, build
from sailhitch.tier.config import MemberStatus
from sailhitch.tier.content_store import ContentStore, digest_of, root_of, tree_digest
from sailhitch.tier.disk import Disk
from sailhitch.tier.effects import AppliedVersions
from sailhitch.tier.member import CHOSEN_KEY, BootstrapVersion, Member, TierConfig
from sailhitch.tier.messages import ChosenState
from tests.daemons import daemon_process, file_value, pool
from tests.operator_files import FILE
from tests.page_sources import Pages
from tests.sockets import until
from tests.tiers import KEYS, running_tier

BASE: State = {**from_file(parse_text(FILE)), "listeners": {}}


class Contents(Pages):
    """Pages, and complete contents beside them."""

    def __init__(self, pages: Mapping[str, bytes], whole: Mapping[str, bytes] = {}) -> None:
        super().__init__(pages)
        self.whole = dict(whole)

    def read(self, digest: str) -> bytes:
        return self.whole[digest]


def _weighted(state: State, weight: float) -> State:
    name = min(state["nodes"])
    node = {**state["nodes"][name], "weight": weight}
    return {**state, "nodes": {**state["nodes"], name: node}}


def _add(contents: Contents, tree: Tree) -> str:
    contents.add(tree.pages)
    return tree_digest(tree.root)


def test_a_version_is_read_as_a_difference_from_a_known_one() -> None:
    contents, states = Contents({}), VersionStates()
    base = states.read(contents, _add(contents, to_tree(BASE)))
    assert base == BASE
    tree = states.tree(contents, base, _weighted(base, 5.0))
    assert len(tree.pages) < len(contents.pages) or len(contents.pages) == 1
    digest = _add(contents, tree)
    read = states.read(contents, digest)
    assert read == _weighted(BASE, 5.0)
    assert read["routes"] is base["routes"]
    assert states.read(contents, digest) is read
    assert tree.root == to_tree(read).root


def test_a_version_is_read_completely_if_the_pages_of_all_known_ones_are_released() -> None:
    contents, states = Contents({}), VersionStates()
    first = to_tree(BASE)
    states.read(contents, _add(contents, first))
    other = to_tree(_weighted(BASE, 5.0))
    contents.pages = dict(other.pages)
    assert states.read(contents, tree_digest(other.root)) == _weighted(BASE, 5.0)
    with pytest.raises(KeyError):
        VersionStates().read(contents, tree_digest(first.root))


def test_a_proposal_whose_bases_pages_are_released_is_a_complete_tree() -> None:
    contents, states = Contents({}), VersionStates()
    base = states.read(contents, _add(contents, to_tree(BASE)))
    contents.pages.clear()
    wanted = _weighted(base, 5.0)
    assert states.tree(contents, base, wanted) == to_tree(wanted)


def test_the_first_version_is_read_as_a_difference_from_the_applied_state() -> None:
    """The applied state's tree has listeners, and pages that the tier's contents lack."""
    applied = from_file(parse_text(FILE))
    assert applied["listeners"]
    disk = to_tree(applied)
    contents, states = Contents({}), VersionStates()
    digest = _add(contents, to_tree(_weighted(BASE, 5.0)))
    states.start_from(disk.root, applied, Pages(disk.pages))
    read = states.read(contents, digest)
    assert read == _weighted(BASE, 5.0)
    assert read["routes"] is applied["routes"]
    # Later versions do not need those pages.
    states.keep_only({digest})
    assert (
        states.tree(contents, read, _weighted(read, 6.0)).root == to_tree(_weighted(BASE, 6.0)).root
    )


def test_a_state_that_is_not_cached_is_read_again() -> None:
    contents, states = Contents({}), VersionStates()
    digest = _add(contents, to_tree(BASE))
    one = states.read(contents, digest)
    states.keep_only({digest})
    assert states.read(contents, digest) is one
    states.keep_only(set())
    assert states.read(contents, digest) is not one
    assert states.read(contents, digest) == one


def test_a_complete_state_of_an_earlier_release_is_read_and_followed_by_a_tree() -> None:
    content = canonical(BASE)
    contents, states = Contents({}, {digest_of(content): content}), VersionStates()
    base = states.read(contents, digest_of(content))
    assert base == BASE
    assert states.identity(base) == identity(BASE)
    tree = states.tree(contents, base, _weighted(base, 5.0))
    assert tree == to_tree(_weighted(BASE, 5.0))
    assert states.read(contents, _add(contents, tree)) == _weighted(BASE, 5.0)


def test_a_tree_that_is_not_a_state_is_reported_with_its_key() -> None:
    tree = build({Key("robots/r", "r"): b"{}"})
    with pytest.raises(StateTreeError, match="'robots' is not a kind"):
        VersionStates().read(Contents(tree.pages), tree_digest(tree.root))


# --- A disk of an earlier release


async def _write_earlier_disk(folder: Path, state: State, port: int) -> None:
    """Write a member's disk as an earlier release did: its version is one complete content."""
    requested: list[AppliedVersions] = []
    config = TierConfig("g1", ("g1",), ("g1",))
    addresses = {"g1": ("127.0.0.1", port)}
    link = TierLink(config, addresses, KEYS, folder, requested.append, lambda text: None)
    await link.start(BootstrapVersion(canonical(state), 1, "first start"))
    await until(lambda: bool(requested))
    link.confirm_applied(requested[-1].revision)
    await until(lambda: link.member_status() is MemberStatus.ACTIVE)
    link.close()
    await until(lambda: link._writing is None)


def _active(folder: Path) -> tuple[str, dict[str, bytes]]:
    """Return the digest of the active version on a member's disk, and the disk's contents."""
    disk = Disk(folder)
    kept = disk.load()
    disk.close()
    return msgspec.msgpack.decode(kept[CHOSEN_KEY], type=ChosenState).state.active.digest, kept


def test_a_disk_of_an_earlier_release_is_read_and_its_next_version_is_a_tree(
    tmp_path: Path,
) -> None:
    async def work() -> None:
        port, udp = free_port(), free_port(socket.SOCK_DGRAM)
        (tmp_path / "keys").write_text(f"1 {(b'k' * 32).hex()}\n")
        value = file_value([pool("p", {"a": "127.0.0.1:9"})], port)
        value["tier"] = {
            "name": "t",
            "key_file": str(tmp_path / "keys"),
            "voters": ["g1"],
            "members": [{"name": "g1", "address": f"127.0.0.1:{udp}"}],
        }
        old = file_value([pool("p", {"a": "127.0.0.1:9", "b": "127.0.0.1:10"})], port)
        state: State = {**_state_of(old), "listeners": {}}
        folder = tmp_path / "state" / "tier"
        await _write_earlier_disk(folder, state, udp)
        digest, _ = _active(folder)
        assert root_of(digest) is None
        async with daemon_process(tmp_path, value) as it:
            await it.start()
            await _wait_until_active(it, 1)
            live = await it.ask({"op": "state"})
            assert set(live["state"]["nodes"]) == {"p/a", "p/b"}  # the tier's, not the file's
            answer = await it.ask({"op": "ban", "node": "p/b", "out": True, "why": "test"})
            assert answer["ok"], answer
            assert answer["serial"] == 2
            live = await it.ask({"op": "state"})
            assert live["identity"].startswith("tree:")
            await it.stop()
        digest, kept = _active(folder)
        assert digest == live["identity"]
        contents = ContentStore.from_disk(kept, 0)
        read = VersionStates().read(contents, digest)
        assert json.loads(json.dumps(read)) == live["state"]
        assert set(read["bans"]) == {"p/b"}

    asyncio.run(work())


async def _wait_until_active(it: Any, serial: int) -> None:
    async def is_active() -> bool:
        status = await it.ask({"op": "tier", "act": "status"})
        return bool(status.get("standing") == "in" and status.get("active") == serial)

    async with asyncio.timeout(15):
        while not await is_active():
            await asyncio.sleep(0.02)


def _state_of(value: dict[str, Any]) -> State:
    return from_file(parse_value(json.loads(json.dumps(value))))


# --- A proposal whose base is released while its tree is built

CHANGES = 12  # two register states each, and a member keeps the last 24 contents that it heard of
NODES = 800  # enough for a state of more than one page


def _all_weighted(state: State, weight: float) -> State:
    nodes = {name: {**node, "weight": weight} for name, node in state["nodes"].items()}
    return {**state, "nodes": nodes}


def _ban() -> dict[str, Any]:
    return {"by": "t", "when": 1, "why": ""}


def test_a_proposal_whose_base_is_released_meanwhile_raises_a_moved_error(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    refused: list[ValueError] = []
    propose = Member.propose

    def record_refusals(member: Member, content: bytes | Tree, *more: Any) -> int:
        try:
            return propose(member, content, *more)
        except ValueError as error:
            refused.append(error)
            raise

    async def change_often(tier: TierStateSource) -> None:
        base = tier.base()
        await tier.changes.propose(base, _all_weighted(base.state, 3.0), "other")
        for i in range(CHANGES):
            await tier.ban(f"p/n{i}", _ban(), "other")

    async def work() -> None:
        async with _tier_of_one(tmp_path) as tier:
            loop, real = asyncio.get_running_loop(), tier.changes._tree
            base = await tier.changes.propose(
                tier.base(), _all_weighted(tier.base().state, 2.0), "first"
            )

            def tree(before: State, state: State) -> Tree:
                """Build the tree, then make enough other changes for its base to be released."""
                made_tree = real(before, state)
                monkeypatch.setattr(tier.changes, "_tree", real)
                asyncio.run_coroutine_threadsafe(change_often(tier), loop).result(30)
                return made_tree

            monkeypatch.setattr(tier.changes, "_tree", tree)
            monkeypatch.setattr(Member, "propose", record_refusals)
            late = with_node_ban(base.state, "p/n99", _ban())
            with pytest.raises(StaleBaseError, match=f"against serial {base.serial}, and .* is 15"):
                await tier.changes.propose(base, late, "late")
            assert len(refused) == 1
            assert "p/n99" not in tier.base().state["bans"]
            # A repeated request is carried out.
            await tier.ban("p/n99", _ban(), "again")
            assert "p/n99" in tier.base().state["bans"]

    asyncio.run(work())


def test_an_active_version_that_is_not_applied_in_time_is_not_reported_as_withdrawn(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def work() -> None:
        async with _tier_of_one(tmp_path) as tier:
            may_continue, change = asyncio.Event(), tier.state_applier.change

            async def held(decided: StateChange) -> AppliedState:
                await may_continue.wait()
                return await change(decided)

            start = tier.base()
            serial = start.serial + 1
            monkeypatch.setattr(tier.state_applier, "change", held)
            monkeypatch.setattr(
                tier.changes, "part", tier.part.model_copy(update={"agree_within": 300_000})
            )
            with pytest.raises(ApplyError, match=f"serial {serial} .* it is active, and this gate"):
                await tier.changes.propose(
                    tier.base(), _all_weighted(tier.base().state, 2.0), "first"
                )
            may_continue.set()
            async with asyncio.timeout(15):
                while tier.base().serial < serial:
                    await tier.version_applier.applied_event.wait()
            assert tier.base().state["nodes"]["p/n0"]["weight"] == 2.0

    asyncio.run(work())


@contextlib.asynccontextmanager
async def _tier_of_one(tmp_path: Path) -> AsyncIterator[TierStateSource]:
    """Yield a daemon in this process that is the only, and active, member of its tier."""
    async with running_tier(tmp_path, ["g1"], NODES) as (tier,):
        yield tier

"""Models of the operator file's tables: fields, defaults and the limits of single fields."""

from __future__ import annotations

from typing import Annotated, Final, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationInfo, field_validator

from .schema_fields import (
    Duration,
    HeaderName,
    Host,
    Listen,
    Methods,
    Name,
    PathPrefix,
    Share,
    Weight,
)

VERSION: Final = 1  # of the file's format
# Members in a tier; 1,700 are required in two years.
MAX_MEMBERS: Final = 2_000


class Section(BaseModel):
    """A table of the file; unknown keys are errors, and values are not converted."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class GatewaySection(Section):
    """The gateway itself; fixed for the life of the process."""

    name: Name
    state_dir: str | None = None
    admin: str | None = None
    zone: str = ""
    memory_mb: Annotated[int, Field(ge=40, le=1 << 20)] = 256
    sockets: Annotated[int, Field(ge=64, le=1 << 20)] = 1024
    gateways: Annotated[int, Field(ge=1, le=10_000)] = 1
    number: Annotated[int, Field(ge=0)] | None = None
    max_attempts: Annotated[int, Field(ge=1, le=20)] = 3
    retry_after: Duration = 1_000_000
    drain_grace: Duration = 1_000_000
    cold_time: Duration = 5_000_000
    cold_share: Annotated[float, Field(gt=0, le=1, allow_inf_nan=False)] = 0.3
    rate: Annotated[float, Field(gt=0, le=1e9, allow_inf_nan=False)] | None = None

    @field_validator("number")
    @classmethod
    def _check_number(cls, number: int | None, info: ValidationInfo) -> int | None:
        if number is not None and number >= info.data.get("gateways", number + 1):
            raise ValueError("not below `gateways`: they are numbered from 0")
        return number


class ListenerSection(Section):
    """An address at which clients connect."""

    name: Name
    address: Listen
    protocol: Literal["http1"] = "http1"


class ClassSection(Section):
    """A class of requests: its idempotency, latency objective, deadline and priority."""

    name: Name
    effect: Literal["safe", "keyed", "unsafe"] | None = None
    aim: Duration
    deadline: Duration
    worth: Annotated[float, Field(gt=0, le=1e6, allow_inf_nan=False)] = 1.0
    late_worth: Share = 0.0
    dedup: Literal["pool", "zone", "cell"] = "cell"
    window: Duration | None = None

    def dedup_window(self) -> int:
        """Return how long nodes remember a key, in microseconds."""
        return self.deadline if self.window is None else self.window


class TenantSection(Section):
    """A tenant, and its quota as a share of the gateway's rate."""

    name: Name
    share: Annotated[float, Field(gt=0, le=1, allow_inf_nan=False)]


class NodeSection(Section):
    """A node of a pool."""

    id: Name
    address: Listen
    zone: str = ""
    cell: str = ""
    weight: Weight = 1.0


class PoolSection(Section):
    """A set of nodes that serve the same requests."""

    name: Name
    nodes: list[NodeSection] = []
    connect_timeout: Duration = 250_000
    idle_timeout: Duration = 15_000_000


class MatchSection(Section):
    """The conditions on which a route matches a request; a missing one always holds."""

    path_prefix: PathPrefix = "/"
    host: Host | None = None
    methods: Methods = []
    header: dict[HeaderName, str] = {}
    class_: Annotated[str | None, Field(alias="class")] = None
    tenant: str | None = None


class RouteSection(Section):
    """A route: its conditions, and the pools and the class of the requests that match."""

    name: Name
    match: MatchSection = MatchSection()
    class_: Annotated[str, Field(alias="class")]
    pools: Annotated[dict[str, Share], Field(min_length=1)]


class TierMemberSection(Section):
    """A gateway of the tier, and the UDP address at which it receives messages."""

    name: Name
    address: Listen


class TierSection(Section):
    """The tier that this gateway belongs to; fixed for the life of the process."""

    name: Name
    members: Annotated[list[TierMemberSection], Field(min_length=1, max_length=MAX_MEMBERS)]
    voters: Annotated[list[str], Field(min_length=1, max_length=7)]
    key_file: str
    agree_within: Duration = 10_000_000
    lease: Duration | None = None


class ZonesSection(Section):
    """How the fleet leaves zones; fixed for the life of the process."""

    mode: Literal["off", "advise", "act"] = "advise"
    max_out: Annotated[int, Field(ge=1, le=100)] = 1
    step: Duration | None = None
    leaves_an_hour: Annotated[int, Field(ge=0, le=100)] = 4


class OperatorFile(Section):
    """The whole operator file."""

    version: Literal[1]
    gateway: GatewaySection
    tier: TierSection | None = None
    zones: ZonesSection | None = None
    listeners: list[ListenerSection] = []
    classes: list[ClassSection] = []
    tenants: list[TenantSection] = []
    pools: list[PoolSection] = []
    routes: list[RouteSection] = []

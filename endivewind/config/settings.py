"""Settings of one process, read from a YAML file at start."""

import datetime
import enum
import math
from typing import Annotated

import pydantic

from endivewind.config import base
from endivewind.config import objects
from endivewind.decisions import quotas

Address = Annotated[
    str, pydantic.Field(pattern=r"^[0-9a-fA-F.:\[\]]+:\d{1,5}$")
]


MIN_GOSSIP_KEY = 16


class Tls(base.Model):
    """Files of one TLS end; peers between nodes must show a certificate.

    Attributes:
      certificate: PEM file with the certificate and those that signed it.
      key: PEM file with its private key.
      authority: PEM file of the authority that signs the other end's
        certificate; a must between nodes. At the callers' listener it makes
        callers show a certificate, too.
    """

    certificate: str
    key: str
    authority: str = ""


class Interface(enum.StrEnum):
    """Whose names and formats callers, targets and operators use."""

    OWN = "own"
    PLATFORM = "platform"


class Once(enum.StrEnum):
    """What names work that must not repeat.

    TICKET: a key that this system issues; the caller may send it again to
    any node. REQUEST_ID: the id of each send, which arrives once, at one
    node; sending again is new work.
    """

    TICKET = "ticket"
    REQUEST_ID = "request-id"


class Trail(enum.StrEnum):
    """Where a node records its verdicts, drains and membership."""

    PLATFORM = "platform"
    LOG = "log"


class Beside(base.Model):
    """The one target on the node's own VM, where every target has a node.

    Attributes:
      service: the service that runs on this VM.
      address: host and port where the target takes requests.
      heartbeat_seconds: how often the target announces itself.
    """

    service: str = pydantic.Field(min_length=1, max_length=63)
    address: Address
    heartbeat_seconds: pydantic.StrictFloat = pydantic.Field(
        default=1, gt=0, le=15
    )


class Limits(base.Model):
    """Bounds of one process.

    Attributes:
      header_bytes: most bytes of a request's headers.
      body_bytes: most bytes of a request's body.
      kept_answer_bytes: most bytes of an answer kept for resends.
      buffered_body_bytes: bodies up to here are held so that the request can
        be placed again.
      ticketed_body_bytes: most bytes of the body of a request that must not
        repeat; it is held whole.
      stop_seconds: how long a planned stop waits for work in flight.
      grace_seconds: after how long the platform ends a process that was asked
        to stop; 0 if it does not. A planned stop keeps within it.
      notice_seconds: how long a stopping node still takes new work of callers
        who have not heard of it.
    """

    header_bytes: pydantic.StrictInt = pydantic.Field(
        default=16_384, ge=1024, le=1_048_576
    )
    body_bytes: pydantic.StrictInt = pydantic.Field(default=16_777_216, ge=0)
    kept_answer_bytes: pydantic.StrictInt = pydantic.Field(
        default=65_536, ge=0, le=1_048_576
    )
    buffered_body_bytes: pydantic.StrictInt = pydantic.Field(
        default=65_536, ge=0, le=1_048_576
    )
    ticketed_body_bytes: pydantic.StrictInt = pydantic.Field(
        default=1_048_576, ge=0, le=1_048_576
    )
    stop_seconds: pydantic.StrictFloat = pydantic.Field(
        default=30, gt=0, le=600
    )
    grace_seconds: pydantic.StrictFloat = pydantic.Field(
        default=0, ge=0, le=3600
    )
    notice_seconds: pydantic.StrictFloat = pydantic.Field(
        default=1, ge=0, le=60
    )


# The part of the fleet's retries that nodes take by themselves. The rest is for
# what is spent twice while a count is on its way, for calls of repeats in the
# moment before they are charged, and for windows that slide in steps.
OWN_RETRIES = 0.75


class FleetLimits(base.Model):
    """What all nodes together promise to each service.

    Attributes:
      retry_share: retries in a window, as a share of the requests in it.
      retry_reserve: retries in each window besides.
      retry_window_seconds: the window in which both are counted.
      floor_share: share of a region's slots that stays in use.
    """

    retry_share: pydantic.StrictFloat = pydantic.Field(ge=0, le=1)
    retry_reserve: pydantic.StrictFloat = pydantic.Field(ge=0, le=1_000_000)
    retry_window_seconds: pydantic.StrictFloat = pydantic.Field(gt=0, le=600)
    floor_share: pydantic.StrictFloat = pydantic.Field(ge=0, le=1)

    def applied_to(self, service: objects.Service) -> objects.Service:
        """The service's defaults within these limits."""
        return service.model_copy(
            update={
                "retry_percent": int(100 * OWN_RETRIES * self.retry_share),
                "retry_reserve": int(OWN_RETRIES * self.retry_reserve),
                "retry_window_ms": int(1000 * self.retry_window_seconds),
                "floor_percent": math.ceil(100 * self.floor_share),
            }
        )


# What a running node takes from a changed file; all else is bound at start.
RELOADED = frozenset(
    {
        "platform",
        "beside",
        "service_defaults",
        "fleet_limits",
        "limits",
        "revocation",
        "log_level",
    }
)


class Revocation(base.Model):
    """How surely a key that is taken away stops working.

    Attributes:
      strict: whether a node refuses work that needs a key while it can't prove
        that its configuration was the newest within the bound; else a node
        that no news reaches serves on with what it has.
      bound_seconds: how long after its removal a key may still work.
    """

    strict: pydantic.StrictBool = False
    bound_seconds: pydantic.StrictFloat = pydantic.Field(
        default=5, ge=1, le=3600
    )

    @property
    def bound(self) -> datetime.timedelta | None:
        """How old a proof may be; None where none is needed."""
        if not self.strict:
            return None
        return datetime.timedelta(seconds=self.bound_seconds)


class QuotaTolerance(base.Model):
    """By how much a workspace's quota may be exceeded in any window.

    Attributes:
      window_seconds: the window in which its requests are counted.
      overage: as a share of what the quota allows in the window.
      requests: besides.
    """

    window_seconds: pydantic.StrictFloat = pydantic.Field(
        default=5, gt=0, le=600
    )
    overage: pydantic.StrictFloat = pydantic.Field(default=0.1, ge=0, le=10)
    requests: pydantic.StrictFloat = pydantic.Field(
        default=20, ge=0, le=1_000_000
    )

    @property
    def tolerance(self) -> quotas.Tolerance:
        """The same for decisions."""
        window = datetime.timedelta(seconds=self.window_seconds)
        return quotas.Tolerance(window, self.overage, self.requests)


class NodeSettings(base.Model):
    """Settings of `endivewind-node`.

    Attributes:
      name: the node's name; one name, one VM.
      region: region of the VM.
      zone: availability zone of the VM.
      zones: all availability zones of the fleet, each with its region; nodes
        then register zone by zone, and a start reads its own zone only.
      callers: address of the listener for callers.
      targets: address where targets announce themselves.
      nodes: address for other nodes (TCP, and UDP for gossip).
      nodes_advertised: address that other nodes are told to use, where it
        is not the one that is bound.
      operators: address of health, metrics and status; loopback unless set.
      readiness: address that answers only whether the node is ready, for the
        platform's checks; none unless set.
      interface: whose names and formats callers, targets and operators use.
      once: what names work that must not repeat.
      beside: the target on this VM, where each has a node of its own.
      audit: where the node records what it does; its log has it in any case.
      service_defaults: what a service gets where the platform's operators
        have no word for it; only for the platform's interface.
      fleet_limits: what all nodes together promise; goes before
        service_defaults.
      quota_tolerance: by how much a workspace's quota may be exceeded.
      revocation: how surely a key that is taken away stops working.
      platform: URL of the platform's object API.
      seeds: nodes to join by when the platform can't be asked.
      gossip_key: signs the datagrams between nodes; the same at every node.
      callers_tls: makes the listener for callers speak HTTPS.
      nodes_tls: secures the links to other nodes by mutual TLS.
      limits: bounds of the process.
      log_level: debug, info, warning or error.
    """

    name: Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
    region: str = pydantic.Field(min_length=1, max_length=63)
    zone: str = pydantic.Field(min_length=1, max_length=63)
    zones: dict[str, str] = {}
    platform: str = pydantic.Field(pattern=r"^https?://")
    callers: Address = "127.0.0.1:0"
    targets: Address = "127.0.0.1:0"
    nodes: Address = "127.0.0.1:0"
    nodes_advertised: Address | None = None
    operators: Address = "127.0.0.1:0"
    readiness: Address | None = None
    interface: Interface = Interface.OWN
    once: Once = Once.TICKET
    beside: Beside | None = None
    audit: Trail = Trail.PLATFORM
    service_defaults: objects.Service = objects.Service()
    fleet_limits: FleetLimits | None = None
    quota_tolerance: QuotaTolerance = QuotaTolerance()
    revocation: Revocation = Revocation()
    seeds: tuple[Address, ...] = ()
    gossip_key: str = pydantic.Field(default="", repr=False)
    callers_tls: Tls | None = None
    nodes_tls: Tls | None = None
    limits: Limits = Limits()
    log_level: str = pydantic.Field(
        default="info", pattern="^(debug|info|warning|error)$"
    )

    @property
    def defaults(self) -> objects.Service:
        """What a service gets that the platform's operators leave open."""
        if self.fleet_limits is None:
            return self.service_defaults
        return self.fleet_limits.applied_to(self.service_defaults)

    @pydantic.model_validator(mode="after")
    def _proves_one_document(self) -> "NodeSettings":
        # A proof names the one version of a whole configuration; elsewhere
        # each object has a version of its own.
        if self.revocation.strict and self.interface is Interface.OWN:
            raise ValueError(
                "strict revocation needs the interface of the platform"
            )
        return self

    @pydantic.field_validator("nodes_tls")
    @classmethod
    def _names_an_authority(cls, value: Tls | None) -> Tls | None:
        # Without one, a node would take links from anybody who has a
        # certificate, or none.
        if value is not None and not value.authority:
            raise ValueError("needs an authority: links are mutual TLS")
        return value

    @pydantic.model_validator(mode="after")
    def _signs_where_links_are_secured(self) -> "NodeSettings":
        # TLS guards the links only. Unsigned datagrams beside them would let
        # anybody declare nodes dead and invent targets.
        if self.nodes_tls is not None and not self.gossip_key:
            raise ValueError("nodes_tls needs a gossip_key as well")
        if self.gossip_key and len(self.gossip_key) < MIN_GOSSIP_KEY:
            raise ValueError(
                f"gossip_key needs {MIN_GOSSIP_KEY} characters or more"
            )
        return self

"""Models of the settings of a process, read from a YAML file at start."""

import datetime
import enum
import math
from typing import Annotated

import pydantic

from endivewind.config import base
from endivewind.config import objects
from endivewind.config import overload_control
from endivewind.decisions import quotas

Address = Annotated[
    str, pydantic.Field(pattern=r"^[0-9a-fA-F.:\[\]]+:\d{1,5}$")
]


MIN_GOSSIP_KEY_CHARACTERS = 16


class Tls(base.Model):
    """Certificate files for TLS; links between nodes use mutual TLS.

    Attributes:
      certificate: PEM file with the certificate chain.
      key: PEM file with the private key.
      authority: PEM file with the certificate authority that signs the peer's
        certificate; required between nodes. At the callers' listener it makes
        client certificates mandatory.
    """

    certificate: str
    key: str
    authority: str = ""


class Interface(enum.StrEnum):
    """Whether the external interfaces are this system's or the platform's."""

    OWN = "own"
    PLATFORM = "platform"


class DeduplicationKey(enum.StrEnum):
    """What identifies a request that must not run more than once.

    TICKET: an idempotency key that this system issues; the caller may resend
    it to any node. REQUEST_ID: the id that each request carries. A request
    arrives once, at one node; if the caller resends it, it gets a new id and
    counts as a new request.
    """

    TICKET = "ticket"
    REQUEST_ID = "request-id"


class AuditDestination(enum.StrEnum):
    """Where a node records its ejections, drains and membership changes."""

    PLATFORM = "platform"
    LOG = "log"


class LocalTarget(base.Model):
    """The only target on the node's VM, if each target has its own node.

    Attributes:
      service: the service that runs on this VM.
      address: host and port of the target's listener.
      heartbeat_seconds: interval at which the target announces itself.
    """

    service: str = pydantic.Field(min_length=1, max_length=63)
    address: Address
    heartbeat_seconds: pydantic.StrictFloat = pydantic.Field(
        default=1, gt=0, le=15
    )


class Limits(base.Model):
    """Resource limits and shutdown timeouts of a process.

    Attributes:
      client_connections: open connections of all listeners but that for nodes;
        beyond it, those that have been idle for longest are closed. 0 for
        three fifths of the file descriptors, or 12 % of the memory at 12 KiB
        each if that is less.
      header_bytes: maximum size of a request's headers.
      body_bytes: maximum size of a request's body.
      kept_answer_bytes: maximum size of a response that is stored in case the
        caller resends its request.
      buffered_body_bytes: maximum size of a request body that is buffered so
        that the request can be retried.
      ticketed_body_bytes: maximum size of the body of a request that must not
        run more than once; it is buffered completely.
      stop_seconds: how long a graceful shutdown waits for requests in flight.
      grace_seconds: time after which the platform kills a process that was
        asked to stop; 0 if it never does. A graceful shutdown ends within it.
      notice_seconds: how long a node that shuts down still accepts requests
        from callers that have not been notified yet.
    """

    client_connections: pydantic.StrictInt = pydantic.Field(
        default=0, ge=0, le=1_000_000
    )
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


# Share of the retries allowed to the whole fleet that the nodes' retry budgets
# allow. The rest is for retries of nodes that have restarted or been replaced (see
# `retry_budget.START_SHARE`), and for calls of retried requests that their home
# did not expect.
NODE_RETRY_SHARE = 0.75


class FleetLimits(base.Model):
    """Limits that all nodes together guarantee to each service.

    Attributes:
      retry_share: allowed retries in a window, as a share of its requests.
      retry_reserve: retries allowed in each window in addition.
      retry_window_seconds: length of the window in which both are counted.
      floor_share: minimum share of a region's slots that ejection must leave
        in use.
    """

    retry_share: pydantic.StrictFloat = pydantic.Field(ge=0, le=1)
    retry_reserve: pydantic.StrictFloat = pydantic.Field(ge=0, le=1_000_000)
    retry_window_seconds: pydantic.StrictFloat = pydantic.Field(gt=0, le=600)
    floor_share: pydantic.StrictFloat = pydantic.Field(ge=0, le=1)

    def apply_to(self, service: objects.Service) -> objects.Service:
        """Returns a service's settings with these limits applied."""
        return service.model_copy(
            update={
                "retry_percent": int(100 * NODE_RETRY_SHARE * self.retry_share),
                "retry_reserve": int(NODE_RETRY_SHARE * self.retry_reserve),
                "retry_window_ms": int(1000 * self.retry_window_seconds),
                "floor_percent": math.ceil(100 * self.floor_share),
            }
        )


# Settings that a running node reloads; all others take effect at start only.
RELOADABLE_KEYS = frozenset(
    {
        "platform",
        "beside",
        "service_defaults",
        "fleet_limits",
        "limits",
        "propagation",
        "revocation",
        "log_level",
    }
)


class Revocation(base.Model):
    """Guarantees for the time until a revoked key stops working.

    Attributes:
      strict: whether a node refuses requests that need a key while it can't
        prove that its configuration was the newest within the bound. If false,
        a node that receives no updates keeps serving with the configuration
        that it has.
      bound_seconds: maximum time that a key works after its revocation.
    """

    strict: pydantic.StrictBool = False
    bound_seconds: pydantic.StrictFloat = pydantic.Field(
        default=5, ge=1, le=3600
    )

    @property
    def bound(self) -> datetime.timedelta | None:
        """Maximum age of a proof of freshness; None if none is required."""
        if not self.strict:
            return None
        return datetime.timedelta(seconds=self.bound_seconds)


# Maximum age of proofs that only show missed versions, as a multiple of the time
# until a configuration is in force. The primary reader then reads every 0.4
# times that time, which leaves over half of it for replication; nothing is
# refused when a proof is older.
PROPAGATION_PROOF_AGE_FACTOR = 2


class Propagation(base.Model):
    """Guarantees for the time until an accepted configuration is in force.

    Attributes:
      bound_seconds: maximum time until every node uses a new configuration.
        Nodes then check regularly that theirs is the newest, since a watch of
        the platform may become silent without an error. 0 for no checks.
    """

    bound_seconds: pydantic.StrictFloat = pydantic.Field(
        default=0, ge=0, le=3600
    )


class QuotaTolerance(base.Model):
    """By how much a workspace's quota may be exceeded in any window.

    Attributes:
      window_seconds: length of the window in which requests are counted.
      overage: allowed excess, as a share of the quota in the window.
      requests: number of requests allowed in addition.
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
        """The tolerance in the form that the quota decisions use."""
        window = datetime.timedelta(seconds=self.window_seconds)
        return quotas.Tolerance(window, self.overage, self.requests)


class NodeSettings(base.Model):
    """Settings of `endivewind-node`.

    Attributes:
      name: name of the node, unique to its VM.
      region: region of the VM.
      zone: availability zone of the VM.
      zones: all availability zones of the fleet, each with its region. If
        set, nodes register by zone, and a starting node lists only its own
        zone.
      callers: address of the listener for callers.
      targets: address of the listener where targets announce themselves.
      nodes: address of the listener for other nodes (TCP, and UDP for gossip).
      nodes_advertised: address that other nodes connect to, if it is not the
        one that the node binds.
      operators: address of the listener for health, metrics and status;
        loopback unless set.
      readiness: address of a listener for the platform's readiness checks
        only; none unless set.
      interface: whether callers, targets and operators use the names and
        formats of this system or those of the platform.
      once: what identifies a request that must not run more than once.
      beside: the target on this VM, if each target has its own node.
      audit: where the node writes audit records, besides its log.
      service_defaults: settings of a service that the platform's own
        configuration leaves open; only for the platform's interface.
      fleet_limits: limits that all nodes together guarantee; overrides
        service_defaults.
      quota_tolerance: by how much a workspace's quota may be exceeded.
      revocation: guarantees for the time until a revoked key stops working.
      propagation: guarantees for the time until a configuration is in force.
      overload: decisions that nodes make together while capacity is scarce.
      platform: URL of the platform's object API.
      seeds: addresses of nodes to join through if the platform is unavailable.
      gossip_key: key that signs the datagrams between nodes; the same at every
        node.
      callers_tls: enables HTTPS at the listener for callers.
      nodes_tls: enables mutual TLS on the links to other nodes.
      limits: resource limits and shutdown timeouts of the process.
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
    once: DeduplicationKey = DeduplicationKey.TICKET
    beside: LocalTarget | None = None
    audit: AuditDestination = AuditDestination.PLATFORM
    service_defaults: objects.Service = objects.Service()
    fleet_limits: FleetLimits | None = None
    quota_tolerance: QuotaTolerance = QuotaTolerance()
    revocation: Revocation = Revocation()
    propagation: Propagation = Propagation()
    overload: overload_control.OverloadControl = (
        overload_control.OverloadControl()
    )
    seeds: tuple[Address, ...] = ()
    gossip_key: str = pydantic.Field(default="", repr=False)
    callers_tls: Tls | None = None
    nodes_tls: Tls | None = None
    limits: Limits = Limits()
    log_level: str = pydantic.Field(
        default="info", pattern="^(debug|info|warning|error)$"
    )

    @property
    def effective_defaults(self) -> objects.Service:
        """Values for service settings missing in the platform's configuration.

        These are service_defaults, overridden by fleet_limits if set.
        """
        if self.fleet_limits is None:
            return self.service_defaults
        return self.fleet_limits.apply_to(self.service_defaults)

    @property
    def freshness_bound(self) -> datetime.timedelta | None:
        """Maximum age of proofs of freshness; None if there are none."""
        if self.revocation.bound is not None:
            return self.revocation.bound
        if not self.propagation.bound_seconds:
            return None
        bound = datetime.timedelta(seconds=self.propagation.bound_seconds)
        return PROPAGATION_PROOF_AGE_FACTOR * bound

    @pydantic.model_validator(mode="after")
    def _validate_proofs(self) -> "NodeSettings":
        # A proof refers to the version of a whole configuration. With this
        # system's own interface, each object has a version of its own.
        if self.interface is not Interface.OWN:
            return self
        if self.revocation.strict:
            raise ValueError(
                "strict revocation needs the interface of the platform"
            )
        if self.propagation.bound_seconds:
            raise ValueError(
                "propagation.bound_seconds needs the interface of the platform"
            )
        return self

    @pydantic.field_validator("nodes_tls")
    @classmethod
    def _validate_authority(cls, value: Tls | None) -> Tls | None:
        # Without an authority, a node would accept links from peers with any
        # certificate, or none.
        if value is not None and not value.authority:
            raise ValueError("needs an authority because links use mutual TLS")
        return value

    @pydantic.model_validator(mode="after")
    def _validate_gossip_key(self) -> "NodeSettings":
        # TLS secures only the links. With unsigned datagrams, anybody could
        # declare nodes dead and forge targets.
        if self.nodes_tls is not None and not self.gossip_key:
            raise ValueError("nodes_tls needs a gossip_key as well")
        if self.gossip_key and len(self.gossip_key) < MIN_GOSSIP_KEY_CHARACTERS:
            raise ValueError(
                f"gossip_key needs {MIN_GOSSIP_KEY_CHARACTERS} characters or more"
            )
        return self

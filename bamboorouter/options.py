"""Settings of the daemon, read from TOML and validated when read.

An unknown key, a wrong type or a value out of range stops the start with the
key, the value and what is allowed.
"""

import pathlib
import tomllib
from typing import Annotated
from typing import Literal

import msgspec

from bamboorouter import errors

Address = Annotated[str, msgspec.Meta(pattern=r"^[^:\s]+:\d{1,5}$")]
Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_.-]{1,64}$")]
PositiveInt = Annotated[int, msgspec.Meta(ge=1)]


class _Section(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """Base of all sections: unknown keys are errors."""


class ProcessOptions(_Section, frozen=True, kw_only=True):
    """Section [process]: who and where this process is.

    Attributes:
        name: Unique name of the process.
        region: Region of the VM.
        zone: Availability zone of the VM.
        rack: Rack of the VM.
        roles: Roles that the process runs.
        health: Address of health, readiness and metrics over HTTP.
        control: Addresses of the control replicas (IP:port).
        ready_file: File that receives the bound addresses as JSON once all
            roles listen; for launchers that let the kernel choose ports.
        log_level: Level of absl.logging, -1 (warning) to 1 (debug).
    """

    name: Name
    region: Name = "region-1"
    zone: Name
    rack: Name = "rack-1"
    roles: Annotated[
        tuple[Literal["entry", "agent", "control"], ...],
        msgspec.Meta(min_length=1),
    ]
    health: Address = "127.0.0.1:0"
    control: tuple[Address, ...] = ()
    ready_file: str = ""
    log_level: Annotated[int, msgspec.Meta(ge=-3, le=1)] = 0


class EntryOptions(_Section, frozen=True, kw_only=True):
    """Section [entry].

    Attributes:
        listen: Address for callers.
        operator: Address for operators.
        max_request_bytes: Largest request body.
        queue_limit: Requests that may wait, for each urgency.
        max_in_progress: Requests in progress at once in this process.
        retry_budget: Retries allowed as a fraction of requests.
        default_deadline_ms: Deadline of a request without one of its own.
        policies: Policies of admission, fairness and routing; "plain" is the
            baseline that measurements compare with.
    """

    listen: Address = "127.0.0.1:0"
    operator: Address = "127.0.0.1:0"
    max_request_bytes: PositiveInt = 1024 * 1024
    queue_limit: PositiveInt = 256
    max_in_progress: PositiveInt = 1024
    retry_budget: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1
    default_deadline_ms: PositiveInt = 10_000
    policies: Literal["product", "plain"] = "product"


class AgentOptions(_Section, frozen=True, kw_only=True):
    """Section [agent].

    Attributes:
        listen: Address for entries.
        advertise: Address that entries dial; the bound address if empty.
        local: Address for upstreams on the same VM.
        worker: Base URL of the worker's interface.
        processors: Processors of the VM.
        memory_mb: Memory of the VM in MB.
        accelerators: Accelerators of the VM.
        slots: Tasks at once.
        connections: Caller requests in progress at once.
        max_answer_bytes: Largest answer of an upstream.
        heartbeat_ms: Period of heartbeats to the leader.
        unconfirmed_routes: What to do with new requests when neither the
            entry nor the agent had contact with a leader for 5 s.
        policies: "plain" lets requests wait in order of arrival, whatever
            their urgency; the baseline that measurements compare with.
    """

    listen: Address = "127.0.0.1:0"
    advertise: str = ""
    local: Address = "127.0.0.1:0"
    worker: str = ""
    processors: PositiveInt = 1
    memory_mb: PositiveInt = 1024
    accelerators: Annotated[int, msgspec.Meta(ge=0)] = 0
    slots: PositiveInt = 8
    connections: PositiveInt = 64
    max_answer_bytes: PositiveInt = 4 * 1024 * 1024
    heartbeat_ms: Annotated[int, msgspec.Meta(ge=100, le=5000)] = 1000
    unconfirmed_routes: Literal["refuse", "serve"] = "refuse"
    policies: Literal["product", "plain"] = "product"


class ControlOptions(_Section, frozen=True, kw_only=True):
    """Section [control].

    Attributes:
        listen: Address for all links.
        advertise: Address that other processes dial; the bound one if empty.
        data_dir: Data folder for all durable state.
        group: Name of the replicated group.
        bootstrap: Addresses of the first members, this one included; used
            only with an empty data folder. Empty for a replica that joins an
            existing group as a learner.
        service_lease_ms: Lease term of latency-critical tasks.
        batch_lease_ms: Lease term of batch tasks.
        snapshot_entries: Applied entries between two snapshots.
        policies: Policies of the scheduler; "plain" is the baseline that
            measurements compare with.
        retention_mb: Size in MB above which the oldest segments of the log,
            and with them the oldest part of the account, are removed.
        self_repair: Whether replicas join, and lost ones are replaced, without
            an operator. The other replicas are found by `process.control`.
        tolerated_losses: Replicas that may be lost at the same time; decides
            how many vote if the group repairs itself.
    """

    listen: Address = "127.0.0.1:0"
    advertise: str = ""
    data_dir: str
    group: Name = "main"
    bootstrap: tuple[Address, ...] = ()
    service_lease_ms: Annotated[int, msgspec.Meta(ge=2000)] = 10_000
    batch_lease_ms: Annotated[int, msgspec.Meta(ge=2000)] = 600_000
    snapshot_entries: PositiveInt = 4096
    policies: Literal["product", "plain"] = "product"
    retention_mb: PositiveInt = 16 * 1024
    self_repair: bool = False
    tolerated_losses: PositiveInt = 1


class Options(_Section, frozen=True, kw_only=True):
    """All settings of one daemon.

    Attributes:
        process: Section [process].
        entry: Section [entry]; required by the role entry.
        agent: Section [agent]; required by the role agent.
        control: Section [control]; required by the role control.
    """

    process: ProcessOptions
    entry: EntryOptions | None = None
    agent: AgentOptions | None = None
    control: ControlOptions | None = None

    def __post_init__(self) -> None:
        for role in self.process.roles:
            if getattr(self, role) is None:
                raise ValueError(f"role {role!r} needs a section [{role}]")


def split_address(address: str) -> tuple[str, int]:
    """Splits "IP:port"."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def load_options(path: str) -> Options:
    """Reads and validates a settings file.

    Args:
        path: Path of a TOML file.

    Returns:
        The validated settings.

    Raises:
        OptionsError: The file can't be read or a setting isn't allowed.
    """
    step = "read settings"
    try:
        data = tomllib.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as err:
        raise errors.OptionsError(text=str(err), step=step, peer=path) from err
    try:
        return msgspec.convert(data, Options)
    except msgspec.ValidationError as err:
        text = _with_value(str(err), data)
        raise errors.OptionsError(text=text, step=step, peer=path) from err


def _with_value(text: str, data: object) -> str:
    """Appends the faulty value to a validation error that names a path."""
    _, marker, path = text.partition(" - at `$.")
    if not marker:
        return text
    value = data
    for key in path.rstrip("`").replace("[", ".[").split("."):
        if key.startswith("[") and isinstance(value, list):
            index = key.strip("[]")
            value = value[int(index)] if index.isdigit() else value
        elif isinstance(value, dict):
            value = value.get(key)
    return f"{text} (value: {value!r})"

"""Settings of the daemon, read from a TOML file and validated.

An unknown key, a wrong type or a value out of range prevents the start. The
error names the key, the value and the allowed values.
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
    """Base class of all sections, which rejects unknown keys."""


class ProcessOptions(_Section, frozen=True, kw_only=True):
    """Section [process]: identity and location of the process.

    Attributes:
        name: Unique name of the process.
        region: Region of the VM.
        zone: Availability zone of the VM.
        rack: Rack of the VM.
        roles: Roles that the process runs.
        health: Address that serves health, readiness and metrics over HTTP.
        control: Addresses of the control replicas (IP:port).
        ready_file: File to which the bound addresses are written as JSON once
            all roles listen, for launchers that let the kernel choose ports;
            empty for none.
        log_level: Level of absl.logging, from -3 (fatal) to 1 (debug).
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
        max_request_bytes: Largest request body in bytes.
        queue_limit: Limit of queued requests per urgency class.
        max_in_progress: Limit of concurrent requests in this process.
        retry_budget: Allowed retries as a fraction of requests.
        default_deadline_ms: Deadline in ms of a request that sets none.
        policies: Policies of admission, fairness and routing; "plain" is the
            baseline for measurements.
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
        processors: Number of processors of the VM.
        memory_mb: Memory of the VM in MB.
        accelerators: Number of accelerators of the VM.
        slots: Limit of concurrent tasks.
        connections: Limit of concurrent caller requests.
        max_answer_bytes: Largest response of an upstream in bytes.
        heartbeat_ms: Interval between heartbeats to the leader, in ms.
        unconfirmed_routes: Whether to refuse or serve new requests when neither
            the entry nor the agent had contact with a leader for 5 s.
        policies: "plain" queues requests in order of arrival regardless of
            their urgency; it is the baseline for measurements.
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
        advertise: Address that other processes dial; the bound address if
            empty.
        data_dir: Folder for all durable state.
        group: Name of the replicated group.
        bootstrap: Addresses of the first members including this one; used only
            if the data folder is empty. Empty for a replica that joins an
            existing group as a learner.
        service_lease_ms: Duration of leases of latency-critical tasks, in ms.
        batch_lease_ms: Duration of leases of batch tasks, in ms.
        snapshot_entries: Number of applied entries between two snapshots; a
            snapshot is also taken after an eighth of `retention_mb`.
        policies: Policies of the scheduler; "plain" is the baseline for
            measurements.
        retention_mb: Largest size of the log in MB. Its oldest segments are
            removed, and with them the oldest part of the account; no command
            may be larger than an eighth of it.
        disk_mb: Size of the disk in MB; jobs and configurations are refused
            before its snapshots fill it. 0 if the size isn't known.
        self_repair: Whether replicas join and lost ones are replaced without an
            operator. `process.control` has the addresses of the other replicas.
        tolerated_losses: Number of replicas that may be lost at the same time;
            determines the number of voters if `self_repair` is set.
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
    disk_mb: Annotated[int, msgspec.Meta(ge=0)] = 0
    self_repair: bool = False
    tolerated_losses: PositiveInt = 1


class Options(_Section, frozen=True, kw_only=True):
    """All settings of one daemon.

    Attributes:
        process: Section [process].
        entry: Section [entry]; required for the entry role.
        agent: Section [agent]; required for the agent role.
        control: Section [control]; required for the control role.
    """

    process: ProcessOptions
    entry: EntryOptions | None = None
    agent: AgentOptions | None = None
    control: ControlOptions | None = None

    def __post_init__(self) -> None:
        for role in self.process.roles:
            if getattr(self, role) is None:
                raise ValueError(f"role {role!r} requires a section [{role}]")


def split_address(address: str) -> tuple[str, int]:
    """Splits an address "IP:port" into IP and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def load_options(path: str) -> Options:
    """Reads and validates a settings file.

    Args:
        path: Path of a TOML file.

    Returns:
        The validated settings.

    Raises:
        OptionsError: The file can't be read or a setting is invalid.
    """
    step = "read settings"
    try:
        data = tomllib.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as err:
        raise errors.OptionsError(text=str(err), step=step, peer=path) from err
    try:
        return msgspec.convert(data, Options)
    except msgspec.ValidationError as err:
        text = _with_faulty_value(str(err), data)
        raise errors.OptionsError(text=text, step=step, peer=path) from err


def _with_faulty_value(text: str, data: object) -> str:
    """Appends the rejected value to a validation error that names its path."""
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

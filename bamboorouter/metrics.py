"""Prometheus metrics of one process.

Histograms have labels for urgency class and team, so that the tail latency of
each tenant and class can be queried separately.
"""

from typing import Final

import prometheus_client

# Upper bounds in seconds. Latency targets of requests are below 100 ms, those of
# batch tasks are minutes.
_REQUEST_BUCKETS_S: Final = (
    *(0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1),
    *(0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0),
)
_TASK_BUCKETS_S: Final = (0.1, 0.5, 1.0, 3.2, 10.0, 60.0, 600.0, 3600.0)

REQUEST_SECONDS: Final = prometheus_client.Histogram(
    "bamboorouter_request_seconds",
    "Time from a caller's request to its answer, in seconds.",
    ("service", "team", "urgency", "outcome"),
    buckets=_REQUEST_BUCKETS_S,
)
QUEUE_SECONDS: Final = prometheus_client.Histogram(
    "bamboorouter_queue_seconds",
    "Time a request waited for admission, in seconds.",
    ("team", "urgency"),
    buckets=_REQUEST_BUCKETS_S,
)
REFUSALS: Final = prometheus_client.Counter(
    "bamboorouter_refusals_total",
    "Requests refused before they started.",
    ("service", "team", "urgency", "code"),
)
TASK_WAIT_SECONDS: Final = prometheus_client.Histogram(
    "bamboorouter_task_wait_seconds",
    "Time from submission of a task to its assignment, in seconds.",
    ("kind", "team", "urgency"),
    buckets=_TASK_BUCKETS_S,
)
TASKS_ENDED: Final = prometheus_client.Counter(
    "bamboorouter_tasks_ended_total",
    "Ended assignments.",
    ("kind", "team", "outcome"),
)
COMMIT_SECONDS: Final = prometheus_client.Histogram(
    "bamboorouter_commit_seconds",
    "Time from a proposal to its application on the leader, in seconds.",
    buckets=_REQUEST_BUCKETS_S,
)
APPLIED_REVISION: Final = prometheus_client.Gauge(
    "bamboorouter_applied_revision",
    "Configuration revision that this process applies.",
)
LEADS: Final = prometheus_client.Gauge(
    "bamboorouter_leads", "1 if this replica leads its group."
)
REPLICA_HALTED: Final = prometheus_client.Gauge(
    "bamboorouter_replica_halted",
    "1 if the control replica of this process takes no part in its group,"
    " because its storage failed.",
)
REPLICA_LAG_ENTRIES: Final = prometheus_client.Gauge(
    "bamboorouter_replica_lag_entries",
    "Entries by which a follower is behind, as the leader sees it.",
    ("replica",),
)
JOB_CALL_SECONDS: Final = prometheus_client.Histogram(
    "bamboorouter_job_call_seconds",
    "Time from a caller's request about a job to its answer, in seconds.",
    ("method", "status"),
    buckets=_REQUEST_BUCKETS_S,
)
RUNS_ENDED: Final = prometheus_client.Counter(
    "bamboorouter_runs_ended_total",
    "Ended runs of tasks of jobs with steps.",
    ("how",),
)
RUNS_GIVEN_UP: Final = prometheus_client.Counter(
    "bamboorouter_runs_given_up_total",
    "Runs whose end an agent inferred, by the evidence for it.",
    ("evidence",),
)
RUNS_LISTED_AGAIN: Final = prometheus_client.Counter(
    "bamboorouter_runs_listed_again_total",
    "Runs that a worker lists although its agent counted them as ended, by the"
    " evidence for the end.",
    ("evidence",),
)
INCARNATIONS_ENDED: Final = prometheus_client.Counter(
    "bamboorouter_incarnations_ended_total",
    "Incarnations of workers that another one has replaced.",
    ("how",),
)
CRASH_SUSPECTS: Final = prometheus_client.Counter(
    "bamboorouter_crash_suspects_total",
    "Decisions on tasks under which several workers have crashed.",
    ("decision",),
)
STOPS_ORDERED: Final = prometheus_client.Counter(
    "bamboorouter_stops_ordered_total",
    "Runs of jobs with steps that were ordered to stop.",
    ("reason",),
)
STOPS_OVERDUE: Final = prometheus_client.Counter(
    "bamboorouter_stops_overdue_total",
    "Runs still reported long after they were ordered to stop.",
)

LINK_BYTES: Final = prometheus_client.Counter(
    "bamboorouter_link_bytes_total",
    "Bytes of frames on links between processes, without transport headers.",
    ("direction",),
)
LINK_FRAMES: Final = prometheus_client.Counter(
    "bamboorouter_link_frames_total",
    "Frames on links between processes.",
    ("direction",),
)


def page() -> bytes:
    """Returns all metrics in the text format of Prometheus."""
    return prometheus_client.generate_latest()

"""Stand-ins of callers, workers and the platform for the review's scripts."""

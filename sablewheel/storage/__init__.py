"""The durable log: records in segments, recovery, group commit on a worker thread, and disk health."""

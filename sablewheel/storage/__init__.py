"""What is durable: records in segments, group commit on a worker thread, recovery, and disk faults by
name.
"""

"""The usage ledger: an entry for each ticket's final outcome, periods, corrections, and export
exactly once.
"""

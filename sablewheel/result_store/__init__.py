"""Recall: keyed runs remembered over restarts, so that a repeat gets its original answer and never runs
again.
"""

"""Greenlets over select.poll, and the streams and datagrams that wait on it."""

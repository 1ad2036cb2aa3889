"""Idempotency keys of plain callers, kept in the table service."""

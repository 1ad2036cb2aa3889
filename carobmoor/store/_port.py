"""What the product needs of the platform's store."""

from collections.abc import Sequence
from typing import Protocol

from result import Result

from carobmoor.store._messages import Row, RowChanges, StoreFailure


class Store(Protocol):
    """Rows with versions, a feed of changes, and objects.

    A write that fails as `UNAVAILABLE` may have taken effect, or may do so
    later. No call raises.
    """

    @property
    def is_down(self) -> bool:
        """Whether the store fails every call just now."""

    async def get_row(
        self,
        table: str,
        key: str,
    ) -> Result[Row | None, StoreFailure]:
        """Read a row; `None` when there is none."""

    async def list_rows(
        self,
        table: str,
        prefix: str = '',
    ) -> Result[Sequence[Row], StoreFailure]:
        """List the rows whose key starts with `prefix`, by key."""

    async def read_rows(
        self,
        table: str,
        prefix: str = '',
    ) -> Result[RowChanges, StoreFailure]:
        """Read rows as `list_rows` does, and the version of the store."""

    async def watch_rows(
        self,
        table: str,
        after_version: int,
        wait_s: float,
    ) -> Result[RowChanges, StoreFailure]:
        """Wait until rows of a table change, `wait_s` at most."""

    async def put_row(
        self,
        table: str,
        key: str,
        content: bytes,
        etag: str,
    ) -> Result[Row, StoreFailure]:
        """Write a row if its tag still is `etag`; empty inserts if absent."""

    async def delete_row(
        self,
        table: str,
        key: str,
        etag: str,
    ) -> Result[None, StoreFailure]:
        """Delete a row if its tag still is `etag`."""

    async def get_object(
        self,
        bucket: str,
        key: str,
    ) -> Result[bytes, StoreFailure]:
        """Read a whole object."""

    async def put_object(
        self,
        bucket: str,
        key: str,
        body: bytes,
    ) -> Result[None, StoreFailure]:
        """Write an object; writing the same again changes nothing."""

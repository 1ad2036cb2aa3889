"""The protocol of the platform's store."""

from collections.abc import Sequence
from typing import Protocol

from result import Result

from carobmoor.store._messages import Row, RowChanges, StoreFailure


class Store(Protocol):
    """Versioned rows, a feed of their changes, and objects.

    A write that fails as `UNAVAILABLE` may have taken effect, or may do so
    later. Calls return failures and raise nothing.
    """

    @property
    def is_down(self) -> bool:
        """Whether calls are expected to fail because recent ones did."""

    async def get_row(
        self,
        table: str,
        key: str,
    ) -> Result[Row | None, StoreFailure]:
        """Read a row; `None` if there is none."""

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
        """Read rows as `list_rows` does, with the version of the store."""

    async def watch_rows(
        self,
        table: str,
        after_version: int,
        wait_s: float,
    ) -> Result[RowChanges, StoreFailure]:
        """Wait at most `wait_s` for changes to a table after a version.

        Fails as `HISTORY_LOST` if these changes are no longer available.
        """

    async def put_row(
        self,
        table: str,
        key: str,
        content: bytes,
        etag: str,
    ) -> Result[Row, StoreFailure]:
        """Write a row if its tag is still `etag`.

        An empty `etag` inserts the row if there is none.
        """

    async def delete_row(
        self,
        table: str,
        key: str,
        etag: str,
    ) -> Result[None, StoreFailure]:
        """Delete a row if its tag is still `etag`."""

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
        """Write an object; writing the same content again changes nothing."""

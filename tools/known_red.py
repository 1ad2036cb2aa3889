"""A nose2 plugin that records which tests ran and which failed."""

from nose2.events import Plugin, TestOutcomeEvent


class OutcomeRecorder(Plugin):
    """Records the names of the tests that ran and of those that failed."""

    alwaysOn = True  # noqa: N815, WPS115
    configSection = 'failure-record'  # noqa: N815, WPS115

    ran: set[str] = set()
    failed: set[str] = set()

    def testOutcome(self, event: TestOutcomeEvent) -> None:  # noqa: N802
        """Record the outcome of a test; a skipped test counts as failed."""
        name = event.test.id().split('\n')[0]
        self.ran.add(name)
        if event.outcome != 'passed':
            self.failed.add(name)

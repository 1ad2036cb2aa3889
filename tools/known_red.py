"""A nose2 plugin that gathers which tests failed."""

from nose2.events import Plugin, TestOutcomeEvent


class FailureRecord(Plugin):
    """The names of the tests that ran and of those that failed."""

    alwaysOn = True  # noqa: N815, WPS115
    configSection = 'failure-record'  # noqa: N815, WPS115

    ran: set[str] = set()
    failed: set[str] = set()

    def testOutcome(self, event: TestOutcomeEvent) -> None:  # noqa: N802
        """Note one test's outcome; a skipped test counts as failed."""
        name = event.test.id().split('\n')[0]
        self.ran.add(name)
        if event.outcome != 'passed':
            self.failed.add(name)

"""Teams, their keys and what binds their requests."""

from carobmoor.teams._directory import TeamDirectory
from carobmoor.teams._messages import Team, TeamKeys

__all__ = ('Team', 'TeamDirectory', 'TeamKeys')

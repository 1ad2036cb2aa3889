"""Time that suspensions and jumps of the time of day don't disturb."""

from carobmoor.clock._boot_time import boot_time_s

__all__ = ['boot_time_s']

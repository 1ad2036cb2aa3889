"""The regions that may run a request."""


def bind_regions(*bounds: frozenset[str]) -> frozenset[str] | None:
    """Return the regions that all bounds allow; `None` if nothing binds.

    An empty bound allows every region. An empty result allows none: the bounds
    contradict each other.
    """
    binding = [bound for bound in bounds if bound]
    if not binding:
        return None
    return frozenset.intersection(*binding)

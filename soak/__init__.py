"""A randomized soak test of the mesh node, as processes on one machine.

A seed draws a series of overlapping faults: nodes are killed, paused, stopped,
restarted and told to reload; links to the store and to backend servers are
cut, held, delayed, truncated or lose answers; the store is slow, down, stale,
without its history or loses answers; backend servers crash, leave or slow
down; and versions are published. Callers send requests all the time, and what
they and the backend servers observe is checked by the rules of `proofs` and of
`soak._rules`.
"""

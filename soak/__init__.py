"""A randomized soak of the mesh node as separate processes on one machine.

A seed draws a series of faults, which overlap: nodes are killed, paused,
stopped and started by signals, links to the store and to backend servers are
cut, held, delayed and lose answers, the store is slow, down, forgetful or
loses answers, backend servers crash and leave, and versions are published.
Callers go on meanwhile, and what they and the backend servers see is judged
by the rules of `proofs` and of `soak._judge`.
"""

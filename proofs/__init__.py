"""Fault-injection scenarios, and a checker for the recorded histories.

Not part of the product. `python -m proofs run FILE` plays a scenario,
`python -m proofs mix` plays random ones, and `python -m proofs check FILES`
checks histories that were recorded elsewhere.
"""

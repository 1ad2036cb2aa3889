"""Proof by histories: a checker, and scenarios that make processes fail.

No part of the product. `python -m proofs run FILE` plays a scenario,
`python -m proofs mix` plays random ones, and `python -m proofs check FILES`
judges histories that were written elsewhere.
"""

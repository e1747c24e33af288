"""Soak test of real processes: concurrent series of signals, restarts and changes.

`plan` generates the steps from a seed, `acts` implements them, `sizes` chooses the size of the fleet,
`engine` runs a plan on a fleet, and `report` and `plots` present the outcome. It builds on the modules
of `trial --real`.
"""

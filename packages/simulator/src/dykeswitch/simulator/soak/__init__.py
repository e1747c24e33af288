"""A soak of real processes: signals, restarts and changes in series that overlap one another.

`plan` draws what is done from a seed, `acts` does it, `checks` judges what no history knows,
`engine` plays a plan on a fleet, `report` tells of it. It stands on what `trial --real` has.
"""

"""The simulator: the real tasks of all programs, on virtual time, in one process.

Clock, network, web and disk are the simulator's own adapters behind the same ports
that the programs use in production; the programs themselves are not changed.
"""

"""The simulator: all programs with their real tasks, on virtual time, in one process.

Clock, network, HTTP and disk are simulated adapters behind the same ports that the programs use
in production; the programs themselves are not changed.
"""

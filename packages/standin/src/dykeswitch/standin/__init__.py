"""Stand-ins for what stands round the gateway: endpoints and callers.

They speak HTTP/1.1 over the same network port as the programs, so one and the same
stand-in serves a fleet of real processes and the simulator.
"""

"""Stand-ins for the systems around the gateway: endpoints of services, and clients.

They speak HTTP/1.1 over the same network port as the programs do, so that the same stand-ins serve a
fleet of real processes and the simulator.
"""

"""Ignores SIGHUP while a program starts; to be imported before any module that takes time to load.

SIGHUP means that settings have changed. By default it would end a process that has not installed
its handler yet, and a starting program reads its settings anyway.
"""

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)

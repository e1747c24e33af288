"""What has to hold from a process's first moment on; to be imported before anything that takes time.

Until a program has its own handler, SIGHUP would end it. It says that settings have changed, and
a program that starts reads them all the same.
"""

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)

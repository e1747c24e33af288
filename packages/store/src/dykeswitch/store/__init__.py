"""The store: keeps the register on a disk and votes on its changes."""

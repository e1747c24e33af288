"""The store: votes and keeps the register; nothing else."""

"""The registry: serves the public calls, and makes the decisions that the stores keep."""

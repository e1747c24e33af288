"""The registry: takes the outside calls for itself and the store."""

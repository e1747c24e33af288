"""Model checker for the real code of the register, its membership changes and its documents.

The real coroutines run on an event loop in which every external event (a message delivered or
lost, a timer, a crash, a power loss) is a choice. `exhaustive` tries all choices of a small
scope; `randomised` samples the choices of wider scopes from a seed. See docs/explore.md.
"""

"""A model checker over the real code of the register, its membership changes and documents.

The real coroutines run on an event loop whose every outside event (a message delivered or
lost, a timer, a crash, a loss of power) is a choice. `search` makes the choices: all of them
for a small scope, random ones by seed beyond. See docs/explore.md.
"""

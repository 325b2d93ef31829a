// Has nothing of its own: the precompiled header of all tests is built with it.

"""The vanillapitch command line."""

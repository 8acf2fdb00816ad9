"""The vanillapitch daemon."""

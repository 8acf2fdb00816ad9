"""Stand-ins and measurements for vanillapitch; not shipped."""
